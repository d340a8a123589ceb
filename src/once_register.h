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
struct once_moment {
    time_point boot;
    wall_time wall;
};

struct once_register_options {
    duration retention = std::chrono::minutes(10); ///< from the claim; entries never leave earlier
    std::chrono::milliseconds clock_guard = std::chrono::seconds(5);
    std::chrono::milliseconds future_allowance = std::chrono::seconds(2);
    std::size_t keys = 65'536; ///< entries in all
    std::size_t keys_of_an_organisation = 16'384;
};

class once_register {
public:
    explicit once_register(once_register_options options = {});

    /// A mandate was taken over: the register starts empty. `until` counts from when its write was
    /// sent. Epoch 1 has no predecessor, so every key may be claimed at once.
    void begin(std::uint64_t epoch, time_point until, once_moment now);
    /// The mandate in force was renewed.
    void extend(time_point until);
    /// The mandate was given up or lost.
    void end();

    once_answer claim(const once_claim& it, once_moment now);
    /// False when the register holds nothing that this could settle. May be repeated.
    bool settle(const once_settlement& it, time_point now);
    /// All runs of `vm` before `first_alive` are gone: what they let run may have run.
    void claimers_gone(vm_id vm, incarnation first_alive);

    /// Drops what is past the retention.
    void expire(time_point now);

    std::uint64_t epoch() const { return epoch_; }
    std::size_t size() const { return entries_.size(); }

private:
    enum class state : std::uint8_t { running, done, not_run, unknown };

    struct entry {
        state now = state::running;
        std::uint64_t fingerprint = 0;
        once_attempt attempt = {}; ///< the last that claimed or was taken back
        int status = 0;
        time_point expires = {};
        std::list<once_key>::iterator place = {};
    };

    bool is_home(std::uint64_t epoch, time_point now) const;
    std::optional<once_refusal> refuse_key(const once_claim& it, once_moment now) const;
    std::optional<once_answer> known(const once_claim& it) const;
    bool add(const once_key& key, entry it, time_point now);

    once_register_options options_;
    std::uint64_t epoch_ = 0; ///< 0: no mandate
    time_point until_;
    once_moment began_;
    std::unordered_map<once_key, entry> entries_;
    std::unordered_map<organisation_id, std::size_t> counts_;
    std::list<once_key> order_; ///< next to expire first
};

} // namespace jasminebank
