#include "stall_watch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr route_id read_route{1};
constexpr duration target = 1200ms;

// Sends `count` requests one after the other, each answered after `service_time`; returns the end
// time.
time_point answer_requests(stall_watch& it, time_point now, int count, duration service_time)
{
    for (int n = 0; n < count; ++n) {
        const request_id id{static_cast<std::uint64_t>(n) + 1};
        it.started(id, read_route, target, now);
        now += service_time;
        it.ended(id, request_evidence::answered, now);
    }
    return now;
}

} // namespace

TEST(stall_watch, request_open_for_several_usual_times_raises_suspicion)
{
    stall_watch it;
    time_point now = answer_requests(it, time_point(1h), 50, 300ms);
    EXPECT_LT(it.suspicion(now), 0.1);
    it.started({1000}, read_route, target, now);
    EXPECT_TRUE(it.admits(false, now + 200ms));
    EXPECT_GE(it.suspicion(now + 900ms), 0.5);
    EXPECT_FALSE(it.admits(false, now + 900ms));
}

TEST(stall_watch, answer_to_a_later_request_clears_suspicion)
{
    stall_watch it;
    time_point now = answer_requests(it, time_point(1h), 50, 300ms);
    it.started({1000}, read_route, target, now);
    now += 900ms;
    ASSERT_FALSE(it.admits(false, now));
    it.started({1001}, read_route, target, now);
    it.ended({1001}, request_evidence::answered, now + 300ms);
    EXPECT_TRUE(it.admits(false, now + 300ms));
}

TEST(stall_watch, late_answer_clears_suspicion)
{
    stall_watch it;
    time_point now = answer_requests(it, time_point(1h), 50, 300ms);
    it.started({1000}, read_route, target, now);
    now += 900ms;
    ASSERT_FALSE(it.admits(false, now));
    it.ended({1000}, request_evidence::answered, now + 100ms);
    EXPECT_TRUE(it.admits(false, now + 100ms));
}

// A hanging server must get only idempotent trial requests, one at a time and at intervals.
TEST(stall_watch, on_probation_only_few_idempotent_requests_are_admitted)
{
    stall_watch it;
    time_point now = answer_requests(it, time_point(1h), 50, 300ms);
    it.started({1000}, read_route, target, now);
    now += 1s;
    ASSERT_FALSE(it.admits(false, now));
    int trials = 0;
    std::uint64_t id = 2000;
    for (const time_point end = now + 6s; now < end; now += 20ms) {
        EXPECT_FALSE(it.admits(false, now));
        if (!it.admits(true, now))
            continue;
        ++trials;
        it.started({++id}, read_route, target, now);
    }
    EXPECT_GE(trials, 2);
    EXPECT_LE(trials, 10);
}

// The interval grows while trials stay unanswered, but is bounded, so that a recovery is detected
// soon.
TEST(stall_watch, unanswered_trials_back_off_to_a_maximum_interval)
{
    const stall_watch_options options;
    stall_watch it(options);
    time_point now = answer_requests(it, time_point(1h), 50, 300ms);
    it.started({1000}, read_route, target, now);
    now += 1s;
    ASSERT_FALSE(it.admits(true, now));
    std::vector<time_point> trials;
    std::uint64_t id = 2000;
    for (const time_point end = now + 12s; now < end; now += 20ms) {
        if (!it.is_trial_due(now) || !it.admits(true, now))
            continue;
        trials.push_back(now);
        it.started({++id}, read_route, target, now);
        it.ended({id}, request_evidence::inconclusive, now + 1s);
    }
    ASSERT_GE(trials.size(), 4U);
    EXPECT_GT(trials[3] - trials[2], trials[1] - trials[0]);
    for (std::size_t n = 1; n < trials.size(); ++n)
        EXPECT_LE(trials[n] - trials[n - 1], options.max_trial_interval + 20ms);
}

TEST(stall_watch, service_times_are_learned_per_route)
{
    stall_watch it;
    time_point now(1h);
    constexpr route_id long_route{2};
    std::uint64_t id = 0;
    for (int n = 0; n < 60; ++n) {
        it.started({++id}, read_route, target, now);
        it.ended({id}, request_evidence::answered, now + 100ms);
        it.started({++id}, long_route, target, now);
        it.ended({id}, request_evidence::answered, now + 1s);
        now += 1s;
    }
    it.started({++id}, long_route, target, now);
    EXPECT_TRUE(it.admits(false, now + 900ms));
    it.ended({id}, request_evidence::answered, now + 1s);
    now += 1s;
    it.started({++id}, read_route, target, now);
    EXPECT_FALSE(it.admits(false, now + 900ms));
}

// After any sequence of starts and ends the suspicion is within [0, 1]; without new requests it
// decays to the prior probability.
RC_GTEST_PROP(stall_watch, suspicion_is_a_probability_and_decays_to_prior, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const stall_watch_options options;
    stall_watch it(options);
    time_point now(1h);
    std::vector<request_id> open;
    for (std::uint64_t n = 1; n < 400; ++n) {
        now += std::chrono::milliseconds(random() % 200);
        if (open.empty() || random() % 2 == 0) {
            open.push_back({n});
            it.started({n}, {random() % 3}, target, now);
        }
        else {
            const std::size_t at = random() % open.size();
            it.ended(open[at], static_cast<request_evidence>(random() % 3), now);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
        }
        const double p = it.suspicion(now);
        RC_ASSERT(p >= 0 && p <= 1);
    }
    for (const request_id id : open)
        it.ended(id, request_evidence::inconclusive, now);
    const double prior = options.prior_odds / (1 + options.prior_odds);
    RC_ASSERT(std::abs(it.suspicion(now + 10 * options.decay_time) - prior) < 0.01);
}

// Load: callers that return with little time left. Guards against runs that cannot end in time, and
// against refusals by a service time that is not known yet.
TEST(stall_watch, least_service_time_needs_answers_and_is_below_the_usual_one)
{
    stall_watch watch;
    time_point now{1h};
    const route_id route{1};
    EXPECT_FALSE(watch.least_service_time(route));
    for (std::uint64_t id = 1; id <= 40; ++id) {
        watch.started({id}, route, 1s, now);
        now += 100ms;
        watch.ended({id}, request_evidence::answered, now);
    }
    const auto least = watch.least_service_time(route);
    ASSERT_TRUE(least);
    EXPECT_GT(*least, 30ms);
    EXPECT_LT(*least, 100ms);
}
