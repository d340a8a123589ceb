#include "once_register.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

idempotency_register::idempotency_register(idempotency_register_options options) : options_(options)
{
}

// Beginning the same epoch again only extends the lease; the recorded keys are kept.
void idempotency_register::begin_lease(std::uint64_t epoch, time_point until, clock_reading now)
{
    assert(epoch != 0);
    if (epoch == epoch_) {
        extend_lease(until);
        return;
    }
    end_lease();
    epoch_ = epoch;
    lease_until_ = until;
    lease_began_ = now;
}

void idempotency_register::extend_lease(time_point until)
{
    lease_until_ = std::max(lease_until_, until);
}

void idempotency_register::end_lease()
{
    epoch_ = 0;
    lease_until_ = {};
    entries_.clear();
    key_counts_.clear();
    expiry_order_.clear();
}

bool idempotency_register::holds_lease(std::uint64_t epoch, time_point now) const
{
    return epoch_ != 0 && epoch == epoch_ && now < lease_until_;
}

// Refuses a key that an earlier coordinator may have granted. A key whose time lies in the future
// is always refused: if it were granted now, its timestamp could lie after the start of a
// successor's lease, and the successor would grant the key a second time.
std::optional<claim_refusal>
idempotency_register::refusal_of_unrecorded_key(const idempotency_claim& it, clock_reading now,
                                                const std::optional<clock_reading>& placed) const
{
    if (it.key_created && *it.key_created > now.wall + options_.future_allowance)
        return claim_refusal::key_time_in_future;
    const bool is_after_placement = !placed || is_newer(it, *placed, now);
    if (is_after_placement && (epoch_ == 1 || is_newer(it, lease_began_, now)))
        return std::nullopt;
    return claim_refusal::predecessor_may_have_granted;
}

// Whether the key was created after `start`, or all grants from before have expired.
bool idempotency_register::is_newer(const idempotency_claim& it, clock_reading start,
                                    clock_reading now) const
{
    return now.boot >= start.boot + options_.retention ||
           (it.key_created && *it.key_created > start.wall + options_.clock_guard);
}

// The answer that follows from the recorded entry of the key; nullopt if the key may be claimed,
// subject to refusal_of_unrecorded_key().
std::optional<claim_answer> idempotency_register::recorded_answer(const idempotency_claim& it) const
{
    const auto found = entries_.find(it.key);
    if (found == entries_.end())
        return std::nullopt;
    const entry& recorded = found->second;
    if (recorded.state == claim_state::not_run) {
        const bool attempt_withdrawn = recorded.attempt.vm == it.attempt.vm &&
                                       recorded.attempt.run == it.attempt.run &&
                                       it.attempt.number <= recorded.attempt.number;
        return attempt_withdrawn
                   ? std::optional<claim_answer>(claim_refused{claim_refusal::attempt_withdrawn})
                   : std::nullopt;
    }
    if (recorded.fingerprint != it.fingerprint)
        return claim_refused{claim_refusal::key_reused};
    if (recorded.state == claim_state::done)
        return claim_executed{recorded.status};
    if (recorded.state == claim_state::unknown)
        return claim_outcome_unknown{};
    if (recorded.attempt == it.attempt)
        return claim_granted{epoch_};
    return claim_in_progress{};
}

claim_answer idempotency_register::claim(const idempotency_claim& it, clock_reading now,
                                         const std::optional<clock_reading>& placed)
{
    if (!holds_lease(it.epoch, now.boot))
        return claim_refused{claim_refusal::not_coordinator};
    expire(now.boot);
    if (const auto answer = recorded_answer(it))
        return *answer;
    if (const auto reason = refusal_of_unrecorded_key(it, now, placed))
        return claim_refused{*reason};
    const entry claimed{
        .state = claim_state::running, .fingerprint = it.fingerprint, .attempt = it.attempt};
    if (!add(it.key, claimed, now.boot))
        return claim_refused{claim_refusal::register_full};
    return claim_granted{epoch_};
}

// Records an entry as the last to expire, replacing the entry of a key whose attempt ended as
// `not_run`. Returns false if the register is full.
bool idempotency_register::add(const idempotency_key& key, entry it, time_point now)
{
    it.expires = now + options_.retention;
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        it.expiry_position = found->second.expiry_position;
        expiry_order_.splice(expiry_order_.end(), expiry_order_, it.expiry_position);
        found->second = it;
        return true;
    }
    const auto count = key_counts_.find(key.organisation);
    const bool full =
        entries_.size() >= options_.max_keys ||
        (count != key_counts_.end() && count->second >= options_.max_keys_per_organisation);
    if (full)
        return false;
    it.expiry_position = expiry_order_.insert(expiry_order_.end(), key);
    entries_.emplace(key, it);
    ++key_counts_[key.organisation];
    return true;
}

// Only the granted attempt can complete a claim. A completion `not_run` for an unrecorded key
// withdraws a claim that may still be in transit; it is recorded, so that the claim is refused when
// it arrives.
bool idempotency_register::complete(const claim_completion& it, time_point now)
{
    if (epoch_ == 0 || it.epoch != epoch_)
        return false;
    expire(now);
    const auto found = entries_.find(it.key);
    if (found == entries_.end()) {
        return it.outcome == claim_outcome::not_run && add(it.key,
                                                           {.state = claim_state::not_run,
                                                            .fingerprint = it.fingerprint,
                                                            .attempt = it.attempt},
                                                           now);
    }
    entry& recorded = found->second;
    if (recorded.state != claim_state::running || recorded.attempt != it.attempt)
        return false;
    switch (it.outcome) {
    case claim_outcome::not_run:
        recorded.state = claim_state::not_run;
        break;
    case claim_outcome::ran:
        recorded.state = claim_state::done;
        recorded.status = it.status;
        break;
    case claim_outcome::unknown:
        recorded.state = claim_state::unknown;
        break;
    }
    return true;
}

void idempotency_register::mark_claims_unknown(vm_id vm, incarnation first_live_run)
{
    for (auto& [key, it] : entries_) {
        if (it.state == claim_state::running && it.attempt.vm == vm &&
            it.attempt.run < first_live_run)
            it.state = claim_state::unknown;
    }
}

// All entries have the same retention, counted from their last claim, so the order of claims is the
// order of expiry.
void idempotency_register::expire(time_point now)
{
    while (!expiry_order_.empty()) {
        const auto found = entries_.find(expiry_order_.front());
        assert(found != entries_.end());
        if (now < found->second.expires)
            return;
        const auto count = key_counts_.find(expiry_order_.front().organisation);
        if (--count->second == 0)
            key_counts_.erase(count);
        entries_.erase(found);
        expiry_order_.pop_front();
    }
}

} // namespace jasminebank
