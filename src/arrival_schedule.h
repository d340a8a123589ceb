#pragma once

// Request arrivals of each organisation in a load test: Poisson processes with one rate per
// organisation. An organisation with a burst factor above 1 exceeds its rate in the middle third of
// the run.

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace jasminebank {

/// Request rate of one organisation.
struct arrival_rate {
    double per_second = 1;
    double burst_factor = 1; ///< multiplies the rate in the middle third of the run; at least 1
};

/// One request to send.
struct arrival {
    duration at{};                ///< since the start of the run
    std::size_t organisation = 0; ///< index into the rates
    std::uint64_t number = 0;     ///< sequence number over all organisations, from 0
};

/// Generates arrivals in chronological order. The same seed yields the same arrivals.
class arrival_schedule {
public:
    arrival_schedule(const std::vector<arrival_rate>& rates, duration run_time, std::uint64_t seed);

    /// Returns the next arrival, or nullopt when the run is over.
    std::optional<arrival> next();

private:
    struct source {
        arrival_rate rate;
        std::mt19937_64 random;
        duration next{};
    };
    void draw_next_arrival(source& it) const;
    bool is_burst(duration at) const;

    std::vector<source> sources_;
    duration run_time_;
    std::uint64_t count_ = 0;
};

} // namespace jasminebank
