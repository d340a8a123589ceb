#pragma once

// What goes to and from the platform's key-value store: entries, transactions, leases, watch events
// and errors. Shared by the client, the in-memory store and the stand-in.

#include "result.h"
#include "types.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminebank {

/// The store's counter of transactions that changed something. It never goes back, so an answer
/// with a smaller one than an earlier answer's is stale.
using store_revision = std::int64_t;

/// A lease of the store; 0 is none.
using lease_id = strong_id<struct lease_tag>;

/// One key with its value.
struct store_entry {
    std::string key{};
    std::string value{};
    store_revision create_revision = 0; ///< of the transaction that made the key
    store_revision mod_revision = 0;    ///< of the last one that wrote it
    std::int64_t version = 0;           ///< writes since it was made
    lease_id lease{};                   ///< the key goes when this lease ends
    bool operator==(const store_entry&) const = default;
};

/// Keys from `key` on and below `range_end`; an empty `range_end` means `key` alone.
struct store_key_range {
    std::string key;
    std::string range_end;
};

/// All keys that start with `prefix`. `prefix` must not be empty.
store_key_range prefix_range(std::string prefix);

/// True if `range` holds `key`.
bool contains(const store_key_range& range, const std::string& key);

/// Answer to a read, sorted by key. `revision` is the store's when it answered.
struct store_range {
    store_revision revision = 0;
    std::vector<store_entry> entries;
};

/// Which property of a key a comparison looks at.
enum class compare_target : std::uint8_t { mod_revision, create_revision, value };

/// Holds if the property of `key` equals what is expected. An absent key has revisions 0 and never
/// equals a value.
struct store_compare {
    std::string key;
    compare_target target = compare_target::mod_revision;
    store_revision expected_revision = 0;
    std::string expected_value;
};

/// Holds if nobody wrote `key` since `mod_revision`.
store_compare unchanged_since(std::string key, store_revision mod_revision);

/// Holds if there is no `key`.
store_compare absent(std::string key);

/// Writes `key`; bound to `lease` unless that is 0.
struct store_put {
    std::string key;
    std::string value;
    lease_id lease{};
};

/// Transaction: if all comparisons hold, all puts and deletes are done as one; else the compared
/// keys are read. A key may be written only once.
struct store_txn {
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<store_key_range> deletes;
};

/// Answer to a transaction.
struct store_commit {
    store_revision revision = 0;
    bool succeeded = false;
    std::vector<store_entry> found; ///< compared keys that exist, only if it did not succeed
};

/// A lease and what is left of it, in whole seconds.
struct store_lease {
    lease_id lease;
    duration ttl{};
};

/// One change of a key. After a delete, `entry` has only the key and the revision.
struct store_event {
    bool deleted = false;
    store_entry entry;
};

/// Changes in order of revision; never a part of a revision.
struct store_event_batch {
    store_revision revision = 0;
    std::vector<store_event> events;
};

/// Why a call of the store gave no answer.
enum class store_error_kind : std::uint8_t {
    unreachable,     ///< no connection, or it broke; nothing was done
    timed_out,       ///< no answer in time to a call that changes nothing
    outcome_unknown, ///< the transaction may have taken effect, now or later: read to know
    overloaded,      ///< the store refused for its rate; nothing was done
    refused,         ///< the store found the call wrong; nothing was done
    lease_lost,      ///< the lease has ended; nothing was done
    malformed,       ///< the answer is no such answer, or too large
};

struct store_error {
    store_error_kind kind = store_error_kind::unreachable;
    std::string detail; ///< for the log
};

/// What code needs of a store, so that tests may pass an in-memory one.
template <class Store>
concept key_value_store = requires(Store& it, const store_key_range& range, const store_txn& txn,
                                   duration ttl, lease_id lease)
{
    {
        it.range(range)
        } -> std::same_as<result<store_range, store_error>>;
    {
        it.commit(txn)
        } -> std::same_as<result<store_commit, store_error>>;
    {
        it.grant_lease(ttl)
        } -> std::same_as<result<store_lease, store_error>>;
    {
        it.keep_lease_alive(lease)
        } -> std::same_as<result<store_lease, store_error>>;
    {
        it.revoke_lease(lease)
        } -> std::same_as<result<ok, store_error>>;
};

} // namespace jasminebank
