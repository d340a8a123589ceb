#include "config_source.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

// Guards against a change of the configuration that each node fetches from another domain.
TEST(config_source, own_domain_is_preferred_while_it_may_still_provide_the_configuration)
{
    config_source it;
    const time_point start{10s};
    EXPECT_FALSE(it.may_fetch(7, 6, false, start));
    EXPECT_FALSE(it.may_fetch(7, 6, false, start + 500ms));
    EXPECT_TRUE(it.may_fetch(7, 6, true, start + 600ms));
    EXPECT_TRUE(it.may_fetch(7, 6, false, start + 900ms));
    EXPECT_TRUE(it.may_fetch(8, 6, false, start + 1s))
        << "a newer one must not start the wait again";
    EXPECT_FALSE(it.may_fetch(9, 8, false, start + 2s));
    EXPECT_FALSE(it.may_fetch(8, 8, true, start + 2s));
}

// Guards against a node that starts and waits for a domain in which no other node has started.
TEST(config_source, node_without_configuration_fetches_it_from_any_domain)
{
    config_source it;
    EXPECT_TRUE(it.may_fetch(1, 0, false, time_point{10s}));
}
