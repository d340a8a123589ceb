#include "poison_list.h"

#include "digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace jasminebank {

static std::uint64_t word_at(const digest& it, std::size_t first)
{
    std::uint64_t out = 0;
    for (std::size_t n = first; n < first + sizeof out; ++n)
        out = out << 8U | it.bytes[n];
    return out;
}

// The first half of a SHA-256 over the parts. The texts are preceded by their lengths, so that a
// caller cannot forge the fingerprint of another organisation's request.
request_fingerprint fingerprint_of(organisation_id organisation, route_id route,
                                   std::string_view method, std::string_view content)
{
    const digest it = digest_of(fmt::format("{} {} {}:{} {}:{}", organisation.value, route.value,
                                            method.size(), method, content.size(), content));
    return {.high = word_at(it, 0), .low = word_at(it, sizeof(std::uint64_t))};
}

poison_list::poison_list(const poison_list_options& options) : options_(options)
{
    assert(options.victims_to_refuse >= 2 && options.max_victims >= options.victims_to_refuse);
}

// Of two expiry times for one victim the later is kept; beyond `max_victims`, the entry that
// expires first is dropped. A dropped entry was preceded by `max_victims` entries that expire
// later, and expiry times only increase, so the result does not depend on the order of insertion.
// True if the entry is new and was not dropped.
bool poison_list::insert_or_extend(const entry& it, time_point now)
{
    const auto key = [](const entry& e) {
        return std::tie(e.fingerprint.high, e.fingerprint.low, e.server.value, e.run.value);
    };
    const auto before = [&](const entry& a, const entry& b) { return key(a) < key(b); };
    std::erase_if(entries_, [&](const entry& e) { return e.expires <= now; });
    if (it.expires <= now)
        return false;
    const auto found = std::lower_bound(entries_.begin(), entries_.end(), it, before);
    if (found != entries_.end() && !before(it, *found)) {
        found->expires = std::max(found->expires, it.expires);
        return false;
    }
    entries_.insert(found, it);
    if (entries_.size() <= options_.max_victims)
        return true;
    const auto first_to_expire =
        std::min_element(entries_.begin(), entries_.end(), [&](const entry& a, const entry& b) {
            return a.expires != b.expires ? a.expires < b.expires : before(a, b);
        });
    const bool is_new_one_dropped = key(*first_to_expire) == key(it);
    entries_.erase(first_to_expire);
    return !is_new_one_dropped;
}

bool poison_list::on_server_crash(request_fingerprint fingerprint, backend_server_id server,
                                  incarnation run, time_point now)
{
    return insert_or_extend({fingerprint, server, run, now + options_.lifetime}, now);
}

bool poison_list::merge(const std::vector<poison_victim>& received, time_point now)
{
    bool changed = false;
    for (const poison_victim& it : received) {
        const duration remaining = std::min(it.remaining, options_.lifetime);
        changed =
            insert_or_extend({it.fingerprint, it.server, it.run, now + remaining}, now) || changed;
    }
    return changed;
}

std::vector<poison_victim> poison_list::entries(time_point now) const
{
    std::vector<poison_victim> out;
    for (const entry& it : entries_) {
        if (it.expires > now)
            out.push_back({it.fingerprint, it.server, it.run, it.expires - now});
    }
    return out;
}

std::size_t poison_list::victim_count(request_fingerprint fingerprint, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const entry& it) {
            return it.fingerprint == fingerprint && it.expires > now;
        }));
}

bool poison_list::is_refused(request_fingerprint fingerprint, time_point now) const
{
    return victim_count(fingerprint, now) >= options_.victims_to_refuse;
}

duration poison_list::remaining_refusal(request_fingerprint fingerprint, time_point now) const
{
    std::vector<duration> remaining;
    for (const entry& it : entries_) {
        if (it.fingerprint == fingerprint && it.expires > now)
            remaining.push_back(it.expires - now);
    }
    if (remaining.size() < options_.victims_to_refuse)
        return {};
    std::sort(remaining.begin(), remaining.end(), std::greater<>());
    return remaining[options_.victims_to_refuse - 1];
}

} // namespace jasminebank
