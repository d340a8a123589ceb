#pragma once

// The lease on one shard of the rate limits in one failure domain. Its holder owns the token
// buckets of the shard. The lease is a record in the store, renewed by compare-and-swap, with an
// epoch (fencing token) and a time to live instead of an absolute end: the holder counts the time
// to live from when it sent the write, all other nodes from when they first read the version, so
// the lease ends at the holder before any other node can acquire it.
//
// While the store is unreachable, no holder can be replaced. A holder that could not renew its
// lease goes on with a reserve share for a bounded time. A successor leaves that share unused until
// it is certain that the earlier holder has stopped.

#include "limit_holder.h"

#include <optional>

namespace jasminebank {

/// An earlier lease whose holder is not known to have stopped.
struct past_lease {
    limit_peer holder;
    std::uint64_t epoch = 0;
    std::uint32_t reserve_share = 0; ///< still usable, in 256ths of the domain's part
    bool operator==(const past_lease&) const = default;
};

/// The lease as stored, one record for each shard and failure domain.
struct lease_record {
    limit_peer holder;
    std::uint64_t epoch = 0;   ///< increases with each change of the holder
    std::uint64_t renewal = 0; ///< increases with each write; identifies the write
    duration ttl{};
    std::uint32_t reserve_share = 0; ///< of the domain's part, in 256ths; usable after expiry
    bool is_released = false;        ///< holder stopped and all its granted tokens expired
    std::vector<past_lease> possibly_active; ///< earlier leases whose reserve may be in use
    bool operator==(const lease_record&) const = default;
};

/// Result of a write to the store. `unknown`: the write may have taken effect.
enum class lease_write_outcome : std::uint8_t { written, conflict, unknown };

/// Writes `record` if the version in the store is `expected`; version 0: no record exists.
struct lease_write {
    std::uint64_t expected = 0;
    lease_record record;
};
/// Reads the record and passes it to observe().
struct lease_read {};
/// Notifies the node `to` that the holder of `past` has stopped permanently; `to` then calls
/// holder_stopped().
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
    std::uint32_t reserve_share = 204;  ///< of the holder's share, in 256ths: about 80 %
    duration reserve_duration = std::chrono::hours(6);
    duration rank_delay =
        std::chrono::milliseconds(500); ///< the candidate of rank n waits n times this
};

class limit_lease {
public:
    limit_lease(const limit_lease_options& options, time_point now);

    /// Takes the record as read from the store; version 0 means no record. Older versions are
    /// ignored.
    void observe(const lease_record& record, std::uint64_t version, time_point now);
    /// Takes the result of the lease_write whose record has this `renewal`. `version` is valid only
    /// if the outcome is `written`.
    void write_completed(std::uint64_t renewal, lease_write_outcome outcome, std::uint64_t version,
                         time_point now);
    /// A run of a node's process was observed: all earlier runs on the same VM have ended.
    void observe_run(limit_peer member, time_point now);
    /// This run has certainly ended, for example because its address refuses connections.
    void run_ended(limit_peer member, time_point now);
    /// An earlier holder reported that it has stopped permanently.
    void holder_stopped(const past_lease& past);
    /// Starts to release the lease, for a planned stop.
    void release(time_point now);
    /// `rank`: 0 for the preferred holder, 1 for the next, ...; none: must not acquire the lease.
    void tick(std::optional<std::uint32_t> rank, time_point now, lease_actions& out);

    /// The share that the holder may use and until when; changes only at events and ticks.
    lease_terms terms() const;
    bool is_holder() const { return state_ == state::holding; }
    /// True if no lease is held and no release is pending.
    bool is_idle() const { return state_ == state::idle; }
    std::uint64_t epoch() const { return epoch_; }
    /// Holder in the newest record read; vm 0 if none.
    limit_peer holder() const { return latest_.is_released ? limit_peer{} : latest_.holder; }

private:
    enum class state : std::uint8_t { idle, holding, releasing };

    struct sent_write {
        std::uint64_t epoch = 0;
        std::uint64_t renewal = 0;
        time_point sent;
        lease_record record;
    };

    // All runs on this VM before `member` have ended; known since `seen`.
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
    std::uint32_t reserve_share_ = 0; // as stored
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
