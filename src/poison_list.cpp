#include "poison_list.h"

#include "digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace jasminebank {

static std::uint64_t word_of(const digest& it, std::size_t first)
{
    std::uint64_t out = 0;
    for (std::size_t n = first; n < first + sizeof out; ++n)
        out = out << 8U | it.bytes[n];
    return out;
}

// Half of a SHA-256 over the parts, each with its length, so that no caller can make its request
// look like another's.
request_fingerprint fingerprint_of(organisation_id organisation, route_id route,
                                   std::string_view method, std::string_view content)
{
    const digest it = digest_of(fmt::format("{} {} {}:{} {}:{}", organisation.value, route.value,
                                            method.size(), method, content.size(), content));
    return {.high = word_of(it, 0), .low = word_of(it, sizeof(std::uint64_t))};
}

poison_list::poison_list(const poison_list_options& options) : options_(options)
{
    assert(options.victims_to_refuse >= 2 && options.max_victims >= options.victims_to_refuse);
}

// The later expiry of one victim wins, and beyond the bound the earliest expiry goes. An entry that
// was dropped had enough later ones against it, whose expiry can only grow, so the order in which
// entries come makes no difference.
bool poison_list::take(const entry& it, time_point now)
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
    const auto first_to_go =
        std::min_element(entries_.begin(), entries_.end(), [&](const entry& a, const entry& b) {
            return a.expires != b.expires ? a.expires < b.expires : before(a, b);
        });
    const bool was_new = key(*first_to_go) == key(it);
    entries_.erase(first_to_go);
    return !was_new;
}

bool poison_list::on_death(request_fingerprint fingerprint, backend_server_id server,
                           incarnation run, time_point now)
{
    return take({fingerprint, server, run, now + options_.lifetime}, now);
}

bool poison_list::merge(const std::vector<poison_victim>& told, time_point now)
{
    bool news = false;
    for (const poison_victim& it : told) {
        const duration remaining = std::min(it.remaining, options_.lifetime);
        news = take({it.fingerprint, it.server, it.run, now + remaining}, now) || news;
    }
    return news;
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

std::size_t poison_list::victims_of(request_fingerprint fingerprint, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const entry& it) {
            return it.fingerprint == fingerprint && it.expires > now;
        }));
}

bool poison_list::is_refused(request_fingerprint fingerprint, time_point now) const
{
    return victims_of(fingerprint, now) >= options_.victims_to_refuse;
}

duration poison_list::refused_for(request_fingerprint fingerprint, time_point now) const
{
    std::vector<duration> left;
    for (const entry& it : entries_) {
        if (it.fingerprint == fingerprint && it.expires > now)
            left.push_back(it.expires - now);
    }
    if (left.size() < options_.victims_to_refuse)
        return {};
    std::sort(left.begin(), left.end(), std::greater<>());
    return left[options_.victims_to_refuse - 1];
}

} // namespace jasminebank
