#include "consecutive_errors.h"
#include "failure_detector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr service_id service{1};
constexpr backend_server_id server{1};

// One gate with one backend server, and three peers that reply at once with the given statistics.
struct gate {
    explicit gate(std::uint64_t seed = 1) : random(seed)
    {
        detector.add_server(service, server, now);
        for (int n = 0; n < 300; ++n)
            request(request_outcome::ok, noisy(30ms));
    }

    duration noisy(duration middle)
    {
        const double factor = std::exp(std::normal_distribution<>(0, 0.35)(random));
        return std::chrono::duration_cast<duration>(middle * factor);
    }

    void process_actions(const detector_actions& actions)
    {
        for (const detector_action& it : actions) {
            if (const auto* changed = std::get_if<verdict_changed>(&it))
                last = changed->evidence;
            if (const auto* ended = std::get_if<trial_ended>(&it))
                trial_passed = ended->passed;
            if (const auto* query = std::get_if<peer_query>(&it)) {
                ++queries;
                if (peers_answer)
                    answer_query(*query);
            }
        }
    }

    void answer_query(const peer_query& query)
    {
        for (std::uint64_t n = 1; n <= 3; ++n)
            process_actions(
                detector.step(peer_statistics{.service = service,
                                              .gate = {n},
                                              .log_median = std::log(0.030),
                                              .log_scale = 0.35,
                                              .samples = 1000,
                                              .query_id = query.query_id + query_id_offset,
                                              .recent_requests = peer_requests,
                                              .recent_slow = peer_bad,
                                              .recent_errors = peer_bad,
                                              .slow_evidence = peer_evidence,
                                              .error_evidence = peer_evidence},
                              now));
    }

    void request(request_outcome outcome, duration service_time, bool poison = false)
    {
        const request_id id{++requests};
        process_actions(detector.step(request_started{id, server}, now));
        now += service_time;
        process_actions(detector.step(request_finished{id, outcome, poison}, now));
        now += 100ms;
    }

    // Number of requests until the verdict is failing; nullopt after 200.
    std::optional<int> requests_until_failing(request_outcome outcome, duration middle)
    {
        for (int n = 1; n <= 200; ++n) {
            request(outcome, noisy(middle));
            if (last.state == verdict::failing)
                return n;
        }
        return std::nullopt;
    }

    std::mt19937_64 random;
    time_point now{1h};
    failure_detector detector;
    assessment last;
    std::optional<bool> trial_passed;
    std::uint64_t requests = 0;
    int queries = 0;
    bool peers_answer = true;
    std::uint64_t query_id_offset = 0;
    std::uint32_t peer_requests = 5;
    std::uint32_t peer_bad = 0;
    double peer_evidence = 0.3;
};

} // namespace

TEST(failure_detector, slow_or_erroneous_server_fails_within_few_requests)
{
    EXPECT_LE(gate().requests_until_failing(request_outcome::ok, 150ms).value_or(999), 5);
    EXPECT_LE(gate().requests_until_failing(request_outcome::ok, 60ms).value_or(999), 40);
    EXPECT_LE(gate().requests_until_failing(request_outcome::error_status, 5ms).value_or(999), 4);
    EXPECT_LE(gate().requests_until_failing(request_outcome::bad_length, 30ms).value_or(999), 4);
}

// No request finishes, so the age of the open requests is the only evidence.
TEST(failure_detector, hang_is_detected_while_requests_are_open)
{
    gate it;
    for (int n = 0; n < 4; ++n)
        it.process_actions(it.detector.step(request_started{{++it.requests}, server}, it.now));
    const time_point start = it.now;
    while (it.last.state != verdict::failing && it.now - start < 5s) {
        it.now += 50ms;
        it.process_actions(it.detector.tick(it.now));
    }
    EXPECT_LT(it.now - start, 500ms);
    EXPECT_EQ(it.last.reason, failure_reason::hanging);
}

RC_GTEST_PROP(failure_detector, neutral_outcomes_leave_server_healthy, (std::uint64_t seed))
{
    gate it(seed);
    for (int n = 0; n < 200; ++n) {
        const auto outcome =
            *rc::gen::element(request_outcome::shed, request_outcome::draining,
                              request_outcome::link_fault, request_outcome::error_status);
        it.request(outcome, it.noisy(1s), outcome == request_outcome::error_status);
        it.process_actions(it.detector.step(health_reported{server, false}, it.now));
    }
    for (int n = 0; n < 100; ++n)
        it.request(request_outcome::deadline_or_cancelled, 10ms);
    RC_ASSERT(it.last.state == verdict::healthy);
}

