#include "retry_spread.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

// A thousand callers are refused within 50 ms, as when the holder of the rate limits is lost. They
// return at a rate close to that of evenly spread ones, and none much sooner or later than told.
TEST(retry_spread, callers_refused_together_do_not_return_together)
{
    constexpr std::size_t callers = 1000;
    std::mt19937_64 random(20261204);
    std::vector<duration> returns;
    for (std::size_t n = 0; n < callers; ++n)
        returns.push_back(50us * static_cast<std::int64_t>(n) + spread_retry(1s, random()));
    std::ranges::sort(returns);
    EXPECT_GE(returns.front(), 500ms);
    EXPECT_LT(returns.back(), 1550ms);
    std::size_t most = 0;
    for (std::size_t n = 0; n < callers; ++n) {
        const auto end = std::ranges::upper_bound(returns, returns[n] + 100ms);
        most = std::max(most, static_cast<std::size_t>(end - returns.begin()) - n);
    }
    EXPECT_LE(most, callers / 5) << "within 100 ms";
}
