#pragma once

// An exponentially decaying estimate of demand in requests a second. It determines how many tokens
// are requested in advance; whether a request is within its rate never depends on it.

#include "types.h"

#include <cmath>

namespace jasminebank {

class demand_estimate {
public:
    /// Counts `n` requests at `now`.
    void add(double n, time_point now)
    {
        rate_ = per_second(now) + n / window_seconds;
        updated_ = now;
    }

    double per_second(time_point now) const
    {
        if (rate_ == 0 || now <= updated_)
            return rate_;
        const std::chrono::duration<double> age = now - updated_;
        return rate_ * std::exp(-age.count() / window_seconds);
    }

private:
    // Time constant of the decay.
    static constexpr double window_seconds = 1.0;
    double rate_ = 0;
    time_point updated_{};
};

} // namespace jasminebank
