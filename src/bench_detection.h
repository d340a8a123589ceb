#pragma once

// Workloads of failure detection: how soon a failing backend server is found, and how often a
// healthy one is blamed, in a fleet of 30 backend servers with a gate each.

#include "bench_report.h"

#include <cstdint>

namespace jasminebank {

/// Delay by kind of failure, false verdicts in a few hours, and both over a range of thresholds.
void run_detection(std::uint64_t seed, bench_report& report);

/// False verdicts in 100 hours of healthy, noisy traffic.
void run_false_alarms(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
