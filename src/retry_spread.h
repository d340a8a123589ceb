#pragma once

// Spreads the retry times of callers that are refused at the same moment for the same reason, such
// as the loss of a holder of the rate limits, so that they do not return together.

#include "types.h"

#include <cstdint>

namespace jasminebank {

/// A retry delay between half of `delay` and one and a half times it. `random` is uniformly
/// distributed over all values.
constexpr duration spread_retry(duration delay, std::uint64_t random)
{
    constexpr std::uint64_t steps = 1024;
    return delay / 2 +
           delay * static_cast<std::int64_t>(random % steps) / static_cast<std::int64_t>(steps);
}

} // namespace jasminebank
