#include "stop_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

constexpr time_point now{1h};

RC_GTEST_PROP(stop_schedule, every_step_comes_in_turn_and_before_the_kill, ())
{
    const auto grace = std::chrono::milliseconds(*rc::gen::inRange(0, 600'000));
    const auto closing = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
    const stop_schedule it = plan_stop(now, grace, closing);
    RC_ASSERT(now <= it.closing);
    RC_ASSERT(it.closing <= it.last_answer);
    RC_ASSERT(it.last_answer <= it.cut);
    RC_ASSERT(it.cut <= it.end);
    RC_ASSERT(it.end == now + grace);
}

// What was taken on last has as long as the closing grace, or nearly so, to be answered in.
RC_GTEST_PROP(stop_schedule, requests_taken_last_have_most_of_half_the_grace, ())
{
    const auto grace = std::chrono::milliseconds(*rc::gen::inRange(1, 600'000));
    const auto closing = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
    const stop_schedule it = plan_stop(now, grace, closing);
    RC_ASSERT(it.closing - now <= closing);
    RC_ASSERT(it.last_answer - it.closing >= grace * 2 / 5);
    // A server at work is not broken off before the last sixth.
    RC_ASSERT(it.last_answer - now >= grace * 5 / 6);
}

TEST(stop_schedule, a_stop_that_begins_in_a_wait_ends_it)
{
    stop_clock stop;
    const answer_limit limit(now + 10s, stop);
    EXPECT_EQ(limit.until(), now + 10s);
    EXPECT_FALSE(limit.is_by_stop());
    stop.begin(now + 5s);
    stop.begin(now + 20s);
    EXPECT_EQ(limit.until(), now + 5s);
    EXPECT_TRUE(limit.is_by_stop());
    EXPECT_FALSE(answer_limit(now + 4s, stop).is_by_stop());
}
