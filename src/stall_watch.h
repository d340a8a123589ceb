#pragma once

// Tells from the requests that are open at one backend server whether it hangs or fails now, within
// about the time of one ordinary answer. A request that is open for longer than such requests take
// is evidence; an answer to a request that was sent later takes it back. Once suspected, a server
// is on probation until it answers: it gets one request at a time, at first only trials, of which
// the same runs elsewhere.
//
// `failure_detector` needs many requests for a verdict that holds a server out for long. This is
// the other end: it holds only for what is sent in the next moments, and is often wrong alone.

#include "request_outcome.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jasminebank {

struct stall_watch_options {
    double hang_share = 0.9; ///< of the requests of a server that hangs, those that get no answer
    double prior_odds = 0.2; ///< that a server hangs of which nothing is known
    double min_odds = 0.04;  ///< right after an answer
    double error_factor = 4; ///< by which one failed request multiplies the odds of failing
    double min_survival = 0.004; ///< share of healthy requests that take any time at all
    /// How long what was seen says something: servers fail for some seconds.
    duration decay_time = std::chrono::seconds(6);
    double prior_samples = 6;  ///< weight of the expectation from the target latency
    double target_to_mean = 4; ///< a target latency is about this many times the usual time
    double prior_spread = 0.6; ///< of the logarithm of service times
    duration unknown_target = std::chrono::milliseconds(1000); ///< for requests without a target
    duration trial_interval =
        std::chrono::milliseconds(600); ///< the first; each next one is longer
    /// A server that is well again gets a trial within this time.
    duration max_trial_interval = std::chrono::milliseconds(1800);
    double suspected_from = 0.5; ///< probability from which requests go elsewhere
    double trusted_below = 0.3; ///< on probation, one that may not be repeated needs less than this
};

/// How a request ended, as evidence about its backend server.
enum class request_evidence : std::uint8_t {
    answered,     ///< whole and in time
    failed,       ///< an error, a broken connection or a broken answer
    inconclusive, ///< its caller left, its time was over, or it never ran
};

/// One backend server. Not thread-safe.
class stall_watch {
public:
    explicit stall_watch(const stall_watch_options& options = {});

    /// Requests of one route take about the same time; `target` is what it aims at, 0 if nothing.
    void started(request_id request, route_id route, duration target, time_point now);
    void ended(request_id request, request_evidence how, time_point now);
    /// Probability that the next request gets no good answer.
    double suspicion(time_point now) const;
    /// Whether a request should be sent now rather than elsewhere. While the server is suspected, a
    /// few trials are let through to add_service_time whether it is well again.
    bool admits(bool is_trial, time_point now);
    /// Whether a trial would be let through.
    bool is_trial_due(time_point now) const;

private:
    // Logarithms of service times in seconds.
    struct service_times {
        double mean = 0;
        double variance = 0;
        double weight = 0;
    };
    struct open_request {
        request_id request;
        route_id route;
        duration target{};
        time_point start;
    };

    service_times times_of(const open_request& it) const;
    double survival(const open_request& it, duration age) const;
    void add_service_time(const open_request& it, duration took);
    double decayed_odds(time_point now) const;
    bool has_open_trial(time_point now) const;

    stall_watch_options options_;
    std::map<route_id, service_times> times_;
    std::vector<open_request> open_;
    time_point latest_answered_start_{}; // the latest start of a request that was answered
    double odds_;                        // at odds_at_, from requests that ended
    time_point odds_at_{};
    time_point next_trial_{};
    duration trial_interval_;
    bool on_probation_ = false;
    time_point probation_since_{};
};

} // namespace jasminebank
