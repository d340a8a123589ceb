#include "evacuation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminebank {

static void sort_unique(std::vector<std::string>& names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
}

evacuation_stamp evacuation_record::newest() const
{
    return std::max(state_.stamp, confirmed_);
}

bool evacuation_record::replace(evacuation_stamp stamp, std::vector<std::string> domains)
{
    const bool is_changed = state_.domains != domains;
    state_ = {.stamp = stamp, .domains = std::move(domains)};
    return is_changed;
}

bool evacuation_record::add(evacuation_stamp stamp, const std::vector<std::string>& domains)
{
    std::vector<std::string> both;
    std::set_union(state_.domains.begin(), state_.domains.end(), domains.begin(), domains.end(),
                   std::back_inserter(both));
    return replace(stamp, std::move(both));
}

// A set that is already known keeps its stamp, so that a fleet without changes sends none. The time
// at which it was last seen is kept apart, see `merge`.
bool evacuation_record::read(evacuation_read it)
{
    sort_unique(it.domains);
    const evacuation_stamp known = newest();
    if (it.stamp < known)
        return false;
    const bool is_era_settled = known.era == it.stamp.era && known.revision > 0;
    if (!it.is_settled && !is_era_settled) {
        const bool has_new = !std::includes(state_.domains.begin(), state_.domains.end(),
                                            it.domains.begin(), it.domains.end());
        return has_new && add({.era = it.stamp.era, .revision = 0}, it.domains);
    }
    if (it.domains != state_.domains)
        return replace(it.stamp, std::move(it.domains));
    confirmed_ = it.stamp;
    return false;
}

// A set with a stamp between the first and the last read of the own set is older than the own one:
// the store had both in turn. The own stamp is then raised, so that the own set wins at the other
// nodes too.
bool evacuation_record::merge(const evacuation_state& it)
{
    const evacuation_stamp known = newest();
    const bool is_same_set = it.domains == state_.domains;
    if (it.stamp < known) {
        if (!is_same_set && known.revision == 0)
            return add(known, it.domains);
        if (!is_same_set)
            state_.stamp = known;
        return false;
    }
    // Equal stamps with different sets: the pages of a read were of several revisions.
    if (it.stamp.revision == 0 || it.stamp == known)
        return add(it.stamp, it.domains);
    return replace(it.stamp, it.domains);
}

bool is_valid_domain_name(std::string_view name)
{
    const auto is_allowed = [](char c) {
        constexpr unsigned char del = 0x7f;
        const auto code = static_cast<unsigned char>(c);
        return code > ' ' && code != del && c != '"' && c != '\\';
    };
    return !name.empty() && name.size() <= max_evacuated_name_bytes &&
           std::all_of(name.begin(), name.end(), is_allowed);
}

checked_names check_domain_names(std::vector<std::string> names,
                                 const std::vector<failure_domain_id>& known)
{
    sort_unique(names);
    std::stable_partition(names.begin(), names.end(), [&](const std::string& it) {
        const auto id = id_of<failure_domain_id>(it);
        return std::find(known.begin(), known.end(), id) != known.end();
    });
    checked_names out;
    std::size_t bytes = 0;
    for (std::string& it : names) {
        const bool fits = out.accepted.size() < max_evacuated_domains &&
                          bytes + it.size() <= max_evacuated_names_bytes;
        if (!fits || !is_valid_domain_name(it)) {
            out.refused.push_back(std::move(it));
            continue;
        }
        bytes += it.size();
        out.accepted.push_back(std::move(it));
    }
    std::sort(out.accepted.begin(), out.accepted.end());
    return out;
}

std::vector<std::string> name_warnings::take_new(const std::vector<std::string>& names)
{
    std::vector<std::string> current = names;
    sort_unique(current);
    std::vector<std::string> out;
    std::set_difference(current.begin(), current.end(), reported_.begin(), reported_.end(),
                        std::back_inserter(out));
    reported_ = std::move(current);
    return out;
}

} // namespace jasminebank
