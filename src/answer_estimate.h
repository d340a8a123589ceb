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
    duration usual_time(duration target) const;
    /// Usual bytes of answers on this route; 0 before there is a sample.
    std::size_t usual_bytes(route_id route) const;
    void learn(route_id route, duration target, duration took, std::size_t bytes);

private:
    std::map<duration, double> seconds_; ///< by target latency
    std::map<route_id, double> bytes_;
};

} // namespace jasminebank
