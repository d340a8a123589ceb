#pragma once

// The idempotency keys of one shard, held in memory by the shard's coordinator: which requests were
// granted, and how they ended. Performs no I/O and reads no clock.
//
// The coordinator holds a lease with an epoch and grants nothing after the end of the lease by its
// own clock. A successor starts with an empty register. Until the retention has passed, it
// therefore grants only keys that were created after its lease began, as their UUIDv7 timestamp
// proves; after the retention, every entry of an earlier coordinator would have expired. The proof
// does not depend on the clocks of callers, because each coordinator also refuses keys whose
// timestamp lies in its own future. It depends on the clocks of the VMs, which may be wrong by at
// most (clock_guard - future_allowance) / 2 each, since the clocks of both coordinators may be
// wrong, in opposite directions.
//
// The alternative is a compare-and-swap in the store for each claim and each completion. At 300
// requests with keys per second, that is 600 writes per second, 51.8 million a day; a lease renewed
// every 3 s costs 28,800 writes a day for each shard. The disadvantage shows when a coordinator is
// lost: with 10 coordinators, the loss of one (11 s until a successor, then 5 s of clock guard)
// refuses 30/s * 16 s = 480 requests with UUIDv7 keys, and 30/s * 611 s = 18,330 requests if no key
// has a timestamp (11 s, then 600 s of retention).

#include "once_messages.h"

#include <list>
#include <optional>
#include <unordered_map>

namespace jasminebank {

/// Both clocks of a VM, read at the same moment. The wall clock serves only to judge the age of
/// keys.
struct clock_reading {
    time_point boot;
    wall_time wall;
};

struct idempotency_register_options {
    duration retention = std::chrono::minutes(10); ///< from the claim; no entry expires earlier
    /// A key is newer than the lease if its timestamp is more than this after the lease's start.
    std::chrono::milliseconds clock_guard = std::chrono::seconds(5);
    std::chrono::milliseconds future_allowance = std::chrono::seconds(2);
    std::size_t max_keys = 65'536; ///< entries in total
    std::size_t max_keys_per_organisation = 16'384;
};

class idempotency_register {
public:
    explicit idempotency_register(idempotency_register_options options = {});

    /// Starts an empty register under a newly acquired lease. `until` is counted from when the
    /// write that acquired the lease was sent. Epoch 1 has no predecessor, so any key may be
    /// claimed at once.
    void begin_lease(std::uint64_t epoch, time_point until, clock_reading now);
    /// The current lease was renewed.
    void extend_lease(time_point until);
    /// The lease was released or lost.
    void end_lease();

    /// An unrecorded key is granted only if it was created after `placed`, if given: before,
    /// another coordinator may have granted it.
    claim_answer claim(const idempotency_claim& it, clock_reading now,
                       const std::optional<clock_reading>& placed = {});
    /// Ends a claim or withdraws one that has not arrived yet. Returns false if no recorded claim
    /// matches and none was withdrawn. May be repeated.
    bool complete(const claim_completion& it, time_point now);
    /// The incarnations of `vm` before `first_live_run` have ended: their running claims become
    /// unknown, because their requests may have run.
    void mark_claims_unknown(vm_id vm, incarnation first_live_run);

    /// Drops entries that are past the retention.
    void expire(time_point now);

    std::uint64_t epoch() const { return epoch_; }
    std::size_t size() const { return entries_.size(); }

private:
    enum class claim_state : std::uint8_t { running, done, not_run, unknown };

    struct entry {
        claim_state state = claim_state::running;
        std::uint64_t fingerprint = 0;
        claim_attempt attempt = {}; ///< the latest that claimed the key or was withdrawn
        int status = 0;
        time_point expires = {};
        std::list<idempotency_key>::iterator expiry_position = {};
    };

    bool holds_lease(std::uint64_t epoch, time_point now) const;
    bool is_newer(const idempotency_claim& it, clock_reading start, clock_reading now) const;
    std::optional<claim_refusal>
    refusal_of_unrecorded_key(const idempotency_claim& it, clock_reading now,
                              const std::optional<clock_reading>& placed) const;
    std::optional<claim_answer> recorded_answer(const idempotency_claim& it) const;
    bool add(const idempotency_key& key, entry it, time_point now);

    idempotency_register_options options_;
    std::uint64_t epoch_ = 0; ///< 0: no lease
    time_point lease_until_;
    clock_reading lease_began_;
    std::unordered_map<idempotency_key, entry> entries_;
    std::unordered_map<organisation_id, std::size_t> key_counts_;
    std::list<idempotency_key> expiry_order_; ///< first to expire in front
};

} // namespace jasminebank
