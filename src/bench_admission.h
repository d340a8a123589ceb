#pragma once

// Bench of the admission when a service is short of capacity: a seeded model of entry nodes, gates,
// backend servers and callers without a network, which uses the decision objects of the node. The
// policy without `service_admission` is compared with the one with it.

#include "bench_report.h"

#include <cstdint>

namespace jasminebank {

/// Runs all loads under both policies.
void bench_admission(std::uint64_t seed, bench_report& report);

} // namespace jasminebank
