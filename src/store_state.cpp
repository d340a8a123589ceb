#include "store_state.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace jasminebank {

store_state::store_state(const store_state_options& options) : options_(options) {}

template <class Iterator>
struct iterator_range {
    Iterator first;
    Iterator last;
    Iterator begin() const { return first; }
    Iterator end() const { return last; }
};

template <class Map>
static auto range_of(Map& entries, const store_key_range& keys)
{
    const auto first = entries.lower_bound(keys.key);
    const auto last = keys.range_end.empty()
                          ? entries.upper_bound(keys.key)
                          : entries.lower_bound(std::max(keys.key, keys.range_end));
    return iterator_range<decltype(first)>{first, last};
}

void store_state::step(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        const auto next = std::next(it);
        if (it->second.ends <= now)
            end_lease(it);
        it = next;
    }
}

store_range store_state::range(const store_key_range& keys) const
{
    store_range out{.revision = revision_, .entries = {}};
    for (const auto& [key, entry] : range_of(entries_, keys))
        out.entries.push_back(entry);
    return out;
}

// Starts from the current entries and undoes changes, newest first, back to the requested revision.
store_range store_state::range_before(const store_key_range& keys, store_revision age) const
{
    const store_revision past_revision =
        std::max({revision_ - age, compact_revision_, store_revision{1}});
    entry_map past_entries;
    for (const auto& [key, entry] : range_of(entries_, keys))
        past_entries.emplace(key, entry);
    for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
        const store_entry& changed = it->event.entry;
        if (changed.mod_revision <= past_revision)
            break;
        if (!contains(keys, changed.key))
            continue;
        past_entries.erase(changed.key);
        if (it->before)
            past_entries.emplace(changed.key, *it->before);
    }
    store_range out{.revision = past_revision, .entries = {}};
    for (auto& [key, entry] : past_entries)
        out.entries.push_back(std::move(entry));
    return out;
}

bool store_state::holds(const store_compare& it) const
{
    const auto found = entries_.find(it.key);
    const bool exists = found != entries_.end();
    switch (it.target) {
    case compare_target::mod_revision:
        return (exists ? found->second.mod_revision : 0) == it.expected_revision;
    case compare_target::create_revision:
        return (exists ? found->second.create_revision : 0) == it.expected_revision;
    case compare_target::value:
        return exists && found->second.value == it.expected_value;
    }
    return false;
}

// Rejects ambiguous or oversized transactions before anything is changed.
std::optional<store_error> store_state::check(const store_txn& txn) const
{
    const auto refuse = [](std::string why) {
        return store_error{.kind = store_error_kind::refused, .detail = std::move(why)};
    };
    if (std::max(txn.compares.size(), txn.puts.size() + txn.deletes.size()) >
        options_.max_txn_operations)
        return refuse("too many operations in txn request");
    std::set<std::string> written;
    for (const store_put& it : txn.puts) {
        if (it.key.empty())
            return refuse("key is not provided");
        if (it.value.size() > options_.max_value_bytes)
            return refuse("request is too large");
        if (!written.insert(it.key).second)
            return refuse("duplicate key given in txn request");
    }
    for (const store_key_range& keys : txn.deletes)
        for (const std::string& key : written)
            if (contains(keys, key))
                return refuse("duplicate key given in txn request");
    return std::nullopt;
}

result<store_commit, store_error> store_state::commit(const store_txn& txn)
{
    if (auto error = check(txn))
        return *std::move(error);
    const bool succeeded = std::all_of(txn.compares.begin(), txn.compares.end(),
                                       [&](const store_compare& it) { return holds(it); });
    store_commit out{.revision = revision_, .succeeded = succeeded, .found = {}};
    if (!succeeded) {
        std::set<std::string> keys;
        for (const store_compare& it : txn.compares)
            keys.insert(it.key);
        for (const std::string& key : keys)
            if (const auto it = entries_.find(key); it != entries_.end())
                out.found.push_back(it->second);
        return out;
    }
    for (const store_put& it : txn.puts)
        if (it.lease != lease_id{} && !leases_.contains(it.lease.value))
            return store_error{.kind = store_error_kind::lease_lost,
                               .detail = "requested lease not found"};
    const bool deletes_some =
        std::any_of(txn.deletes.begin(), txn.deletes.end(), [&](const store_key_range& it) {
            const auto found = range_of(entries_, it);
            return found.begin() != found.end();
        });
    if (txn.puts.empty() && !deletes_some)
        return out;
    ++revision_;
    for (const store_key_range& it : txn.deletes)
        erase_range(it);
    for (const store_put& it : txn.puts)
        put(it);
    trim_history();
    out.revision = revision_;
    return out;
}

void store_state::put(const store_put& it)
{
    const auto found = entries_.find(it.key);
    std::optional<store_entry> before;
    if (found != entries_.end())
        before = found->second;
    const store_entry after{.key = it.key,
                            .value = it.value,
                            .create_revision = before ? before->create_revision : revision_,
                            .mod_revision = revision_,
                            .version = before ? before->version + 1 : 1,
                            .lease = it.lease};
    entries_.insert_or_assign(it.key, after);
    record({.deleted = false, .entry = after}, std::move(before));
}

