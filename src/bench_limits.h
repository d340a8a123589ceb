#pragma once

// Bench workload `limits`: rate and burst of organisations over a simulated fleet, for the design
// and for two baselines, a static split over the nodes and one holder for the whole fleet.

#include "bench_report.h"

#include <cstdint>

namespace jasminebank {

void bench_limits(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
