#include "limit_lease.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

constexpr std::size_t max_unconfirmed_writes = 16;
// With more earlier leases that may be active, the lease is not acquired.
constexpr std::size_t max_possibly_active = 8;
constexpr std::size_t max_live_runs = 1024;
constexpr std::size_t max_stopped_leases = 64;
// This long after a holder stopped, all tokens that it granted have expired.
constexpr duration token_expiry = with_drift_margin(max_token_lifetime);

bool is_same_lease(const past_lease& a, const past_lease& b)
{
    return a.holder == b.holder && a.epoch == b.epoch;
}

} // namespace

limit_lease::limit_lease(const limit_lease_options& options, time_point now)
    : options_(options), started_(now)
{
    assert(options.reserve_share > 0 && options.reserve_share <= whole_share);
    assert(options.renew_interval < options.ttl);
}

// ---- the store ----

// A version is timed from when this node first read it, which is never before it was written. A
// newer record with another holder ends this node's lease at once.
void limit_lease::observe(const lease_record& record, std::uint64_t version, time_point now)
{
    if (was_observed_ && version < version_)
        return;
    needs_read_ = false;
    if (was_observed_ && version == version_)
        return;
    was_observed_ = true;
    latest_ = record;
    version_ = version;
    version_seen_at_ = now;
    last_renewal_ = std::max(last_renewal_, record.renewal);
    if (record.holder != options_.self) {
        if (state_ != state::idle)
            end_own_lease(now);
        return;
    }
    const auto own = std::ranges::find_if(unconfirmed_writes_, [&](const sent_write& it) {
        return it.epoch == record.epoch && it.renewal == record.renewal;
    });
    if (own != unconfirmed_writes_.end())
        confirm_write(sent_write(*own));
}

// A late result of a write that has already been counted as unknown is ignored: the next read shows
// whether the write took effect.
void limit_lease::write_completed(std::uint64_t renewal, lease_write_outcome outcome,
                                  std::uint64_t version, time_point now)
{
    if (!in_flight_ || in_flight_->renewal != renewal)
        return;
    const sent_write it = *in_flight_;
    in_flight_.reset();
    if (outcome == lease_write_outcome::written) {
        if (version <= version_)
            return;
        latest_ = it.record;
        version_ = version;
        was_observed_ = true;
        version_seen_at_ = now;
        confirm_write(it);
        return;
    }
    needs_read_ = true;
    next_attempt_ = now + options_.retry_interval;
    if (outcome == lease_write_outcome::unknown) {
        unconfirmed_writes_.push_back(it);
        if (unconfirmed_writes_.size() > max_unconfirmed_writes)
            unconfirmed_writes_.erase(unconfirmed_writes_.begin());
    }
}

// A write of this node has taken effect: the lease runs from when that write was sent.
void limit_lease::confirm_write(const sent_write& it)
{
    unconfirmed_writes_.clear();
    if (it.record.is_released) {
        state_ = state::idle;
        return;
    }
    if (state_ == state::idle || epoch_ != it.epoch) {
        if (state_ != state::releasing)
            state_ = state::holding;
        epoch_ = it.epoch;
        acquired_at_ = it.sent;
        possibly_active_ = it.record.possibly_active;
        own_ended_lease_.reset();
    }
    expires_at_ = it.sent + options_.ttl;
    reserve_share_ = it.record.reserve_share;
    next_attempt_ = it.sent + options_.renew_interval;
}

void limit_lease::end_own_lease(time_point now)
{
    own_ended_lease_ = past_lease{.holder = options_.self, .epoch = epoch_};
    stopped_at_ = now;
    next_stop_notice_ = now + token_expiry;
    state_ = state::idle;
    possibly_active_.clear();
    unconfirmed_writes_.clear();
}

void limit_lease::write(lease_record record, time_point now, lease_actions& out)
{
    record.renewal = ++last_renewal_;
    record.ttl = options_.ttl;
    record.reserve_share =
        remaining_share(record.possibly_active) * options_.reserve_share / whole_share;
    in_flight_ =
        sent_write{.epoch = record.epoch, .renewal = record.renewal, .sent = now, .record = record};
    next_attempt_ = now + options_.retry_interval;
    out.emplace_back(lease_write{.expected = version_, .record = std::move(record)});
}

// ---- earlier holders ----

void limit_lease::observe_run(limit_peer member, time_point now)
{
    record_live_run(member, now);
}

void limit_lease::run_ended(limit_peer member, time_point now)
{
    record_live_run({.vm = member.vm, .run = {member.run.value + 1}}, now);
}

void limit_lease::record_live_run(limit_peer first_live, time_point now)
{
    const auto known = std::ranges::find_if(
        live_runs_, [&](const live_run& it) { return it.member.vm == first_live.vm; });
    if (known == live_runs_.end()) {
        if (live_runs_.size() >= max_live_runs)
            live_runs_.erase(live_runs_.begin());
        live_runs_.push_back({.member = first_live, .seen = now});
    }
    else if (known->member.run < first_live.run) {
        *known = {.member = first_live, .seen = now};
    }
}

void limit_lease::holder_stopped(const past_lease& past)
{
    if (std::ranges::any_of(stopped_leases_,
                            [&](const past_lease& it) { return is_same_lease(it, past); }))
        return;
    if (stopped_leases_.size() >= max_stopped_leases)
        stopped_leases_.erase(stopped_leases_.begin());
    stopped_leases_.push_back(past);
}

