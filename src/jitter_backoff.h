#pragma once

// Exponential backoff with jitter, so that many waiters do not come back at the same moment.

#include "types.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

/// Times between attempts: `first` doubles up to `limit`.
struct jitter_backoff_options {
    duration first = std::chrono::milliseconds(50);
    duration limit = std::chrono::seconds(5);
    std::uint64_t seed = 0; ///< differs by user, so that their delays differ
};

/// Gives the delay before the next attempt. Not thread-safe.
class jitter_backoff {
public:
    explicit jitter_backoff(const jitter_backoff_options& options)
        : options_(options), ceiling_(options.first)
    {
        assert(options.first > duration::zero() && options.first <= options.limit);
    }

    /// Between half the current ceiling and the whole; the ceiling then doubles.
    duration next()
    {
        const auto half = static_cast<std::uint64_t>(ceiling_.count()) / 2;
        const duration delay(
            static_cast<duration::rep>(half + mix(options_.seed, draws_) % (half + 1)));
        ++draws_;
        ceiling_ = std::min(ceiling_ * 2, options_.limit);
        return delay;
    }

    /// After a success: the next delay is short again.
    void reset() { ceiling_ = options_.first; }

private:
    jitter_backoff_options options_;
    duration ceiling_;
    std::uint64_t draws_ = 0;
};

} // namespace jasminebank
