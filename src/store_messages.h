#pragma once

// Requests and responses of the platform's key-value store: entries, transactions, leases, watch
// events and errors. The client, the in-memory store and the stand-in server share these types.

#include "result.h"
#include "types.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminebank {

/// Revision of the store: increases by one with every transaction that changes a key. Within an era
/// of the store it never decreases, so an answer with a lower revision than an earlier one is
/// stale.
using store_revision = std::int64_t;

/// Identifies a lease of the store; 0 means no lease.
using lease_id = strong_id<struct lease_tag>;

/// A key with its value and its write history counters.
struct store_entry {
    std::string key{};
    std::string value{};
    store_revision create_revision = 0; ///< revision that created the key
    store_revision mod_revision = 0;    ///< revision of the latest write
    std::int64_t version = 0;           ///< number of writes since the key was created
    lease_id lease{};                   ///< the key is deleted when this lease ends
    bool operator==(const store_entry&) const = default;
};

/// The half-open key interval [`key`, `range_end`); an empty `range_end` selects only `key`.
struct store_key_range {
    std::string key;
    std::string range_end;
};

/// Returns the range of all keys that start with `prefix`, which must not be empty.
store_key_range prefix_range(std::string prefix);

/// True if `key` lies in `range`.
bool contains(const store_key_range& range, const std::string& key);

/// Answer to a read, sorted by key. `revision` is the revision of the store that was read.
struct store_range {
    store_revision revision = 0;
    std::vector<store_entry> entries;
};

/// The property of a key that a comparison examines.
enum class compare_target : std::uint8_t { mod_revision, create_revision, value };

/// Precondition of a transaction: the property of `key` equals the expected revision or value. An
/// absent key has both revisions 0 and equals no value.
struct store_compare {
    std::string key;
    compare_target target = compare_target::mod_revision;
    store_revision expected_revision = 0;
    std::string expected_value;
};

/// Comparison that succeeds if the latest write of `key` is the one of `mod_revision`.
store_compare unchanged_since(std::string key, store_revision mod_revision);

/// Comparison that succeeds if `key` does not exist.
store_compare absent(std::string key);

/// Writes `key` and attaches it to `lease`, unless `lease` is 0.
struct store_put {
    std::string key;
    std::string value;
    lease_id lease{};
};

/// Transaction: if all comparisons succeed, all puts and deletes are applied atomically; otherwise
/// the compared keys are read. A transaction may write each key only once.
struct store_txn {
    std::vector<store_compare> compares;
    std::vector<store_put> puts;
    std::vector<store_key_range> deletes;
};

/// Answer to a transaction.
struct store_commit {
    store_revision revision = 0;
    bool succeeded = false;
    std::vector<store_entry> found; ///< existing compared keys; empty if it succeeded
};

/// A lease and its remaining time, in whole seconds.
struct store_lease {
    lease_id lease;
    duration ttl{};
};

/// One change of a key. For a deletion, `entry` has only the key and the revision set.
struct store_event {
    bool deleted = false;
    store_entry entry;
};

/// Changes in order of revision. A batch contains all events of a revision or none of them.
struct store_event_batch {
    store_revision revision = 0;
    std::vector<store_event> events;
};

/// Why a store call failed.
enum class store_error_kind : std::uint8_t {
    unreachable,     ///< no connection, or it broke; the call had no effect
    timed_out,       ///< no answer before the deadline; `commit` returns outcome_unknown
    outcome_unknown, ///< the transaction may have taken effect or still may; read to find out
    overloaded,      ///< refused by the rate limit of the store; no effect
    refused,         ///< rejected as an invalid request; no effect
    lease_lost,      ///< the lease has ended; no effect
    malformed,       ///< the answer cannot be decoded or is too large
};

struct store_error {
    store_error_kind kind = store_error_kind::unreachable;
    std::string detail; ///< for the log
};

/// Operations that callers require of a store; lets tests use an in-memory one.
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
    // Number of restores from an older copy, as of the newest answer; 0 if the store does not tell.
    {
        it.era()
        } -> std::same_as<std::uint64_t>;
};

/// A store that tells its present revision without sending a value. It must tell its era, too:
/// after a restore from an older copy, revisions are given out again.
template <class Store>
concept revision_store = key_value_store<Store> && requires(Store& it)
{
    {
        it.revision()
        } -> std::same_as<result<store_revision, store_error>>;
};

} // namespace jasminebank
