#pragma once

// What answers usually take and hold, learned from those that came.

#include "types.h"

#include <cstddef>
#include <map>

namespace jasminebank {

/// Not thread-safe.
class answer_estimate {
public:
    /// Usual time of answers to requests with this target latency; before there is a sample, a part
    /// of the target.
    duration expected_latency(duration target) const;
    /// Usual bytes of answers on this route; 0 before there is a sample.
    std::size_t expected_bytes(route_id route) const;
    void add_sample(route_id route, duration target, duration latency, std::size_t bytes);

private:
    std::map<duration, double> latency_seconds_; ///< by target latency
    std::map<route_id, double> answer_bytes_;
};

} // namespace jasminebank
