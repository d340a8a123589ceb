#pragma once

// The idempotency keys of one shard, at the shard's home: which requests were let run, and what
// became of them. In memory only. Decisions without I/O or clock.
//
// The home holds a mandate with an epoch; it grants nothing past the mandate's end, by its own
// clock. A successor starts with an empty register. For the retention it therefore grants only keys
// that were made after its mandate began, as their UUIDv7 time proves; after the retention no entry
// of an earlier home would be left. The proof does not rest on callers' clocks, since each home
// also refuses keys whose time lies in its own future; it rests on the VMs' clocks, which may
// differ by (clock_guard - future_allowance) / 2.
//
// The other way is a compare-and-swap in the store for each claim and each settlement. At 300 keyed
// requests a second that is 600 writes a second, 51.8 million a day; a mandate renewed every 3 s
// costs 28,800 a day for each shard. Its price is the loss of a home: with 10 homes, a lost one
// (11 s until a successor, then 5 s of guard) refuses 30/s * 16 s = 480 requests with UUIDv7 keys,
// and 30/s * 611 s = 18,330 if no key tells its time.

#include "once_messages.h"

#include <list>
#include <unordered_map>

namespace jasminebank {

/// One moment by both clocks of a VM. Only the age of keys is judged by the wall clock.
struct clock_reading {
    time_point boot;
    wall_time wall;
};

struct idempotency_register_options {
    duration retention = std::chrono::minutes(10); ///< from the claim; entries never leave earlier
    std::chrono::milliseconds clock_guard = std::chrono::seconds(5);
    std::chrono::milliseconds future_allowance = std::chrono::seconds(2);
    std::size_t max_keys = 65'536; ///< entries in all
    std::size_t max_keys_per_organisation = 16'384;
};

class idempotency_register {
public:
    explicit idempotency_register(idempotency_register_options options = {});

    /// A mandate was taken over: the register starts empty. `until` counts from when its write was
    /// sent. Epoch 1 has no predecessor, so every key may be claimed at once.
    void begin_lease(std::uint64_t epoch, time_point until, clock_reading now);
    /// The mandate in force was renewed.
    void extend_lease(time_point until);
    /// The mandate was given up or lost.
    void end_lease();

    claim_answer claim(const idempotency_claim& it, clock_reading now);
    /// False when the register holds nothing that this could settle. May be repeated.
    bool complete(const claim_completion& it, time_point now);
    /// All runs of `vm` before `first_live_run` are gone: what they let run may have run.
    void mark_claims_unknown(vm_id vm, incarnation first_live_run);

    /// Drops what is past the retention.
    void expire(time_point now);

    std::uint64_t epoch() const { return epoch_; }
    std::size_t size() const { return entries_.size(); }

private:
    enum class claim_state : std::uint8_t { running, done, not_run, unknown };

    struct entry {
        claim_state state = claim_state::running;
        std::uint64_t fingerprint = 0;
        claim_attempt attempt = {}; ///< the last that claimed or was taken back
        int status = 0;
        time_point expires = {};
        std::list<idempotency_key>::iterator expiry_position = {};
    };

    bool holds_lease(std::uint64_t epoch, time_point now) const;
    std::optional<claim_refusal> refusal_of_unrecorded_key(const idempotency_claim& it,
                                                           clock_reading now) const;
    std::optional<claim_answer> recorded_answer(const idempotency_claim& it) const;
    bool add(const idempotency_key& key, entry it, time_point now);

    idempotency_register_options options_;
    std::uint64_t epoch_ = 0; ///< 0: no mandate
    time_point lease_until_;
    clock_reading lease_began_;
    std::unordered_map<idempotency_key, entry> entries_;
    std::unordered_map<organisation_id, std::size_t> key_counts_;
    std::list<idempotency_key> expiry_order_; ///< next to expire first
};

} // namespace jasminebank
