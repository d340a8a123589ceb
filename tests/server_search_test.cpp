#include "server_search.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};

bool excludes(const search_step& step, backend_server_id server)
{
    return std::find(step.excluded.begin(), step.excluded.end(), server) != step.excluded.end();
}

} // namespace

TEST(server_search, asks_for_free_slots_before_it_waits)
{
    server_search it({.target = 1s, .start = start});
    EXPECT_FALSE(it.may_wait());
    EXPECT_FALSE(it.insists());
    it.refused({1}, refusal::overloaded);
    EXPECT_TRUE(excludes(it.step(start), {1}));
    EXPECT_TRUE(it.none_found());
    const search_step second = it.step(start);
    EXPECT_TRUE(it.may_wait());
    EXPECT_FALSE(excludes(second, {1}));
}

TEST(server_search, after_some_refusals_it_waits)
{
    server_search it({.target = 1s, .start = start});
    for (std::uint64_t n = 1; n <= 5; ++n)
        it.refused({n}, refusal::overloaded);
    it.step(start);
    EXPECT_TRUE(it.may_wait());
}

// While there is hope that a server comes back, but for no more than an eighth of the target.
TEST(server_search, a_request_that_must_not_repeat_waits_briefly_for_a_server_without_suspicion)
{
    for (const duration target : {duration(400ms), duration(1200ms), duration(8s)}) {
        server_search it({.target = target, .start = start});
        time_point now = start;
        while (true) {
            const search_step step = it.step(now);
            now += step.pause;
            if (it.insists())
                break;
            if (!excludes(step, {1}))
                it.refused({1}, refusal::suspect);
            else
                it.none_found();
        }
        EXPECT_LE(now - start, target / 8);
        const search_step last = it.step(now);
        EXPECT_TRUE(last.is_thorough);
        EXPECT_FALSE(excludes(last, {1}));
    }
}

TEST(server_search, an_idempotent_request_goes_to_a_suspected_server_at_once)
{
    server_search it({.idempotent = true, .target = 1s, .start = start});
    it.refused({1}, refusal::suspect);
    EXPECT_TRUE(it.none_found());
    EXPECT_TRUE(it.none_found());
    const search_step step = it.step(start);
    EXPECT_EQ(step.pause, duration::zero());
    EXPECT_TRUE(step.is_thorough);
    EXPECT_TRUE(it.insists());
}

TEST(server_search, who_waited_for_the_target_is_refused_unless_a_running_request_needs_it)
{
    const server_search own({.target = 1s, .start = start});
    EXPECT_TRUE(own.may_go_on(start + 999ms));
    EXPECT_FALSE(own.may_go_on(start + 1s));
    const server_search nested({.target = 1s, .start = start, .is_nested = true});
    EXPECT_TRUE(nested.may_go_on(start + 5s));
    const server_search without_target({.start = start});
    EXPECT_TRUE(without_target.may_go_on(start + 5s));
}

// Whatever gates answer, no server where the request may have run is asked again, and it ends.
RC_GTEST_PROP(server_search, asks_no_server_twice_where_it_may_have_run, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    server_search it({.idempotent = random() % 2 == 0, .target = 1s, .start = start});
    std::vector<backend_server_id> reached;
    time_point now = start;
    int steps = 0;
    do {
        const search_step step = it.step(now);
        now += step.pause;
        std::vector<backend_server_id> left;
        for (std::uint64_t n = 1; n <= 6; ++n) {
            if (!excludes(step, {n}))
                left.push_back({n});
        }
        if (left.empty())
            continue;
        const backend_server_id server = left[random() % left.size()];
        RC_ASSERT(std::find(reached.begin(), reached.end(), server) == reached.end());
        switch (random() % 3) {
        case 0:
            it.refused(server, refusal::overloaded);
            continue;
        case 1:
            it.refused(server, refusal::suspect);
            continue;
        default:
            it.reached(server);
            reached.push_back(server);
        }
    } while (++steps < 1000 && it.none_found());
    RC_ASSERT(steps < 1000);
}
