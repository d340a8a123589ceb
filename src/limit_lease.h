#pragma once

// Who holds the buckets of one shard in one failure domain: a record in the store, renewed by
// compare-and-swap. The record carries an epoch (fencing token) and a duration, no absolute time:
// the holder counts the duration from when it sent the write, all others from when they first saw
// the version, so the holder stops first.
//
// While the store is away nobody can be replaced. A holder that could not renew goes on with a
// reserve share for a bounded time, and a successor leaves that share unused until there is proof
// that the earlier holder has stopped.

#include "limit_holder.h"

#include <optional>

namespace jasminebank {

/// One mandate that ended without proof that its holder has stopped.
struct past_lease {
    limit_peer holder;
    std::uint64_t epoch = 0;
    std::uint32_t reserve_share = 0; ///< what it may still use, in 256ths of the part
    bool operator==(const past_lease&) const = default;
};

/// The record in the store, one for each shard and failure domain.
struct lease_record {
    limit_peer holder;
    std::uint64_t epoch = 0;   ///< grows with each change of the holder
    std::uint64_t renewal = 0; ///< grows with each write, so that a writer recognises its own
    duration ttl{};
    std::uint32_t reserve_share = 0; ///< what the holder may use past the end, in 256ths
    bool is_released = false;        ///< the holder stopped and nothing that it gave can be spent
    std::vector<past_lease> possibly_active; ///< earlier holders that may still use their reserve
    bool operator==(const lease_record&) const = default;
};

/// What the store answers to a write. `unknown`: it may have taken effect.
enum class lease_write_outcome : std::uint8_t { written, conflict, unknown };

/// Write `record` if the version in the store is `expected`; version 0: no record.
struct lease_write {
    std::uint64_t expected = 0;
    lease_record record;
};
/// Read the record and pass it to observe().
struct lease_read {};
/// Tell `to` that `past` has stopped for good; it calls retired().
struct lease_stop_notice {
    vm_id to;
    past_lease past;
};

using lease_action = std::variant<lease_write, lease_read, lease_stop_notice>;
using lease_actions = std::vector<lease_action>;

struct limit_lease_options {
    limit_peer self;
    duration ttl = std::chrono::seconds(6);
    duration renew_interval = std::chrono::seconds(2);
    duration retry_interval =
        std::chrono::milliseconds(500); ///< after a conflict or an unknown outcome
    std::uint32_t reserve_share = 204;  ///< of what a holder has, in 256ths
    duration reserve_duration = std::chrono::hours(6);
    duration rank_delay = std::chrono::milliseconds(500); ///< delay of each lower rank's attempt
};

class limit_lease {
public:
    limit_lease(const limit_lease_options& options, time_point now);

    /// The record as read or watched; no record is version 0. Older versions are ignored.
    void observe(const lease_record& record, std::uint64_t version, time_point now);
    /// Answer to the lease_write whose record has this renewal. `version` counts only if written.
    void write_completed(std::uint64_t renewal, lease_write_outcome outcome, std::uint64_t version,
                         time_point now);
    /// A run of a node was heard of: all earlier runs on the same VM are gone.
    void observe_run(limit_peer member, time_point now);
    /// It is certain that this run has ended, for example as its address refuses connections.
    void run_ended(limit_peer member, time_point now);
    /// An earlier holder says that it has stopped for good.
    void holder_stopped(const past_lease& past);
    /// Gives the mandate up, for a planned stop.
    void release(time_point now);
    /// `rank`: 0 for the node that should hold the mandate, 1 for the next, ...; none: not at all.
    void tick(std::optional<std::uint32_t> rank, time_point now, lease_actions& out);

    /// What the holder may do; changes only at events and ticks.
    mandate_terms terms() const;
    bool is_holder() const { return state_ == state::holding; }
    /// True once a release is written or was not needed.
    bool is_idle() const { return state_ == state::idle; }
    std::uint64_t epoch() const { return epoch_; }
    /// Holder by the newest record seen; vm 0 if none.
    limit_peer holder() const { return latest_.is_released ? limit_peer{} : latest_.holder; }

private:
    enum class state : std::uint8_t { idle, holding, releasing };

    struct sent_write {
        std::uint64_t epoch = 0;
        std::uint64_t renewal = 0;
        time_point sent;
        lease_record record;
    };

    // All runs of this VM before this one are gone.
    struct live_run {
        limit_peer member;
        time_point seen;
    };

    void write(lease_record record, time_point now, lease_actions& out);
    void confirm_write(const sent_write& it);
    void end_own_lease(time_point now);
    void record_live_run(limit_peer first_live, time_point now);
    void renew(time_point now, lease_actions& out);
    void try_acquire(std::uint32_t rank, time_point now, lease_actions& out);
    void notify_successor(time_point now, lease_actions& out);
    time_point available_at() const;
    bool has_stopped(const past_lease& past, time_point now) const;
    std::optional<time_point> run_ended_at(limit_peer holder) const;
    void remove_stopped(std::vector<past_lease>& possibly_active, time_point now) const;
    static std::uint32_t remaining_share(const std::vector<past_lease>& possibly_active);

    limit_lease_options options_;
    time_point started_;
    state state_ = state::idle;
    lease_record latest_;
    std::uint64_t version_ = 0;
    bool was_observed_ = false;
    time_point version_seen_at_{};
    std::uint64_t epoch_ = 0;
    std::vector<past_lease> possibly_active_;
    time_point acquired_at_{};
    time_point expires_at_{};
    std::uint32_t reserve_share_ = 0; // as written
    time_point release_at_{};
    std::uint64_t last_renewal_ = 0;
    std::optional<sent_write> in_flight_;
    std::vector<sent_write> unconfirmed_writes_; // newest last
    time_point next_attempt_{};
    bool needs_read_ = true;
    std::vector<live_run> live_runs_;
    std::vector<past_lease> stopped_leases_;
    std::optional<past_lease> own_ended_lease_;
    time_point stopped_at_{};
    time_point next_stop_notice_{};
};

} // namespace jasminebank
