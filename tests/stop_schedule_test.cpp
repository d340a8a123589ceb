#include "stop_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

constexpr time_point now{1h};

RC_GTEST_PROP(stop_schedule, steps_are_in_order_and_within_the_grace_period, ())
{
    const auto grace = std::chrono::milliseconds(*rc::gen::inRange(0, 600'000));
    const auto closing = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
    const stop_schedule it = plan_stop(now, grace, closing);
    RC_ASSERT(now <= it.accept_end);
    RC_ASSERT(it.accept_end <= it.answer_deadline);
    RC_ASSERT(it.answer_deadline <= it.disconnect);
    RC_ASSERT(it.disconnect <= it.end);
    RC_ASSERT(it.end == now + grace);
}

// Requests accepted last have at least two fifths of the grace period until the answer deadline.
RC_GTEST_PROP(stop_schedule, last_accepted_requests_have_two_fifths_of_the_grace_period, ())
{
    const auto grace = std::chrono::milliseconds(*rc::gen::inRange(1, 600'000));
    const auto closing = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
    const stop_schedule it = plan_stop(now, grace, closing);
    RC_ASSERT(it.accept_end - now <= closing);
    RC_ASSERT(it.answer_deadline - it.accept_end >= grace * 2 / 5);
    // Running requests are not interrupted before the last sixth of the grace period.
    RC_ASSERT(it.answer_deadline - now >= grace * 5 / 6);
}

TEST(stop_schedule, stop_shortens_a_limit_already_in_use)
{
    stop_deadline stop;
    const answer_limit limit(now + 10s, stop);
    EXPECT_EQ(limit.until(), now + 10s);
    EXPECT_FALSE(limit.is_due_to_stop());
    stop.begin({.answer_deadline = now + 5s});
    stop.begin({.answer_deadline = now + 20s});
    EXPECT_EQ(limit.until(), now + 5s);
    EXPECT_TRUE(limit.is_due_to_stop());
    EXPECT_FALSE(answer_limit(now + 4s, stop).is_due_to_stop());
}

TEST(stop_schedule, requests_are_accepted_until_the_end_of_the_closing_grace)
{
    stop_deadline stop;
    EXPECT_TRUE(stop.accepts(now));
    stop.begin(plan_stop(now, 6s, 2s));
    EXPECT_TRUE(stop.accepts(now + 1999ms));
    EXPECT_FALSE(stop.accepts(now + 2s));
}
