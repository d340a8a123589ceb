#include "cold_start.h"
#include "slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr cold_start_tolerance tolerance{.over = 1.5, .slack = 8};
constexpr time_point start{1h};

std::size_t most_in_a_second(const std::vector<time_point>& starts)
{
    std::size_t out = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        const auto last = std::upper_bound(first, starts.end(), *first + 1s);
        out = std::max(out, static_cast<std::size_t>(last - first));
    }
    return out;
}

// Starts as many requests as the limit allows, at each millisecond of `time`.
std::vector<time_point> start_all(cold_start_limit& it, time_point from, duration time)
{
    std::vector<time_point> out;
    for (time_point now = from; now < from + time; now += 1ms) {
        for (; it.may_start(now); out.push_back(now))
            it.started(now);
    }
    return out;
}

slot_queue new_gate(const cold_start_bounds& bounds, time_point now)
{
    slot_queue out({.slots = 40});
    out.cold_start().met(now);
    out.cold_start().set_bounds(bounds);
    return out;
}

} // namespace

// Guards against crashes of cold servers: more requests than callers may send, announcements that
// are late, gates that restart and forget what they sent, responses that never come.
RC_GTEST_PROP(cold_start_limit, server_gets_at_most_the_bound_in_any_second, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const double rate = 0.2 + static_cast<double>(random() % 120) / 10;
    const duration warm_up = std::chrono::milliseconds(500 + random() % 8000);
    const cold_start_bounds bounds = cold_start_bounds_for(rate, warm_up, tolerance);
    time_point now = start;
    time_point cold_until{};
    slot_queue gate = new_gate(bounds, now);
    std::vector<time_point> starts;
    std::vector<request_id> running;
    const auto apply = [&](const slot_actions& actions) {
        for (const slot_action& it : actions) {
            if (const auto* started = std::get_if<start_request>(&it)) {
                starts.push_back(now);
                running.push_back(started->request);
            }
        }
    };
    for (std::uint64_t n = 1; n < 4000; ++n) {
        now += std::chrono::milliseconds(random() % 20);
        apply(gate.enqueue({.request = {n},
                            .organisation = {random() % 3},
                            .deadline = now + std::chrono::milliseconds(random() % 3000)},
                           now));
        if (!running.empty() && random() % 10 != 0) { // the others' responses are lost
            apply(gate.finished(running.back(), now));
            running.pop_back();
        }
        if (random() % 400 == 0)
            cold_until = now + warm_up;
        if (random() % 80 == 0)
            gate.cold_start().announced(std::max(cold_until - now, duration::zero()), now);
        if (random() % 500 == 0)
            gate.cold_start().assume_cold(now);
        if (random() % 300 == 0) {
            gate = new_gate(bounds, now);
            running.clear();
        }
        apply(gate.tick(now));
    }
    RC_ASSERT(!starts.empty());
    RC_ASSERT(static_cast<double>(most_in_a_second(starts)) <=
              rate * tolerance.over + tolerance.slack);
}

// Guards against a server that is sent more than its service's rate although it said that it is
// cold, and against a burst when its cold phase or an evacuation ends.
TEST(cold_start_limit, known_cold_server_gets_its_rate_and_then_gradually_more)
{
    cold_start_limit it;
    it.set_bounds(cold_start_bounds_for(6.9, 10s, tolerance));
    it.announced(5s, start);
    EXPECT_EQ(most_in_a_second(start_all(it, start, 5s)), 6U);
    std::size_t before = 6;
    for (time_point now = start + 4999ms; now <= start + 15s; now += 1ms) {
        const std::size_t limit = it.limit(now).value();
        EXPECT_TRUE(limit == before || limit == before + 1) << "a step from " << before;
        before = limit;
    }
    EXPECT_EQ(before, 18U);
    it.assume_cold(start + 20s);
    EXPECT_EQ(it.limit(start + 29s), 6U);
    it.announced(0s, start + 21s);
    EXPECT_EQ(it.limit(start + 21s), 6U);
    EXPECT_EQ(it.limit(start + 31s), 18U);
}

// Guards against requests that wait in vain at a cold server although others could serve them.
TEST(cold_start_limit, waiting_requests_beyond_a_newly_known_limit_are_refused_at_once)
{
    slot_queue queue({.slots = 1});
    queue.cold_start().set_bounds(cold_start_bounds_for(1, 10s, tolerance));
    for (std::uint64_t n = 1; n <= 5; ++n)
        queue.enqueue({.request = {n}, .organisation = {n % 2}, .deadline = start + 2500ms}, start);
    queue.cold_start().announced(10s, start);
    EXPECT_EQ(queue.tick(start).size(), 2U);
    EXPECT_EQ(queue.waiting(), 2U);
    EXPECT_TRUE(queue.finished({1}, start + 500ms).empty());
    EXPECT_EQ(queue.tick(start + 1100ms).size(), 1U);
}
