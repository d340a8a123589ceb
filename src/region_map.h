#pragma once

// Maps the failure domains to their regions. Requests and organisations that are restricted to
// regions are served only in domains that this map assigns to one of them.

#include "ini_file.h"
#include "types.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Name of the settings section with one line `DOMAIN = REGION` for each failure domain.
constexpr std::string_view regions_section = "regions";

/// Regions that a request may be served in: sorted, or nothing if it may be served in all. An empty
/// list allows no region.
using region_restriction = std::optional<std::vector<region_id>>;

/// The regions that both lists name; an empty list restricts nothing. Both must be sorted.
region_restriction intersect_regions(const std::vector<region_id>& a,
                                     const std::vector<region_id>& b);

/// Immutable after it has been filled. A domain that is not listed has no region.
class region_map {
public:
    /// Assigns a domain to a region, instead of an earlier one.
    void assign(failure_domain_id domain, region_id region);

    std::optional<region_id> region_of(failure_domain_id domain) const;
    /// True if the request may be served in `domain`. A domain without a region serves only
    /// requests that are not restricted.
    bool is_allowed(failure_domain_id domain, const region_restriction& allowed) const;
    /// The number of different regions.
    std::size_t region_count() const;
    /// True if no domain has a region.
    bool empty() const { return regions_.empty(); }

private:
    std::unordered_map<failure_domain_id, region_id> regions_;
};

/// A map, and the fields that were ignored because they name no region.
struct region_map_reading {
    region_map map;
    std::vector<ini_error> rejected;
};

/// Reads the section `[regions]` of a settings file; without it, no domain has a region.
region_map_reading read_region_map(const ini_file& file);

} // namespace jasminebank
