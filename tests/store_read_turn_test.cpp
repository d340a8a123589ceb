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

// Guards against a late configuration that makes every node of a region a reader of the store, over
// the link on which it is awaited.
TEST(store_read_turn, nodes_that_wait_for_a_peer_with_the_newer_configuration_do_not_read)
{
    store_read_state late{.contact_age = 4s, .since_join = 1min, .behind_for = 500ms};
    EXPECT_FALSE(must_read_store(late));
    late.is_watcher = true;
    EXPECT_FALSE(must_read_store(late));
    late.behind_for = 1500ms;
    EXPECT_TRUE(must_read_store(late)) << "no peer has sent it";
    late.behind_for.reset();
    EXPECT_TRUE(must_read_store(late));
}

// Guards against nodes that all begin to read when the contact of their domain becomes old.
TEST(store_read_turn, old_contact_makes_readers_one_after_another)
{
    constexpr std::size_t size = 18;
    const auto readers = [](duration age) {
        std::size_t out = 0;
        for (std::size_t n = 0; n < size; ++n)
            out += must_read_store({.is_watcher = n == 0,
                                    .contact_age = age,
                                    .since_join = 1min,
                                    .rank = {.higher = n, .domain_size = size}})
                       ? 1
                       : 0;
        return out;
    };
    EXPECT_EQ(readers(1s), 1U);
    EXPECT_EQ(readers(1500ms), 2U) << "the reader may be unable to reach the store";
    EXPECT_EQ(readers(2s), 2U);
    EXPECT_LE(readers(2300ms), 6U);
    EXPECT_EQ(readers(3500ms), size) << "in time before keys are refused";
}

// Guards against nodes that start together and all read the store before their peers can tell them
// of a contact.
TEST(store_read_turn, nodes_without_a_contact_read_one_after_another)
{
    const store_read_state second{.since_join = 500ms, .rank = {.higher = 9, .domain_size = 18}};
    EXPECT_FALSE(must_read_store(second));
    store_read_state later = second;
    later.since_join = 800ms;
    EXPECT_TRUE(must_read_store(later));
}
