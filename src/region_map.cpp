#include "region_map.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace jasminebank {

region_restriction intersect_regions(const std::vector<region_id>& a,
                                     const std::vector<region_id>& b)
{
    if (a.empty() && b.empty())
        return std::nullopt;
    if (a.empty() || b.empty())
        return a.empty() ? b : a;
    std::vector<region_id> out;
    std::ranges::set_intersection(a, b, std::back_inserter(out));
    return out;
}

void region_map::assign(failure_domain_id domain, region_id region)
{
    regions_[domain] = region;
}

std::optional<region_id> region_map::region_of(failure_domain_id domain) const
{
    const auto it = regions_.find(domain);
    if (it == regions_.end())
        return std::nullopt;
    return it->second;
}

std::size_t region_map::region_count() const
{
    std::unordered_set<region_id> out;
    for (const auto& [domain, region] : regions_)
        out.insert(region);
    return out.size();
}

bool region_map::is_allowed(failure_domain_id domain, const region_restriction& allowed) const
{
    if (!allowed)
        return true;
    const auto region = region_of(domain);
    return region && std::ranges::binary_search(*allowed, *region);
}

region_map_reading read_region_map(const ini_file& file)
{
    region_map_reading out;
    const ini_section* section = find_section(file, regions_section);
    if (section == nullptr)
        return out;
    for (const ini_field& it : section->fields) {
        if (!it.value.empty()) {
            out.map.assign(id_of<failure_domain_id>(it.name), id_of<region_id>(it.value));
            continue;
        }
        out.rejected.push_back({.file = file.name,
                                .line = it.line,
                                .section = section->name,
                                .field = it.name,
                                .found = "\"\"",
                                .allowed = "the name of the domain's region"});
    }
    return out;
}

} // namespace jasminebank
