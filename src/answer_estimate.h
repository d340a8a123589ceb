#pragma once

// Estimates the latency and the size of answers by moving averages over past answers.

#include "types.h"

#include <cstddef>
#include <map>

namespace jasminebank {

/// Exponentially weighted moving averages. Not thread-safe.
class answer_estimate {
public:
    /// Expected latency of requests with this target latency; a fixed fraction of the target before
    /// the first sample.
    duration expected_latency(duration target) const;
    /// Time that three of four answers on this route take at least without a wait for a slot; zero
    /// before the first sample.
    duration least_service_time(route_id route) const;
    /// Adds the time of an answer whose request had a slot at once.
    void add_service_time(route_id route, duration time);
    /// Expected body size of answers on this route in bytes; 0 before the first sample.
    std::size_t expected_bytes(route_id route) const;
    /// Adds the latency and the body size of one answer.
    void add_sample(route_id route, duration target, duration latency, std::size_t bytes);

private:
    std::map<duration, double> latency_seconds_; ///< by target latency
    std::map<route_id, double> answer_bytes_;
    std::map<route_id, double> least_service_seconds_;
};

} // namespace jasminebank
