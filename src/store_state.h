#pragma once

// The key-value store in memory: revisions, transactions, leases and the history that watches read.
// It has no socket, thread or clock; the stand-in and tests use it.

#include "store_messages.h"

#include <deque>
#include <map>
#include <optional>

namespace jasminebank {

struct store_state_options {
    std::size_t max_value_bytes = std::size_t{1} << 20;
    std::size_t max_txn_operations = 128;
    std::size_t max_history_events = 10'000; ///< older ones are compacted away
    std::size_t max_history_bytes = std::size_t{64} << 20;
};

/// What a watch gets: changes, or that its first ones are no longer kept.
struct store_history {
    store_event_batch batch;
    store_revision compact_revision = 0; ///< above 0: changes up to this one are lost
};

/// Not thread-safe. Call `step` first whenever time has passed.
class store_state {
public:
    explicit store_state(const store_state_options& options = {});

    /// Ends the leases whose time is over and deletes their keys.
    void step(time_point now);

    store_revision revision() const { return revision_; }

    /// Entries as they are now.
    store_range range(const store_key_range& keys) const;

    /// Entries as they were `age` revisions ago, or at the oldest revision kept.
    store_range range_before(const store_key_range& keys, store_revision age) const;

    /// Errors: refused (too large, a key twice, nothing to do), lease_lost.
    result<store_commit, store_error> commit(const store_txn& txn);

    /// The lease ends `ttl`, rounded up to whole seconds, after `now`.
    store_lease grant_lease(duration ttl, time_point now);
    result<store_lease, store_error> keep_lease_alive(lease_id lease, time_point now);
    result<ok, store_error> revoke_lease(lease_id lease);
    /// Ends every lease, as if their holders had been paused for long.
    void expire_all_leases();

    /// Changes of `keys` from revision `from` on. Ends with the revision that reaches `max_bytes`.
    store_history history(const store_key_range& keys, store_revision from,
                          std::size_t max_bytes) const;
    /// True if `history` would have something to tell.
    bool changed_since(const store_key_range& keys, store_revision from) const;

private:
    struct lease_record {
        duration ttl{};
        time_point ends;
    };
    struct history_record {
        store_event event;
        std::optional<store_entry> before;
    };
    using entry_map = std::map<std::string, store_entry>;
    using lease_map = std::map<std::uint64_t, lease_record>; ///< by the value of the id

    bool holds(const store_compare& it) const;
    std::optional<store_error> check(const store_txn& txn) const;
    void put(const store_put& it);
    void erase(const std::string& key);
    void erase_range(const store_key_range& keys);
    void end_lease(lease_map::iterator it);
    void record(store_event event, std::optional<store_entry> before);
    void trim_history();
    std::deque<history_record>::const_iterator first_record(store_revision from) const;

    store_state_options options_;
    store_revision revision_ = 1;
    store_revision compact_revision_ = 0;
    entry_map entries_;
    lease_map leases_;
    std::uint64_t last_lease_ = 0;
    std::deque<history_record> history_;
    std::size_t history_bytes_ = 0;
};

} // namespace jasminebank
