#include "store_read_turn.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

// Guards against a start of all nodes at which each reads a large configuration from the store at
// once, although the first readers could hand it on.
TEST(store_read_turn, nodes_that_start_together_read_one_after_another)
{
    constexpr int nodes = 74;
    int early = 0;
    for (std::uint64_t n = 1; n <= nodes; ++n) {
        const duration delay = store_read_delay({n});
        EXPECT_LT(delay, 1s);
        const store_read_state started{.is_watcher = true, .since_join = 100ms, .delay = delay};
        early += must_read_store(started) ? 1 : 0;
    }
    EXPECT_GT(early, 0);
    EXPECT_LT(early, nodes / 4);
}

// Guards against a node that never reads the store although it hears of no contact, or reads it
// although others do.
TEST(store_read_turn, without_news_each_node_reads_when_its_turn_has_come)
{
    EXPECT_TRUE(must_read_store({.since_join = 500ms, .delay = 400ms}));
    EXPECT_FALSE(must_read_store({.contact_age = 1s, .since_join = 500ms, .delay = 400ms}));
    EXPECT_TRUE(must_read_store({.contact_age = 2500ms, .since_join = 1min, .delay = 400ms}));
    EXPECT_FALSE(must_read_store({.contact_age = 2300ms, .since_join = 1min, .delay = 400ms}));
    EXPECT_TRUE(must_read_store({.contact_age = 2300ms, .since_join = 1min}));
    EXPECT_TRUE(must_read_store({.is_watcher = true, .contact_age = 1s, .since_join = 1min}));
}
