#include "limit_mandate.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

constexpr std::size_t max_unknown_writes = 16;
constexpr std::size_t max_unproven = 8;
constexpr std::size_t max_runs = 1024;
constexpr std::size_t max_retired = 64;
constexpr duration token_end =
    with_drift_margin(max_token_lifetime); // after it, nothing given is unspent

bool is_same(const past_mandate& a, const past_mandate& b)
{
    return a.holder == b.holder && a.epoch == b.epoch;
}

} // namespace

limit_mandate::limit_mandate(const limit_mandate_options& options, time_point now)
    : options_(options), started_(now)
{
    assert(options.reserve_share > 0 && options.reserve_share <= whole_share);
    assert(options.renew_every < options.lasts);
}

// ---- the store ----

// A version is timed from when it was first seen here, which is never before it was written. A
// higher epoch, whoever tells it, ends the own mandate at once.
void limit_mandate::observe(const mandate_record& record, std::uint64_t version, time_point now)
{
    if (was_observed_ && version < version_)
        return;
    must_read_ = false;
    if (was_observed_ && version == version_)
        return;
    was_observed_ = true;
    known_ = record;
    version_ = version;
    first_seen_ = now;
    renewals_ = std::max(renewals_, record.renewal);
    if (record.holder != options_.self) {
        if (state_ != state::idle)
            lose(now);
        return;
    }
    const auto own = std::ranges::find_if(unknown_, [&](const sent_write& it) {
        return it.epoch == record.epoch && it.renewal == record.renewal;
    });
    if (own != unknown_.end())
        adopt(sent_write(*own));
}

// A late answer to a write that was given up as unknown is ignored: a read tells the same.
void limit_mandate::answered(std::uint64_t renewal, mandate_outcome outcome, std::uint64_t version,
                             time_point now)
{
    if (!in_flight_ || in_flight_->renewal != renewal)
        return;
    const sent_write it = *in_flight_;
    in_flight_.reset();
    if (outcome == mandate_outcome::written) {
        if (version <= version_)
            return;
        known_ = it.record;
        version_ = version;
        was_observed_ = true;
        first_seen_ = now;
        adopt(it);
        return;
    }
    must_read_ = true;
    next_attempt_ = now + options_.retry_every;
    if (outcome == mandate_outcome::unknown) {
        unknown_.push_back(it);
        if (unknown_.size() > max_unknown_writes)
            unknown_.erase(unknown_.begin());
    }
}

// The own write has taken effect: the mandate runs from when it was sent.
void limit_mandate::adopt(const sent_write& it)
{
    unknown_.clear();
    if (it.record.is_released) {
        state_ = state::idle;
        return;
    }
    if (state_ == state::idle || epoch_ != it.epoch) {
        if (state_ != state::releasing)
            state_ = state::holding;
        epoch_ = it.epoch;
        taken_over_ = it.sent;
        unproven_ = it.record.unproven;
        own_past_.reset();
    }
    until_ = it.sent + options_.lasts;
    reserve_share_ = it.record.reserve_share;
    next_attempt_ = it.sent + options_.renew_every;
}

void limit_mandate::lose(time_point now)
{
    own_past_ = past_mandate{.holder = options_.self, .epoch = epoch_};
    stopped_at_ = now;
    next_tell_ = now + token_end;
    state_ = state::idle;
    unproven_.clear();
    unknown_.clear();
}

void limit_mandate::write(mandate_record record, time_point now, mandate_actions& out)
{
    record.renewal = ++renewals_;
    record.lasts = options_.lasts;
    record.reserve_share = share_beside(record.unproven) * options_.reserve_share / whole_share;
    in_flight_ =
        sent_write{.epoch = record.epoch, .renewal = record.renewal, .sent = now, .record = record};
    next_attempt_ = now + options_.retry_every;
    out.emplace_back(mandate_write{.expected = version_, .record = std::move(record)});
}

// ---- proofs ----

void limit_mandate::seen(limit_peer member, time_point now)
{
    note_run(member, now);
}

void limit_mandate::gone(limit_peer member, time_point now)
{
    note_run({.vm = member.vm, .run = {member.run.value + 1}}, now);
}

void limit_mandate::note_run(limit_peer first_alive, time_point now)
{
    const auto known = std::ranges::find_if(
        runs_, [&](const newer_run& it) { return it.member.vm == first_alive.vm; });
    if (known == runs_.end()) {
        if (runs_.size() >= max_runs)
            runs_.erase(runs_.begin());
        runs_.push_back({.member = first_alive, .seen = now});
    }
    else if (known->member.run < first_alive.run) {
        *known = {.member = first_alive, .seen = now};
    }
}

void limit_mandate::retired(const past_mandate& past)
{
    if (std::ranges::any_of(retired_, [&](const past_mandate& it) { return is_same(it, past); }))
        return;
    if (retired_.size() >= max_retired)
        retired_.erase(retired_.begin());
    retired_.push_back(past);
}