TEST(failure_detector, cold_starts_are_ignored_until_the_limit)
{
    gate it;
    it.detector.add_server(service, server, it.now);
    it.answer_query({.service = service, .span = {}});
    for (int n = 0; n < 50; ++n)
        it.request(request_outcome::cold_start, 900ms);
    EXPECT_EQ(it.last.state, verdict::healthy);
    for (int n = 0; n < 50; ++n)
        it.request(request_outcome::cold_start, 900ms);
    EXPECT_EQ(it.last.state, verdict::failing);
}

// Two cases: peers see as many bad requests, or have evidence against their own servers.
TEST(failure_detector, slowdown_or_errors_shared_by_peers_fail_no_server)
{
    gate slow_peers;
    slow_peers.peer_bad = 3;
    EXPECT_FALSE(slow_peers.requests_until_failing(request_outcome::ok, 150ms).has_value());
    EXPECT_GT(slow_peers.queries, 0);
    gate suspect_peers;
    suspect_peers.peer_evidence = 5;
    EXPECT_FALSE(
        suspect_peers.requests_until_failing(request_outcome::error_status, 5ms).has_value());
}

// Evidence that the peers contradicted must not count once they have recovered; new evidence must
// suffice on its own.
TEST(failure_detector, evidence_contradicted_by_peers_is_discarded)
{
    gate it;
    it.peer_bad = 4;
    EXPECT_FALSE(it.requests_until_failing(request_outcome::ok, 150ms).has_value());
    it.peer_bad = 0;
    it.request(request_outcome::ok, 150ms);
    EXPECT_NE(it.last.state, verdict::failing);
    EXPECT_LE(it.requests_until_failing(request_outcome::ok, 150ms).value_or(999), 5);
}

// Replies from peers without requests in the span confirm nothing for two seconds. Replies to
// another query never do.
TEST(failure_detector, no_verdict_without_peer_requests_in_the_queried_span)
{
    gate it;
    it.peer_requests = 0;
    for (int n = 0; n < 6; ++n)
        it.request(request_outcome::error_status, 5ms);
    EXPECT_EQ(it.last.state, verdict::suspect);
    gate other_query;
    other_query.query_id_offset = 1000;
    EXPECT_FALSE(
        other_query.requests_until_failing(request_outcome::error_status, 5ms).has_value());
}

// The reply to a query of another gate counts requests started in its span, including overdue ones.
TEST(failure_detector, statistics_count_requests_started_in_the_queried_span)
{
    gate it;
    it.request(request_outcome::ok, 30ms);
    it.request(request_outcome::ok, 900ms);
    it.request(request_outcome::bad_length, 30ms);
    it.process_actions(it.detector.step(request_started{{7777}, server}, it.now));
    const peer_statistics found = it.detector.service_statistics(
        {.service = service, .query_id = 5, .span = {.since = 1400ms, .until = 50ms}}, {1},
        it.now + 100ms);
    EXPECT_EQ(found.recent_requests, 4U);
    EXPECT_EQ(found.recent_slow, 2U);
    EXPECT_EQ(found.recent_errors, 1U);
    EXPECT_GT(found.slow_evidence, 5);
    EXPECT_NEAR(found.log_median, std::log(0.030), 0.2);
}

TEST(failure_detector, without_peer_answers_no_server_is_failing)
{
    gate it;
    it.peers_answer = false;
    for (int n = 0; n < 100; ++n) {
        it.request(request_outcome::error_status, 1s);
        ASSERT_EQ(it.last.state, n < 1 ? verdict::healthy : verdict::suspect);
    }
}

TEST(failure_detector, trial_admits_one_idempotent_request_at_a_time)
{
    gate it;
    it.detector.begin_trial(server);
    EXPECT_FALSE(it.detector.admits(server, false));
    EXPECT_TRUE(it.detector.admits(server, true));
    it.process_actions(it.detector.step(request_started{{9999}, server}, it.now));
    EXPECT_FALSE(it.detector.admits(server, true));
    it.process_actions(it.detector.step(request_finished{{9999}}, it.now + 30ms));
    for (int n = 0; n < 3; ++n)
        it.request(request_outcome::ok, it.noisy(30ms));
    EXPECT_FALSE(it.trial_passed.has_value());
    it.request(request_outcome::ok, it.noisy(30ms));
    EXPECT_EQ(it.trial_passed, true);
    it.detector.begin_trial(server);
    it.request(request_outcome::error_status, 5ms);
    EXPECT_EQ(it.trial_passed, false);
}

TEST(consecutive_errors, ejection_waits_for_the_next_evaluation)
{
    consecutive_errors baseline;
    time_point now{1h};
    baseline.add_server(service, server, now);
    for (std::uint64_t n = 1; n <= 5; ++n) {
        baseline.step(request_started{{n}, server}, now);
        baseline.step(request_finished{{n}, request_outcome::error_status}, now);
    }
    EXPECT_TRUE(baseline.tick(now + 9s).empty());
    EXPECT_EQ(baseline.tick(now + 10s).size(), 1U);
}
