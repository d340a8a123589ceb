#include "retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

// For any sequence of successes and retry requests, the granted retries of the whole run stay
// within the share and the floor.
RC_GTEST_PROP(retry_budget, retries_stay_within_share_and_floor, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const retry_budget_options options;
    retry_budget budget(options);
    time_point now{1h};
    const time_point start = now;
    const std::uint64_t failing_share = random() % 10;
    double successes = 0;
    double retries = 0;
    for (int n = 0; n < 2000; ++n) {
        now += std::chrono::milliseconds(random() % 200);
        if (random() % 10 >= failing_share) {
            budget.on_success({1}, {1}, now);
            ++successes;
        }
        else if (budget.request_retry({.organisation = {1}, .service = {1}, .deadline = now + 1s},
                                      now) == retry_decision::granted) {
            ++retries;
        }
    }
    const double windows = std::chrono::duration<double>(now - start) / options.window_length;
    RC_ASSERT(retries <= options.share * successes + (1 + options.floor_retries) * (1 + windows));
}

TEST(retry_budget, grants_none_under_overload_or_past_the_deadline)
{
    retry_budget budget;
    const time_point now{1h};
    retry_request it{.organisation = {1}, .service = {1}, .deadline = now + 1s, .overloaded = true};
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::overloaded);
    it.overloaded = false;
    it.expected_time = 1s;
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::past_deadline);
    it.expected_time = 1ms;
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::granted);
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::granted);
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::over_budget);
    it.service = {2};
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::granted);
    it.service = {1};
    for (int n = 0; n < 20; ++n)
        budget.on_success({1}, {1}, now);
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::granted);
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::granted);
    EXPECT_EQ(budget.request_retry(it, now), retry_decision::over_budget);
}

TEST(retry_budget, full_table_evicts_the_least_recently_used_entry)
{
    retry_budget budget({.floor_retries = 0, .max_entries = 2});
    const time_point now{1h};
    for (std::uint64_t organisation = 1; organisation <= 3; ++organisation) {
        for (int n = 0; n < 20; ++n)
            budget.on_success({organisation}, {1}, now + organisation * 1ms);
    }
    const auto request_retry = [&](std::uint64_t organisation) {
        return budget.request_retry(
            {.organisation = {organisation}, .service = {1}, .deadline = now + 1s}, now + 5ms);
    };
    EXPECT_EQ(request_retry(3), retry_decision::granted);
    EXPECT_EQ(request_retry(2), retry_decision::granted);
    EXPECT_EQ(request_retry(1), retry_decision::over_budget);
}

// The bound holds in every window, wherever it begins: successes of a quiet period do not
// accumulate into credit for a later burst of retries.
RC_GTEST_PROP(retry_budget, every_window_stays_within_the_bound, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const retry_budget_options options{.share = 0.2, .floor_retries = 3};
    retry_budget budget(options);
    time_point now{1h};
    std::vector<time_point> successes;
    std::vector<time_point> retries;
    for (int n = 0; n < 3000; ++n) {
        now += std::chrono::milliseconds(random() % 40);
        const bool is_failure_burst = n / 500 % 2 == 1;
        if (random() % 10 >= (is_failure_burst ? 8 : 1)) {
            budget.on_success({1}, {1}, now);
            successes.push_back(now);
        }
        else if (budget.request_retry({.organisation = {1}, .service = {1}, .deadline = now + 1s},
                                      now) == retry_decision::granted) {
            retries.push_back(now);
        }
    }
    const auto count = [](const std::vector<time_point>& all, time_point from, time_point to) {
        return std::count_if(all.begin(), all.end(),
                             [&](time_point it) { return it > from && it <= to; });
    };
    for (const time_point end : retries) {
        const auto in_window = count(retries, end - options.window_length, end);
        const auto success_count = count(successes, end - options.window_length, end);
        RC_ASSERT(static_cast<double>(in_window) <=
                  options.share * static_cast<double>(success_count) + options.floor_retries);
    }
}

// In every window, the shared retries granted to the fleet stay within the bound.
TEST(retry_budget, shared_retries_stay_within_the_bound_of_a_window)
{
    for (const double retries : {10.0, 62.0, 1000.0}) {
        for (const duration window : {duration(5s), duration(10s), duration(60s)}) {
            const rate_contract it =
                shared_retry_contract({7}, {.retries = retries, .window = window});
            const double in_window =
                (static_cast<double>(it.burst) +
                 static_cast<double>(it.rate) * std::chrono::duration<double>(window).count()) /
                static_cast<double>(one_token);
            EXPECT_LE(in_window, retries * usable_share_of_retry_bound + 0.01);
            EXPECT_GE(in_window, retries * usable_share_of_retry_bound * 0.99);
        }
    }
    EXPECT_NE(shared_retry_limit_of({7}), shared_retry_limit_of({8}));
}
