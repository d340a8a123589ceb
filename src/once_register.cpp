#include "once_register.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

once_register::once_register(once_register_options options) : options_(options) {}

// A repeated start of the same mandate keeps what it holds.
void once_register::begin(std::uint64_t epoch, time_point until, once_moment now)
{
    assert(epoch != 0);
    if (epoch == epoch_) {
        extend(until);
        return;
    }
    end();
    epoch_ = epoch;
    until_ = until;
    began_ = now;
}

void once_register::extend(time_point until)
{
    until_ = std::max(until_, until);
}

void once_register::end()
{
    epoch_ = 0;
    until_ = {};
    entries_.clear();
    counts_.clear();
    order_.clear();
}

bool once_register::is_home(std::uint64_t epoch, time_point now) const
{
    return epoch_ != 0 && epoch == epoch_ && now < until_;
}

// Whether the key could have been granted by an earlier home. A key from the future is refused at
// all times: granted here, it would look young to a successor.
std::optional<once_refusal> once_register::refuse_key(const once_claim& it, once_moment now) const
{
    if (it.made && *it.made > now.wall + options_.future_allowance)
        return once_refusal::key_too_new;
    if (epoch_ == 1 || now.boot >= began_.boot + options_.retention)
        return std::nullopt;
    if (it.made && *it.made > began_.wall + options_.clock_guard)
        return std::nullopt;
    return once_refusal::home_lost;
}

// The answer by what the register holds; nothing when the key may be claimed, if it is not refused.
std::optional<once_answer> once_register::known(const once_claim& it) const
{
    const auto found = entries_.find(it.key);
    if (found == entries_.end())
        return std::nullopt;
    const entry& held = found->second;
    if (held.now == state::not_run) {
        const bool stale = held.attempt.vm == it.attempt.vm && held.attempt.run == it.attempt.run &&
                           it.attempt.number <= held.attempt.number;
        return stale ? std::optional<once_answer>(once_refused{once_refusal::stale}) : std::nullopt;
    }
    if (held.fingerprint != it.fingerprint)
        return once_refused{once_refusal::key_reused};
    if (held.now == state::done)
        return once_done{held.status};
    if (held.now == state::unknown)
        return once_unknown{};
    if (held.attempt == it.attempt)
        return once_granted{epoch_};
    return once_running{};
}

once_answer once_register::claim(const once_claim& it, once_moment now)
{
    if (!is_home(it.epoch, now.boot))
        return once_refused{once_refusal::not_home};
    expire(now.boot);
    if (const auto answer = known(it))
        return *answer;
    if (const auto reason = refuse_key(it, now))
        return once_refused{*reason};
    const entry claimed{
        .now = state::running, .fingerprint = it.fingerprint, .attempt = it.attempt};
    if (!add(it.key, claimed, now.boot))
        return once_refused{once_refusal::register_full};
    return once_granted{epoch_};
}

// Puts an entry at the end of the order; a key that was taken back is replaced.
bool once_register::add(const once_key& key, entry it, time_point now)
{
    it.expires = now + options_.retention;
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        it.place = found->second.place;
        order_.splice(order_.end(), order_, it.place);
        found->second = it;
        return true;
    }
    const auto count = counts_.find(key.organisation);
    const bool full = entries_.size() >= options_.keys ||
                      (count != counts_.end() && count->second >= options_.keys_of_an_organisation);
    if (full)
        return false;
    it.place = order_.insert(order_.end(), key);
    entries_.emplace(key, it);
    ++counts_[key.organisation];
    return true;
}

// Only the attempt that was let run can settle. An unknown key is noted when its claim is taken
// back, so that the claim finds this if it is still on its way.
bool once_register::settle(const once_settlement& it, time_point now)
{
    if (epoch_ == 0 || it.epoch != epoch_)
        return false;
    expire(now);
    const auto found = entries_.find(it.key);
    if (found == entries_.end()) {
        return it.outcome == once_outcome::not_run &&
               add(it.key,
                   {.now = state::not_run, .fingerprint = it.fingerprint, .attempt = it.attempt},
                   now);
    }
    entry& held = found->second;
    if (held.now != state::running || held.attempt != it.attempt)
        return false;
    switch (it.outcome) {
    case once_outcome::not_run:
        held.now = state::not_run;
        break;
    case once_outcome::ran:
        held.now = state::done;
        held.status = it.status;
        break;
    case once_outcome::unknown:
        held.now = state::unknown;
        break;
    }
    return true;
}

void once_register::claimers_gone(vm_id vm, incarnation first_alive)
{
    for (auto& [key, it] : entries_) {
        if (it.now == state::running && it.attempt.vm == vm && it.attempt.run < first_alive)
            it.now = state::unknown;
    }
}

// Every entry lives equally long from its last claim, so the order of claims is the order of ends.
void once_register::expire(time_point now)
{
    while (!order_.empty()) {
        const auto found = entries_.find(order_.front());
        assert(found != entries_.end());
        if (now < found->second.expires)
            return;
        const auto count = counts_.find(order_.front().organisation);
        if (--count->second == 0)
            counts_.erase(count);
        entries_.erase(found);
        order_.pop_front();
    }
}

} // namespace jasminebank
