#pragma once

// Bench workload `limits`: simulates a fleet that enforces the rate and burst limits of
// organisations. Compares one token holder per failure domain with two baselines: a static split of
// each limit over the entry nodes, and a single token holder for the whole fleet.

#include "bench_report.h"

#include <cstdint>

namespace jasminebank {

void bench_limits(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
