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

TEST(server_search, tries_free_slots_before_waiting)
{
    server_search it({.target_latency = 1s, .start = start});
    EXPECT_FALSE(it.may_queue());
    EXPECT_FALSE(it.allows_suspected());
    it.on_refused({1}, refusal::overloaded);
    EXPECT_TRUE(excludes(it.step(start), {1}));
    EXPECT_TRUE(it.advance_stage());
    const search_step second = it.step(start);
    EXPECT_TRUE(it.may_queue());
    EXPECT_FALSE(excludes(second, {1}));
}

TEST(server_search, waits_for_a_slot_after_five_refusals)
{
    server_search it({.target_latency = 1s, .start = start});
    for (std::uint64_t n = 1; n <= 5; ++n)
        it.on_refused({n}, refusal::overloaded);
    it.step(start);
    EXPECT_TRUE(it.may_queue());
}

// The pauses give the server time to recover, but end within an eighth of the target latency.
TEST(server_search, non_idempotent_request_pauses_before_using_a_suspected_server)
{
    for (const duration target : {duration(400ms), duration(1200ms), duration(8s)}) {
        server_search it({.target_latency = target, .start = start});
        time_point now = start;
        while (true) {
            const search_step step = it.step(now);
            now += step.pause;
            if (it.allows_suspected())
                break;
            if (!excludes(step, {1}))
                it.on_refused({1}, refusal::suspect);
            else
                it.advance_stage();
        }
        EXPECT_LE(now - start, target / 8);
        const search_step last = it.step(now);
        EXPECT_TRUE(last.consider_all_servers);
        EXPECT_FALSE(excludes(last, {1}));
    }
}

TEST(server_search, idempotent_request_uses_a_suspected_server_without_a_pause)
{
    server_search it({.idempotent = true, .target_latency = 1s, .start = start});
    it.on_refused({1}, refusal::suspect);
    EXPECT_TRUE(it.advance_stage());
    EXPECT_TRUE(it.advance_stage());
    const search_step step = it.step(start);
    EXPECT_EQ(step.pause, duration::zero());
    EXPECT_TRUE(step.consider_all_servers);
    EXPECT_TRUE(it.allows_suspected());
}

TEST(server_search, search_ends_at_the_target_latency_unless_the_request_is_nested)
{
    const server_search own({.target_latency = 1s, .start = start});
    EXPECT_TRUE(own.may_continue(start + 999ms));
    EXPECT_FALSE(own.may_continue(start + 1s));
    const server_search nested({.target_latency = 1s, .start = start, .is_nested = true});
    EXPECT_TRUE(nested.may_continue(start + 5s));
    const server_search without_target({.start = start});
    EXPECT_TRUE(without_target.may_continue(start + 5s));
}

// For any sequence of refusals: a server where the request may have run is not selected again, and
// the search ends.
RC_GTEST_PROP(server_search, does_not_select_a_server_where_the_request_may_have_run,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    server_search it({.idempotent = random() % 2 == 0, .target_latency = 1s, .start = start});
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
            it.on_refused(server, refusal::overloaded);
            continue;
        case 1:
            it.on_refused(server, refusal::suspect);
            continue;
        default:
            it.on_reached(server);
            reached.push_back(server);
        }
    } while (++steps < 1000 && it.advance_stage());
    RC_ASSERT(steps < 1000);
}
