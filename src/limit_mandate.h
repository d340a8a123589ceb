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
struct past_mandate {
    limit_peer holder;
    std::uint64_t epoch = 0;
    std::uint32_t reserve_share = 0; ///< what it may still use, in 256ths of the part
    bool operator==(const past_mandate&) const = default;
};

/// The record in the store, one for each shard and failure domain.
struct mandate_record {
    limit_peer holder;
    std::uint64_t epoch = 0;   ///< grows with each change of the holder
    std::uint64_t renewal = 0; ///< grows with each write, so that a writer recognises its own
    duration lasts{};
    std::uint32_t reserve_share = 0; ///< what the holder may use past the end, in 256ths
    bool is_released = false;        ///< the holder stopped and nothing that it gave can be spent
    std::vector<past_mandate> unproven; ///< earlier holders that may still use their reserve
    bool operator==(const mandate_record&) const = default;
};

/// What the store answers to a write. `unknown`: it may have taken effect.
enum class mandate_outcome : std::uint8_t { written, conflict, unknown };

/// Write `record` if the version in the store is `expected`; version 0: no record.
struct mandate_write {
    std::uint64_t expected = 0;
    mandate_record record;
};
/// Read the record and pass it to observe().
struct mandate_read {};
/// Tell `to` that `past` has stopped for good; it calls retired().
struct mandate_retired {
    vm_id to;
    past_mandate past;
};

using mandate_action = std::variant<mandate_write, mandate_read, mandate_retired>;
using mandate_actions = std::vector<mandate_action>;

struct limit_mandate_options {
    limit_peer self;
    duration lasts = std::chrono::seconds(6);
    duration renew_every = std::chrono::seconds(2);
    duration retry_every =
        std::chrono::milliseconds(500); ///< after a conflict or an unknown outcome
    std::uint32_t reserve_share = 204;  ///< of what a holder has, in 256ths
    duration reserve_for = std::chrono::hours(6);
    duration rank_step = std::chrono::milliseconds(500); ///< delay of each lower rank's attempt
};

class limit_mandate {
public:
    limit_mandate(const limit_mandate_options& options, time_point now);

    /// The record as read or watched; no record is version 0. Older versions are ignored.
    void observe(const mandate_record& record, std::uint64_t version, time_point now);
    /// Answer to the mandate_write whose record has this renewal. `version` counts only if written.
    void answered(std::uint64_t renewal, mandate_outcome outcome, std::uint64_t version,
                  time_point now);
    /// A run of a node was heard of: all earlier runs on the same VM are gone.
    void seen(limit_peer member, time_point now);
    /// It is certain that this run has ended, for example as its address refuses connections.
    void gone(limit_peer member, time_point now);
    /// An earlier holder says that it has stopped for good.
    void retired(const past_mandate& past);
    /// Gives the mandate up, for a planned stop.
    void release(time_point now);
    /// `rank`: 0 for the node that should hold the mandate, 1 for the next, ...; none: not at all.
    void tick(std::optional<std::uint32_t> rank, time_point now, mandate_actions& out);

    /// What the holder may do; changes only at events and ticks.
    mandate_terms terms() const;
    bool is_holder() const { return state_ == state::holding; }
    /// True once a release is written or was not needed.
    bool is_gone() const { return state_ == state::idle; }
    std::uint64_t epoch() const { return epoch_; }
    /// Holder by the newest record seen; vm 0 if none.
    limit_peer holder() const { return known_.is_released ? limit_peer{} : known_.holder; }

private:
    enum class state : std::uint8_t { idle, holding, releasing };

    struct sent_write {
        std::uint64_t epoch = 0;
        std::uint64_t renewal = 0;
        time_point sent;
        mandate_record record;
    };

    // All runs of this VM before this one are gone.
    struct newer_run {
        limit_peer member;
        time_point seen;
    };

    void write(mandate_record record, time_point now, mandate_actions& out);
    void adopt(const sent_write& it);
    void lose(time_point now);
    void note_run(limit_peer first_alive, time_point now);
    void renew(time_point now, mandate_actions& out);
    void take_over(std::uint32_t rank, time_point now, mandate_actions& out);
    void tell_retirement(time_point now, mandate_actions& out);
    time_point free_at() const;
    bool is_proven(const past_mandate& past, time_point now) const;
    std::optional<time_point> gone_since(limit_peer holder) const;
    void prune(std::vector<past_mandate>& unproven, time_point now) const;
    static std::uint32_t share_beside(const std::vector<past_mandate>& unproven);

    limit_mandate_options options_;
    time_point started_;
    state state_ = state::idle;
    mandate_record known_;
    std::uint64_t version_ = 0;
    bool was_observed_ = false;
    time_point first_seen_{};
    std::uint64_t epoch_ = 0;
    std::vector<past_mandate> unproven_;
    time_point taken_over_{};
    time_point until_{};
    std::uint32_t reserve_share_ = 0; // as written
    time_point release_at_{};
    std::uint64_t renewals_ = 0;
    std::optional<sent_write> in_flight_;
    std::vector<sent_write> unknown_; // newest last
    time_point next_attempt_{};
    bool must_read_ = true;
    std::vector<newer_run> runs_;
    std::vector<past_mandate> retired_;
    std::optional<past_mandate> own_past_;
    time_point stopped_at_{};
    time_point next_tell_{};
};

} // namespace jasminebank
