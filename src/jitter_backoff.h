#pragma once

// Exponential backoff with jitter, so that many clients do not retry at the same moment.

#include "types.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

/// The longest delay before an attempt is `first` initially and doubles up to `limit`.
struct jitter_backoff_options {
    duration first = std::chrono::milliseconds(50);
    duration limit = std::chrono::seconds(5);
    std::uint64_t seed = 0; ///< must differ between clients, so that their delays differ
};

/// Computes the delay before each attempt. Not thread-safe.
class jitter_backoff {
public:
    explicit jitter_backoff(const jitter_backoff_options& options)
        : options_(options), ceiling_(options.first)
    {
        assert(options.first > duration::zero() && options.first <= options.limit);
    }

    /// A delay from half the current ceiling to the whole ceiling, which then doubles.
    duration next()
    {
        const auto half = static_cast<std::uint64_t>(ceiling_.count()) / 2;
        const duration delay(
            static_cast<duration::rep>(half + mix(options_.seed, draws_) % (half + 1)));
        ++draws_;
        ceiling_ = std::min(ceiling_ * 2, options_.limit);
        return delay;
    }

    /// To be called after a success: resets the ceiling to `first`.
    void reset() { ceiling_ = options_.first; }

private:
    jitter_backoff_options options_;
    duration ceiling_;
    std::uint64_t draws_ = 0;
};

} // namespace jasminebank