// When it was certain that this run has ended; the tokens that it gave live a little longer.
std::optional<time_point> limit_mandate::gone_since(limit_peer holder) const
{
    if (holder.vm == options_.self.vm && holder.run < options_.self.run)
        return started_;
    for (const newer_run& it : runs_) {
        if (it.member.vm == holder.vm && holder.run < it.member.run)
            return it.seen;
    }
    return std::nullopt;
}

// Stopped for sure: by its own word, by a newer run on its VM, or because its reserve has run out.
bool limit_mandate::is_proven(const past_mandate& past, time_point now) const
{
    if (std::ranges::any_of(retired_, [&](const past_mandate& it) { return is_same(it, past); }))
        return true;
    if (past.holder == options_.self)
        return (state_ == state::idle || past.epoch != epoch_) && now >= stopped_at_ + token_end;
    const std::optional<time_point> gone = gone_since(past.holder);
    if (gone && now >= *gone + token_end)
        return true;
    return state_ != state::idle &&
           now >= taken_over_ + with_drift_margin(options_.reserve_for) + token_end;
}

void limit_mandate::prune(std::vector<past_mandate>& unproven, time_point now) const
{
    std::erase_if(unproven, [&](const past_mandate& it) { return is_proven(it, now); });
}

std::uint32_t limit_mandate::share_beside(const std::vector<past_mandate>& unproven)
{
    std::uint32_t reserved = 0;
    for (const past_mandate& it : unproven)
        reserved += it.reserve_share;
    return reserved >= whole_share ? 0 : whole_share - reserved;
}

// The reserve is the one that the store has on record, so that a successor leaves at least as much.
mandate_terms limit_mandate::terms() const
{
    if (state_ != state::holding)
        return {};
    return {.share = share_beside(unproven_),
            .until = until_,
            .reserve_share = reserve_share_,
            .reserve_until = until_ + options_.reserve_for};
}

// ---- time ----

void limit_mandate::tick(std::optional<std::uint32_t> rank, time_point now, mandate_actions& out)
{
    tell_retirement(now, out);
    if (in_flight_ && now >= in_flight_->sent + options_.retry_every)
        answered(in_flight_->renewal, mandate_outcome::unknown, 0, now);
    prune(unproven_, now);
    if (in_flight_ || now < next_attempt_)
        return;
    if (must_read_) {
        next_attempt_ = now + options_.retry_every;
        out.emplace_back(mandate_read{});
    }
    else if (state_ != state::idle) {
        renew(now, out);
    }
    else if (rank) {
        take_over(*rank, now, out);
    }
}

// A release is written only when nothing that this holder gave can still be spent.
void limit_mandate::renew(time_point now, mandate_actions& out)
{
    mandate_record record;
    record.holder = options_.self;
    record.epoch = epoch_;
    record.unproven = unproven_;
    if (state_ == state::releasing) {
        if (now < release_at_)
            return;
        record.is_released = true;
    }
    write(std::move(record), now, out);
}

void limit_mandate::release(time_point now)
{
    if (state_ != state::holding)
        return;
    state_ = state::releasing;
    release_at_ = now + token_end;
    next_attempt_ = release_at_;
}

// When the last known mandate has ended for sure, its reserve aside.
time_point limit_mandate::free_at() const
{
    if (version_ == 0 || known_.is_released)
        return first_seen_;
    const time_point end = first_seen_ + with_drift_margin(known_.lasts);
    const std::optional<time_point> gone = gone_since(known_.holder);
    return gone ? std::min(end, *gone + token_end) : end;
}

// The write succeeds only if the version is still the one that was timed, so the mandate was not
// renewed meanwhile. Mandates without proof of their end stay in the record for successors to come.
void limit_mandate::take_over(std::uint32_t rank, time_point now, mandate_actions& out)
{
    if (!was_observed_ || now < free_at() + rank * options_.rank_step)
        return;
    mandate_record record;
    record.holder = options_.self;
    record.epoch = known_.epoch + 1;
    record.unproven = known_.unproven;
    if (version_ != 0 && !known_.is_released)
        record.unproven.push_back({.holder = known_.holder,
                                   .epoch = known_.epoch,
                                   .reserve_share = known_.reserve_share});
    prune(record.unproven, now);
    if (record.unproven.size() > max_unproven || share_beside(record.unproven) == 0)
        return;
    write(std::move(record), now, out);
}

// The successor is told until its record no longer lists this mandate.
void limit_mandate::tell_retirement(time_point now, mandate_actions& out)
{
    if (!own_past_ || now < next_tell_)
        return;
    const auto is_own = [&](const past_mandate& it) { return is_same(it, *own_past_); };
    if (std::ranges::none_of(known_.unproven, is_own)) {
        own_past_.reset();
        return;
    }
    next_tell_ = now + options_.renew_every;
    out.emplace_back(mandate_retired{.to = known_.holder.vm, .past = *own_past_});
}

} // namespace jasminebank
