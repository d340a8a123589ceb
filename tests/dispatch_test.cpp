#include "dispatch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

RC_GTEST_PROP(dispatch, written_dispatch_is_read_back, (std::uint64_t server, std::uint8_t flags))
{
    const dispatch it{.server = {server},
                      .gate_run = {7},
                      .route = {8},
                      .service = {9},
                      .organisation = "honey",
                      .caller_service = "web",
                      .priority = 3,
                      .is_nested = (flags & 1U) != 0,
                      .is_returned = (flags & 32U) != 0,
                      .target_latency = 1200ms,
                      .time_left = 2500ms,
                      .idempotent = (flags & 2U) != 0,
                      .may_queue = (flags & 4U) != 0,
                      .allow_suspected = (flags & 8U) != 0,
                      .is_trial = (flags & 16U) != 0,
                      .fingerprint = {.high = 1, .low = 2}};
    message_head head;
    write_dispatch(it, head);
    const auto out = read_dispatch(head);
    RC_ASSERT(out.has_value());
    RC_ASSERT(out->server == it.server);
    RC_ASSERT(out->organisation == it.organisation);
    RC_ASSERT(out->target_latency == it.target_latency && out->time_left == it.time_left);
    RC_ASSERT(out->is_nested == it.is_nested && out->idempotent == it.idempotent);
    RC_ASSERT(out->may_queue == it.may_queue && out->allow_suspected == it.allow_suspected);
    RC_ASSERT(out->is_trial == it.is_trial && out->is_returned == it.is_returned);
}

TEST(dispatch, latest_start_is_bounded_by_target_latency_and_deadline)
{
    const time_point now{1h};
    const dispatch own{.target_latency = 1s};
    EXPECT_EQ(latest_start(own, now, now + 8s), now + 1s);
    EXPECT_LT(latest_start(own, now, now + 500ms), now + 500ms);
    const dispatch nested{.is_nested = true, .target_latency = 300ms};
    EXPECT_EQ(latest_start(nested, now, now + 8s), now + 600ms);
    EXPECT_LT(queue_rank(nested), queue_rank({.priority = 0}));
}
