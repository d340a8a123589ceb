#pragma once

// Bench workload `crossing`: simulates entries and gates in four failure domains of two regions,
// with uneven capacity and demand that moves between the domains. Compares the placement without
// and with the policy for leaving the failure domain and the region. There is no network: delays
// and the capacity of the link between the regions are part of the model.

#include "bench_report.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminebank {

constexpr std::size_t crossing_domains = 4;

/// Demand and sizes of one simulated load.
struct crossing_case {
    std::string name;
    std::array<double, crossing_domains> demand{}; ///< requests a second of each domain
    duration shift_after{};    ///< then the demands move on to the next domain; 0: never
    double large_share = 0.05; ///< of the requests have a large body
    duration length = std::chrono::seconds(20);
};

/// What the callers got, and what it cost.
struct crossing_outcome {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;       ///< answered before the deadline
    std::uint64_t in_target = 0;    ///< answered within the target latency
    std::uint64_t domain_bytes = 0; ///< between failure domains of a region, both directions
    std::uint64_t region_bytes = 0; ///< between regions, both directions
    std::uint64_t changes = 0;      ///< of services that start or stop to go further
    /// The longest wait for the link between the regions.
    duration longest_link_wait{};
};

/// The cases of the bench.
std::vector<crossing_case> crossing_cases();

/// Simulates the case, with or without the policy. `report` gets the decisions.
crossing_outcome simulate_crossing(const crossing_case& load, bool has_policy, std::uint64_t seed,
                                   bench_report& report);

void bench_crossing(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
