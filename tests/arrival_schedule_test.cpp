#include "arrival_schedule.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

// One organisation keeps its rate; the other sends at ten times its rate in the middle third.
TEST(arrival_schedule, arrivals_are_ordered_and_follow_normal_and_burst_rates)
{
    arrival_schedule schedule({{.per_second = 100}, {.per_second = 100, .burst_factor = 10}}, 30s,
                              7);
    std::array<int, 2> outside{};
    std::array<int, 2> inside{};
    duration last{};
    while (const auto it = schedule.next()) {
        EXPECT_GE(it->at, last);
        last = it->at;
        ++(it->at >= 10s && it->at < 20s ? inside : outside)[it->organisation];
    }
    EXPECT_NEAR(outside[0], 2000, 200);
    EXPECT_NEAR(inside[0], 1000, 150);
    EXPECT_NEAR(outside[1], 2000, 200);
    EXPECT_NEAR(inside[1], 10000, 500);
}
