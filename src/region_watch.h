#pragma once

// Finds regions that routes or organisations are restricted to but that no known node is in: their
// requests are refused, and the cause is often a misspelt name.

#include "fleet_config.h"
#include "member_directory.h"
#include "region_map.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace jasminebank {

/// A region without a node is reported only this long after the configuration came into force,
/// because a node that starts does not know the others yet.
constexpr duration region_report_delay = std::chrono::seconds(5);

/// Thread-safe.
class region_watch {
public:
    explicit region_watch(region_map regions) : regions_(std::move(regions)) {}

    /// A configuration came into force at `now`.
    void set_config(const fleet_config& config, time_point now);
    void set_directory(const member_directory& directory);

    /// Names of the regions that no known node is in. Each is returned once per configuration.
    std::vector<std::string> new_absentees(time_point now);
    /// The number of known nodes in each region that the configuration names.
    std::map<std::string, std::size_t> node_counts() const;

private:
    std::map<std::string, std::size_t> count_nodes() const;

    const region_map regions_;
    mutable std::mutex mutex_;
    std::map<region_id, std::string> named_; ///< by the configuration
    std::vector<std::string> unreported_;
    time_point report_from_{};
    std::vector<failure_domain_id> node_domains_; ///< of each known node
};

} // namespace jasminebank
