#pragma once

// Estimates from the open requests of one backend server whether it hangs or fails at present,
// within about the time of one ordinary answer. A request that is open for longer than is usual on
// its route is evidence of a hang; the answer to that request or to a later one cancels the
// evidence. A suspected server is on probation until it answers: it gets one request at a time, at
// first only trials, which are copies of requests that also run on another server.
//
// `failure_detector` needs many requests for a verdict that ejects a server for a long time. The
// estimate here reacts faster and is less reliable: it decides only where the next requests go.

#include "request_outcome.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace jasminebank {

struct stall_watch_options {
    double hang_share = 0.9; ///< share of requests without answer at a hanging server
    double prior_odds = 0.2; ///< odds of a hang without any evidence
    double min_odds = 0.04;  ///< lower bound of the odds, reached by answers
    double error_factor = 4; ///< a failed request multiplies the odds by this
    double min_survival =
        0.004; ///< lower bound of the probability that a healthy request is still open
    /// Time constant of the exponential decay of evidence: failures last some seconds.
    duration decay_time = std::chrono::seconds(6);
    double prior_samples = 6;  ///< weight of the prior derived from the target latency
    double target_to_mean = 4; ///< ratio of target latency to usual service time
    double prior_spread = 0.6; ///< prior standard deviation of ln(service time)
    duration unknown_target =
        std::chrono::milliseconds(1000); ///< target assumed for requests without one
    duration trial_interval =
        std::chrono::milliseconds(600); ///< before the first trial; later ones are longer
    /// Upper bound of the time between trials, so that a recovery is detected soon.
    duration max_trial_interval = std::chrono::milliseconds(1800);
    double suspected_from = 0.5; ///< suspicion from which the server is on probation
    double trusted_below = 0.3;  ///< on probation, only trials are admitted from this suspicion on
};

/// How a request ended, as evidence about its backend server.
enum class request_evidence : std::uint8_t {
    answered,     ///< complete and in time
    failed,       ///< error, broken connection or invalid answer
    inconclusive, ///< cancelled, past its deadline, or never processed
};

/// State of one backend server. Not thread-safe.
class stall_watch {
public:
    explicit stall_watch(const stall_watch_options& options = {});

    /// Service times are learned per `route`. `target` is its target latency, 0 if it has none.
    void started(request_id request, route_id route, duration target, time_point now);
    void ended(request_id request, request_evidence evidence, time_point now);
    /// Service time that nine of ten answered requests on this route exceed; nothing before enough
    /// of them.
    std::optional<duration> least_service_time(route_id route) const;
    /// Estimated probability that the next request gets no valid answer.
    double suspicion(time_point now) const;
    /// Whether a request may be sent to this server now; otherwise it should go to another one. On
    /// probation a few trials are admitted, to detect whether the server has recovered.
    bool admits(bool is_trial, time_point now);
    /// Whether a trial would be admitted on probation.
    bool is_trial_due(time_point now) const;

private:
    // Running estimates of ln(service time in seconds).
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
    void add_service_time(const open_request& it, duration service_time);
    double decayed_odds(time_point now) const;
    bool has_open_trial(time_point now) const;

    stall_watch_options options_;
    std::map<route_id, service_times> times_;
    std::vector<open_request> open_;
    time_point latest_answered_start_{}; // latest start time of an answered request
    double odds_;                        // at odds_at_, from ended requests only
    time_point odds_at_{};
    time_point next_trial_{};
    duration trial_interval_;
    bool on_probation_ = false;
    time_point probation_since_{};
};

} // namespace jasminebank
