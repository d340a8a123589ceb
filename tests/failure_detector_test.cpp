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

// One gate with one backend server and three peers that answer at once with given figures.
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

    void take(const detector_actions& actions)
    {
        for (const detector_action& it : actions) {
            if (const auto* changed = std::get_if<verdict_changed>(&it))
                last = changed->evidence;
            if (const auto* ended = std::get_if<trial_ended>(&it))
                trial_passed = ended->passed;
            if (const auto* ask = std::get_if<ask_peers>(&it)) {
                ++asked;
                if (peers_answer)
                    answer(*ask);
            }
        }
    }

    void answer(const ask_peers& ask)
    {
        for (std::uint64_t n = 1; n <= 3; ++n)
            take(detector.step(peer_reference{.service = service,
                                              .gate = {n},
                                              .log_median = std::log(0.030),
                                              .log_scale = 0.35,
                                              .samples = 1000,
                                              .question = ask.question + question_offset,
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
        take(detector.step(request_started{id, server}, now));
        now += service_time;
        take(detector.step(request_finished{id, outcome, poison}, now));
        now += 100ms;
    }

    // Requests until the verdict is failing; nothing after 200.
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
    int asked = 0;
    bool peers_answer = true;
    std::uint64_t question_offset = 0;
    std::uint32_t peer_requests = 5;
    std::uint32_t peer_bad = 0;
    double peer_evidence = 0.3;
};

} // namespace

TEST(failure_detector, slow_and_wrong_are_found_within_few_requests)
{
    EXPECT_LE(gate().requests_until_failing(request_outcome::ok, 150ms).value_or(999), 5);
    EXPECT_LE(gate().requests_until_failing(request_outcome::ok, 60ms).value_or(999), 40);
    EXPECT_LE(gate().requests_until_failing(request_outcome::error_status, 5ms).value_or(999), 4);
    EXPECT_LE(gate().requests_until_failing(request_outcome::bad_length, 30ms).value_or(999), 4);
}

// Nothing finishes: the age of open requests alone must tell.
TEST(failure_detector, hang_is_found_while_requests_are_open)
{
    gate it;
    for (int n = 0; n < 4; ++n)
        it.take(it.detector.step(request_started{{++it.requests}, server}, it.now));
    const time_point start = it.now;
    while (it.last.state != verdict::failing && it.now - start < 5s) {
        it.now += 50ms;
        it.take(it.detector.tick(it.now));
    }
    EXPECT_LT(it.now - start, 500ms);
    EXPECT_EQ(it.last.reason, failure_reason::hanging);
}

RC_GTEST_PROP(failure_detector, what_is_no_evidence_never_blames, (std::uint64_t seed))
{
    gate it(seed);
    for (int n = 0; n < 200; ++n) {
        const auto outcome =
            *rc::gen::element(request_outcome::shed, request_outcome::draining,
                              request_outcome::link_fault, request_outcome::error_status);
        it.request(outcome, it.noisy(1s), outcome == request_outcome::error_status);
        it.take(it.detector.step(health_reported{server, false}, it.now));
    }
    for (int n = 0; n < 100; ++n)
        it.request(request_outcome::deadline_or_cancelled, 10ms);
    RC_ASSERT(it.last.state == verdict::healthy);
}

TEST(failure_detector, cold_start_is_no_evidence_for_a_while)
{
    gate it;
    it.detector.add_server(service, server, it.now);
    it.answer({.service = service, .span = {}});
    for (int n = 0; n < 50; ++n)
        it.request(request_outcome::cold_start, 900ms);
    EXPECT_EQ(it.last.state, verdict::healthy);
    for (int n = 0; n < 50; ++n)
        it.request(request_outcome::cold_start, 900ms);
    EXPECT_EQ(it.last.state, verdict::failing);
}

// Peers with the same trouble, and peers under suspicion themselves.
TEST(failure_detector, slowdown_or_errors_of_all_peers_blame_nobody)
{
    gate same;
    same.peer_bad = 3;
    EXPECT_FALSE(same.requests_until_failing(request_outcome::ok, 150ms).has_value());
    EXPECT_GT(same.asked, 0);
    gate wrong;
    wrong.peer_evidence = 5;
    EXPECT_FALSE(wrong.requests_until_failing(request_outcome::error_status, 5ms).has_value());
}

// Evidence that peers shared is gone when they are well again; new evidence counts anew.
TEST(failure_detector, contradicted_evidence_is_dropped)
{
    gate it;
    it.peer_bad = 4;
    EXPECT_FALSE(it.requests_until_failing(request_outcome::ok, 150ms).has_value());
    it.peer_bad = 0;
    it.request(request_outcome::ok, 150ms);
    EXPECT_NE(it.last.state, verdict::failing);
    EXPECT_LE(it.requests_until_failing(request_outcome::ok, 150ms).value_or(999), 5);
}

// Peers without requests prove nothing for two seconds; answers to older questions never do.
TEST(failure_detector, peers_must_have_served_in_the_span_asked_for)
{
    gate it;
    it.peer_requests = 0;
    for (int n = 0; n < 6; ++n)
        it.request(request_outcome::error_status, 5ms);
    EXPECT_EQ(it.last.state, verdict::suspect);
    gate late;
    late.question_offset = 1000;
    EXPECT_FALSE(late.requests_until_failing(request_outcome::error_status, 5ms).has_value());
}

// The figures that another gate asks for: only requests started in the window, overdue ones too.
TEST(failure_detector, figures_tell_what_started_in_the_window)
{
    gate it;
    it.request(request_outcome::ok, 30ms);
    it.request(request_outcome::ok, 900ms);
    it.request(request_outcome::bad_length, 30ms);
    it.take(it.detector.step(request_started{{7777}, server}, it.now));
    const peer_reference found = it.detector.figures(
        {.service = service, .question = 5, .span = {.since = 1400ms, .until = 50ms}}, {1},
        it.now + 100ms);
    EXPECT_EQ(found.recent_requests, 4U);
    EXPECT_EQ(found.recent_slow, 2U);
    EXPECT_EQ(found.recent_errors, 1U);
    EXPECT_GT(found.slow_evidence, 5);
    EXPECT_NEAR(found.log_median, std::log(0.030), 0.2);
}

TEST(failure_detector, gate_that_hears_no_peer_calls_nothing_failing)
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
    it.take(it.detector.step(request_started{{9999}, server}, it.now));
    EXPECT_FALSE(it.detector.admits(server, true));
    it.take(it.detector.step(request_finished{{9999}}, it.now + 30ms));
    for (int n = 0; n < 3; ++n)
        it.request(request_outcome::ok, it.noisy(30ms));
    EXPECT_FALSE(it.trial_passed.has_value());
    it.request(request_outcome::ok, it.noisy(30ms));
    EXPECT_EQ(it.trial_passed, true);
    it.detector.begin_trial(server);
    it.request(request_outcome::error_status, 5ms);
    EXPECT_EQ(it.trial_passed, false);
}

TEST(consecutive_errors, waits_for_the_interval_and_misses_slowness)
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
