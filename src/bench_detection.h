#pragma once

// Bench workloads for failure detection: the delay until a failing backend server is detected, and
// the number of false verdicts on healthy ones. The simulated fleet has 30 backend servers, each
// with its own gate.

#include "bench_report.h"

#include <cstdint>

namespace jasminebank {

/// Measures the detection delay for each kind of failure, the false verdicts during these runs, and
/// both over a range of detection thresholds.
void run_detection(std::uint64_t seed, bench_report& report);

/// Counts false verdicts in 100 hours of noisy traffic without failures.
void run_false_alarms(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
