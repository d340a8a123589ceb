#include "config_fetch_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};

endpoint peer(std::uint16_t n)
{
    return {.host = "127.0.0.1", .port = n};
}

// Tells of a generation and returns the peer that is fetched from then, 0 if there is none.
std::uint16_t hear(config_fetch_plan& plan, std::uint16_t from, std::uint64_t generation,
                   bool is_preferred, time_point now)
{
    plan.hear({.peer = peer(from), .generation = generation, .is_preferred = is_preferred}, now);
    const auto it = plan.next(now);
    return it ? it->peer.port : std::uint16_t{0};
}

} // namespace

// Guards against a change of the configuration that each node fetches from another domain.
TEST(config_fetch_plan, own_domain_is_preferred_while_it_may_still_provide_the_configuration)
{
    config_fetch_plan it;
    it.set_in_force(6, start);
    EXPECT_EQ(hear(it, 1, 7, false, start), 0);
    EXPECT_EQ(hear(it, 1, 7, false, start + 500ms), 0);
    EXPECT_EQ(hear(it, 2, 7, true, start + 600ms), 2);
    it.ended(peer(2), false, start + 700ms);
    EXPECT_EQ(hear(it, 1, 8, false, start + 900ms), 1)
        << "a newer one must not start the wait again";
    it.set_in_force(8, start + 1s);
    it.ended(peer(1), true, start + 1s);
    EXPECT_EQ(hear(it, 1, 9, false, start + 2s), 0);
    EXPECT_EQ(hear(it, 2, 8, true, start + 2s), 0);
}

// Guards against a node that starts and waits for a domain in which no other node has started.
TEST(config_fetch_plan, node_without_configuration_fetches_it_from_any_domain)
{
    config_fetch_plan it;
    EXPECT_EQ(hear(it, 1, 1, false, start), 1);
}

// Guards against a node that waits for further news although it knows where to get the text.
TEST(config_fetch_plan, failed_or_slow_fetch_is_followed_by_one_from_another_peer)
{
    config_fetch_plan it;
    EXPECT_EQ(hear(it, 1, 7, true, start), 1);
    EXPECT_EQ(hear(it, 2, 7, true, start + 10ms), 0) << "one fetch at a time";
    EXPECT_EQ(hear(it, 3, 7, true, start + 20ms), 0);
    it.ended(peer(1), false, start + 50ms);
    EXPECT_EQ(it.next(start + 50ms)->peer, peer(2));
    EXPECT_FALSE(it.next(start + 200ms));
    EXPECT_EQ(it.next(start + 400ms)->peer, peer(3)) << "the second peer is slow";
    EXPECT_EQ(hear(it, 4, 7, true, start + 900ms), 4);
    EXPECT_EQ(hear(it, 5, 7, true, start + 1200ms), 5);
    EXPECT_EQ(hear(it, 6, 7, true, start + 1500ms), 0) << "four fetches at most";
    it.set_in_force(7, start + 1s);
    it.ended(peer(3), true, start + 1s);
    EXPECT_FALSE(it.behind_for(start + 1s));
    EXPECT_FALSE(it.next(start + 2s));
}

// Guards against a wait that ends only with the next heartbeat of a peer.
TEST(config_fetch_plan, other_domain_is_fetched_from_when_the_wait_is_over)
{
    config_fetch_plan it;
    it.set_in_force(6, start);
    EXPECT_EQ(hear(it, 1, 7, false, start), 0);
    EXPECT_EQ(it.behind_for(start + 500ms), 500ms);
    EXPECT_FALSE(it.behind_for(start + 5s)) << "who told of it is silent";
    EXPECT_FALSE(it.next(start + 700ms));
    EXPECT_EQ(it.next(start + 800ms)->peer, peer(1));
}

// Guards against a generation that is missed because news of it arrived during a fetch.
TEST(config_fetch_plan, generation_told_during_a_fetch_is_fetched_after_it)
{
    config_fetch_plan it;
    EXPECT_EQ(hear(it, 1, 7, true, start), 1);
    EXPECT_EQ(hear(it, 2, 9, true, start + 100ms), 0);
    it.set_in_force(7, start + 150ms);
    it.ended(peer(1), true, start + 150ms);
    const auto next = it.next(start + 150ms);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->peer, peer(2));
    EXPECT_EQ(next->generation, 9U);
}

// Guards against nodes that wait for seconds on links that went silent, or give up a text again and
// again that arrives slowly.
TEST(config_fetch_plan, several_peers_are_asked_over_silent_links_and_slow_ones_get_more_time)
{
    config_fetch_plan it;
    it.set_in_force(6, start);
    std::size_t fetches = 0;
    std::vector<config_fetch> pending;
    duration longest{};
    for (time_point now = start; now < start + 2s; now += 10ms) {
        for (std::uint16_t n = 1; n <= 20; ++n)
            it.hear({.peer = peer(n), .generation = 7}, now);
        while (const auto next = it.next(now)) {
            ++fetches;
            longest = std::max(longest, next->timeout);
            pending.push_back(*next);
            pending.back().known_since = now;
        }
        std::erase_if(pending, [&](const config_fetch& f) {
            const bool is_over = now - f.known_since >= f.timeout;
            if (is_over)
                it.ended(f.peer, false, now);
            return is_over;
        });
    }
    EXPECT_GE(fetches, 6U);
    EXPECT_GE(longest, 1400ms);
}

// Guards against a peer that is unreachable and is asked again and again.
TEST(config_fetch_plan, failed_peer_is_asked_again_only_after_a_while_and_news)
{
    config_fetch_plan it;
    EXPECT_EQ(hear(it, 1, 7, true, start), 1);
    it.ended(peer(1), false, start + 50ms);
    EXPECT_EQ(hear(it, 1, 7, true, start + 100ms), 0);
    EXPECT_EQ(it.next(start + 600ms)->peer, peer(1));
    it.ended(peer(1), false, start + 700ms);
    EXPECT_FALSE(it.next(start + 5s)) << "it has told nothing since";
}

// Guards against peers that failed and keep a new one from being asked.
TEST(config_fetch_plan, peers_that_failed_make_room_for_others)
{
    config_fetch_plan it;
    for (std::uint16_t n = 1; n <= 100; ++n) {
        ASSERT_EQ(hear(it, n, 7, true, start), n);
        it.ended(peer(n), false, start);
    }
}
