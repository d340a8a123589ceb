#include "config_refusal.h"

#include <gtest/gtest.h>

using namespace jasminebank;

// Guards against a final answer to a request that a change already allows.
TEST(config_refusal, is_final_only_if_no_newer_configuration_is_known)
{
    for (const refusal reason : {refusal::no_route, refusal::unknown_key, refusal::not_allowed}) {
        EXPECT_EQ(refuse_by_config(reason, false).reason, reason);
        const refusal_answer late = refuse_by_config(reason, true);
        EXPECT_EQ(status_of(late.reason), 503);
        EXPECT_EQ(late.state, run_state::not_run);
        EXPECT_TRUE(late.retry_after.has_value());
    }
}
