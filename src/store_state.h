#pragma once

// In-memory state of a key-value store: revisions, transactions, leases and the change history that
// watches read. It has no sockets, threads or clock; the stand-in server and tests build on it.

#include "store_messages.h"

#include <deque>
#include <map>
#include <optional>

namespace jasminebank {

struct store_state_options {
    std::size_t max_value_bytes = std::size_t{1} << 20;
    std::size_t max_txn_operations = 128;
    std::size_t max_history_events = 10'000; ///< older events are compacted
    std::size_t max_history_bytes = std::size_t{64} << 20;
};

/// Result of a history read: changes, or the notice that the first requested ones were compacted.
struct store_history {
    store_event_batch batch;
    store_revision compact_revision = 0; ///< if above 0: changes up to this revision were compacted
};

/// Not thread-safe. Callers must call `step` before other calls whenever time has passed.
class store_state {
public:
    explicit store_state(const store_state_options& options = {});

    /// Ends the leases that have expired by `now` and deletes their keys.
    void step(time_point now);

    store_revision revision() const { return revision_; }

    /// Returns the current entries of `keys`.
    store_range range(const store_key_range& keys) const;

    /// Returns the entries as of `age` revisions ago, or as of the oldest revision still kept.
    store_range range_before(const store_key_range& keys, store_revision age) const;

    /// Errors: `refused` if the transaction has too many operations, too large a value, an empty
    /// key or writes a key twice; `lease_lost` if a put names a lease that has ended.
    result<store_commit, store_error> commit(const store_txn& txn);

    /// Grants a lease that expires `ttl` after `now`; `ttl` is rounded up to whole seconds, at
    /// least one.
    store_lease grant_lease(duration ttl, time_point now);
    result<store_lease, store_error> keep_lease_alive(lease_id lease, time_point now);
    result<ok, store_error> revoke_lease(lease_id lease);
    /// Ends all leases, as if every holder had stopped renewing its lease.
    void expire_all_leases();

    /// Returns the changes of `keys` from revision `from` on, up to and including the revision
    /// with which the batch reaches `max_bytes`.
    store_history history(const store_key_range& keys, store_revision from,
                          std::size_t max_bytes) const;
    /// True if `history` would return events or report a compaction.
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
    using lease_map = std::map<std::uint64_t, lease_record>; ///< key: numeric lease id

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