// When it became certain that this run has ended. Tokens that it granted can still be spent for
// token_expiry after that.
std::optional<time_point> limit_lease::run_ended_at(limit_peer holder) const
{
    if (holder.vm == options_.self.vm && holder.run < options_.self.run)
        return started_;
    for (const live_run& it : live_runs_) {
        if (it.member.vm == holder.vm && holder.run < it.member.run)
            return it.seen;
    }
    return std::nullopt;
}

// True if the tokens that the holder granted have expired and one of these shows that it stopped:
// its own report, a newer run on its VM, or the expiry of its reserve.
bool limit_lease::has_stopped(const past_lease& past, time_point now) const
{
    if (std::ranges::any_of(stopped_leases_,
                            [&](const past_lease& it) { return is_same_lease(it, past); }))
        return true;
    if (past.holder == options_.self)
        return (state_ == state::idle || past.epoch != epoch_) && now >= stopped_at_ + token_expiry;
    const std::optional<time_point> ended_at = run_ended_at(past.holder);
    if (ended_at && now >= *ended_at + token_expiry)
        return true;
    return state_ != state::idle &&
           now >= acquired_at_ + with_drift_margin(options_.reserve_duration) + token_expiry;
}

void limit_lease::remove_stopped(std::vector<past_lease>& possibly_active, time_point now) const
{
    std::erase_if(possibly_active, [&](const past_lease& it) { return has_stopped(it, now); });
}

std::uint32_t limit_lease::remaining_share(const std::vector<past_lease>& possibly_active)
{
    std::uint32_t reserved = 0;
    for (const past_lease& it : possibly_active)
        reserved += it.reserve_share;
    return reserved >= whole_share ? 0 : whole_share - reserved;
}

// The reserve share is the stored one, so that a successor leaves at least as much unused.
lease_terms limit_lease::terms() const
{
    if (state_ != state::holding)
        return {};
    return {.share = remaining_share(possibly_active_),
            .until = expires_at_,
            .reserve_share = reserve_share_,
            .reserve_until = expires_at_ + options_.reserve_duration};
}

// ---- time ----

void limit_lease::tick(std::optional<std::uint32_t> rank, time_point now, lease_actions& out)
{
    notify_successor(now, out);
    if (in_flight_ && now >= in_flight_->sent + options_.retry_interval)
        write_completed(in_flight_->renewal, lease_write_outcome::unknown, 0, now);
    remove_stopped(possibly_active_, now);
    if (in_flight_ || now < next_attempt_)
        return;
    if (needs_read_) {
        next_attempt_ = now + options_.retry_interval;
        out.emplace_back(lease_read{});
    }
    else if (state_ != state::idle) {
        renew(now, out);
    }
    else if (rank) {
        try_acquire(*rank, now, out);
    }
}

// The release is written only once all tokens that this holder granted have expired.
void limit_lease::renew(time_point now, lease_actions& out)
{
    lease_record record;
    record.holder = options_.self;
    record.epoch = epoch_;
    record.possibly_active = possibly_active_;
    if (state_ == state::releasing) {
        if (now < release_at_)
            return;
        record.is_released = true;
    }
    write(std::move(record), now, out);
}

void limit_lease::release(time_point now)
{
    if (state_ != state::holding)
        return;
    state_ = state::releasing;
    release_at_ = now + token_expiry;
    next_attempt_ = release_at_;
}

// When the newest known lease has certainly ended, apart from its reserve.
time_point limit_lease::available_at() const
{
    if (version_ == 0 || latest_.is_released)
        return version_seen_at_;
    const time_point end = version_seen_at_ + with_drift_margin(latest_.ttl);
    const std::optional<time_point> ended_at = run_ended_at(latest_.holder);
    return ended_at ? std::min(end, *ended_at + token_expiry) : end;
}

// The write succeeds only if the stored version is still the one that was timed, that is, if the
// lease was not renewed meanwhile. Earlier leases whose holders may still be active stay in the
// record for later successors.
void limit_lease::try_acquire(std::uint32_t rank, time_point now, lease_actions& out)
{
    if (!was_observed_ || now < available_at() + rank * options_.rank_delay)
        return;
    lease_record record;
    record.holder = options_.self;
    record.epoch = latest_.epoch + 1;
    record.possibly_active = latest_.possibly_active;
    if (version_ != 0 && !latest_.is_released)
        record.possibly_active.push_back({.holder = latest_.holder,
                                          .epoch = latest_.epoch,
                                          .reserve_share = latest_.reserve_share});
    remove_stopped(record.possibly_active, now);
    if (record.possibly_active.size() > max_possibly_active ||
        remaining_share(record.possibly_active) == 0)
        return;
    write(std::move(record), now, out);
}

// Repeats the notice to the successor until its record no longer lists this node's ended lease.
void limit_lease::notify_successor(time_point now, lease_actions& out)
{
    if (!own_ended_lease_ || now < next_stop_notice_)
        return;
    const auto is_own = [&](const past_lease& it) { return is_same_lease(it, *own_ended_lease_); };
    if (std::ranges::none_of(latest_.possibly_active, is_own)) {
        own_ended_lease_.reset();
        return;
    }
    next_stop_notice_ = now + options_.renew_interval;
    out.emplace_back(lease_stop_notice{.to = latest_.holder.vm, .past = *own_ended_lease_});
}

} // namespace jasminebank