void store_state::erase(const std::string& key)
{
    const auto it = entries_.find(key);
    assert(it != entries_.end());
    store_event event{.deleted = true, .entry = {.key = it->first, .value = {}, .lease = {}}};
    event.entry.mod_revision = revision_;
    store_entry before = std::move(it->second);
    entries_.erase(it);
    record(std::move(event), std::move(before));
}

void store_state::erase_range(const store_key_range& keys)
{
    std::vector<std::string> deleted_keys;
    for (const auto& [key, entry] : range_of(entries_, keys))
        deleted_keys.push_back(key);
    for (const std::string& key : deleted_keys)
        erase(key);
}

store_lease store_state::grant_lease(duration ttl, time_point now)
{
    const auto whole =
        std::max(std::chrono::ceil<std::chrono::seconds>(ttl), std::chrono::seconds(1));
    const lease_id lease{++last_lease_};
    leases_.emplace(lease.value, lease_record{.ttl = whole, .ends = now + whole});
    return {.lease = lease, .ttl = whole};
}

static store_error lease_not_found()
{
    return {.kind = store_error_kind::lease_lost, .detail = "requested lease not found"};
}

result<store_lease, store_error> store_state::keep_lease_alive(lease_id lease, time_point now)
{
    const auto it = leases_.find(lease.value);
    if (it == leases_.end())
        return lease_not_found();
    it->second.ends = now + it->second.ttl;
    return store_lease{.lease = lease, .ttl = it->second.ttl};
}

result<ok, store_error> store_state::revoke_lease(lease_id lease)
{
    const auto it = leases_.find(lease.value);
    if (it == leases_.end())
        return lease_not_found();
    end_lease(it);
    return ok{};
}

void store_state::expire_all_leases()
{
    while (!leases_.empty())
        end_lease(leases_.begin());
}

// Deletes all keys of the lease in one revision.
void store_state::end_lease(lease_map::iterator it)
{
    std::vector<std::string> deleted_keys;
    for (const auto& [key, entry] : entries_)
        if (entry.lease.value == it->first)
            deleted_keys.push_back(key);
    leases_.erase(it);
    if (deleted_keys.empty())
        return;
    ++revision_;
    for (const std::string& key : deleted_keys)
        erase(key);
    trim_history();
}

static std::size_t bytes_of(const store_event& event, const std::optional<store_entry>& before)
{
    const std::size_t old_bytes = before ? before->value.size() : 0;
    return event.entry.key.size() + event.entry.value.size() + old_bytes;
}

void store_state::record(store_event event, std::optional<store_entry> before)
{
    history_bytes_ += bytes_of(event, before);
    history_.push_back({.event = std::move(event), .before = std::move(before)});
}

// Drops only whole revisions, and never the newest one.
void store_state::trim_history()
{
    const auto exceeds_limit = [&] {
        return history_.size() > options_.max_history_events ||
               history_bytes_ > options_.max_history_bytes;
    };
    const auto oldest = [&] { return history_.front().event.entry.mod_revision; };
    while (exceeds_limit() && oldest() < revision_) {
        const store_revision dropped = oldest();
        while (oldest() == dropped) {
            history_bytes_ -= bytes_of(history_.front().event, history_.front().before);
            history_.pop_front();
        }
        compact_revision_ = dropped;
    }
    assert(!history_.empty());
}

std::deque<store_state::history_record>::const_iterator
store_state::first_record(store_revision from) const
{
    const auto older = [](const history_record& it, store_revision revision) {
        return it.event.entry.mod_revision < revision;
    };
    return std::lower_bound(history_.begin(), history_.end(), from, older);
}

bool store_state::changed_since(const store_key_range& keys, store_revision from) const
{
    return from <= compact_revision_ ||
           std::any_of(first_record(from), history_.end(), [&](const history_record& it) {
               return contains(keys, it.event.entry.key);
           });
}

// If the requested revision was compacted, the result says so; otherwise the watch would miss
// changes without noticing.
store_history store_state::history(const store_key_range& keys, store_revision from,
                                   std::size_t max_bytes) const
{
    store_history out;
    out.batch.revision = revision_;
    if (from <= compact_revision_) {
        out.compact_revision = compact_revision_;
        return out;
    }
    std::size_t bytes = 0;
    store_revision last = 0;
    for (auto it = first_record(from); it != history_.end(); ++it) {
        const store_entry& entry = it->event.entry;
        if (bytes >= max_bytes && entry.mod_revision != last) {
            out.batch.revision = last;
            break;
        }
        last = entry.mod_revision;
        if (!contains(keys, entry.key))
            continue;
        bytes += entry.key.size() + entry.value.size();
        out.batch.events.push_back(it->event);
    }
    return out;
}

} // namespace jasminebank
