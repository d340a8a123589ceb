#pragma once

// Sequential detection of gray failure. A gate sees every request of its backend servers and keeps
// two cumulative sums (CUSUM) of log likelihood ratios for each: one over log service time, one
// over errors. Requests still open count for the least that they can come to. Before a backend
// server is called failing, the sums are computed again against what other gates of the service
// saw in the same seconds, so that a slowdown of the whole service blames nobody.

#include "request_outcome.h"
#include "types.h"

#include <cstdint>

#include <variant>
#include <vector>

namespace jasminebank {

/// A request went to a backend server.
struct request_started {
    request_id request;
    backend_server_id server;
};

/// A dispatched request ended. `suspected_poison`: the crash is counted against its fingerprint.
struct request_finished {
    request_id request;
    request_outcome outcome = request_outcome::ok;
    bool suspected_poison = false;
};

/// The health endpoint of a backend server answered, or failed to.
struct health_reported {
    backend_server_id server;
    bool green = true;
};

/// What one gate saw of one service: in the long run, in the span asked
/// for, and its own suspicion.
struct peer_statistics {
    service_id service;
    vm_id gate;
    double log_median = 0;  ///< long-run median of ln(service time in seconds)
    double log_scale = 0;   ///< long-run spread of the same, as a standard deviation
    double error_share = 0; ///< long-run share of errors
    std::uint64_t samples = 0;
    std::uint64_t query_id = 0;        ///< the one answered; the counts are of its span
    std::uint32_t recent_requests = 0; ///< started in the span, and answered or overdue
    std::uint32_t recent_slow = 0;     ///< those that were slow, or are open and overdue
    std::uint32_t recent_errors = 0;   ///< those that were wrong
    double slow_evidence = 0;  ///< nats, mean over the gate's backend servers of the service
    double error_evidence = 0; ///< likewise
};

enum class verdict : std::uint8_t { healthy, suspect, failing };
enum class failure_reason : std::uint8_t { none, slow, errors, hanging };

/// The state of the evidence against one backend server. Sums are in nats.
struct assessment {
    verdict state = verdict::healthy;
    failure_reason reason = failure_reason::none;
    double slow_evidence = 0; ///< finished requests and those still open
    double open_evidence = 0; ///< the part of it from requests still open
    double error_evidence = 0;
    std::uint32_t severity = 0; ///< harm done to callers; orders what comes back first
};

/// The verdict on `server` changed.
struct verdict_changed {
    service_id service;
    backend_server_id server;
    assessment evidence;
};

/// A time span that ends `until` ago and began `since` ago.
struct past_span {
    duration since{};
    duration until{};
};

/// Ask a few other gates of `service` for their `figures` over `span` and pass the answers in, with
/// the number of the question.
struct peer_query {
    service_id service;
    std::uint64_t query_id = 0;
    past_span span;
};

/// The trial of an ejected backend server ended.
struct trial_ended {
    service_id service;
    backend_server_id server;
    bool passed = false;
};

using detector_action = std::variant<verdict_changed, peer_query, trial_ended>;
using detector_actions = std::vector<detector_action>;

/// Thresholds of the test. Evidence is in nats.
struct detector_options {
    double slow_threshold = 22;        ///< sum at which a backend server is called slow
    double error_threshold = 18;       ///< sum at which it is called wrong
    double suspect_share = 0.5;        ///< share of a threshold that makes a server suspect
    double slow_factor = 2.2;          ///< slowdown that the test is tuned to find
    double failing_error_share = 0.25; ///< error share that the test is tuned to find
    double slow_request_limit = 6;     ///< most that one slow request adds
    double error_limit = 7;            ///< most that one error adds
    double min_log_scale = 0.25;       ///< spread assumed at the least
    double min_error_share = 1e-4;     ///< error share assumed at the least
    std::uint32_t trial_requests = 5;  ///< requests that an ejected backend server must pass
    duration cold_start_limit = std::chrono::seconds(60); ///< after this, a cold start counts
};

/// The detector of one gate. Bounded: 64 backend servers, 256 open requests, 128 samples each,
/// 16 peers a service. Call `tick` every 50 ms or so: open requests age.
class failure_detector {
public:
    explicit failure_detector(const detector_options& options = {});
    ~failure_detector();
    failure_detector(failure_detector&&) noexcept;
    failure_detector& operator=(failure_detector&&) noexcept;
    failure_detector(const failure_detector&) = delete;
    failure_detector& operator=(const failure_detector&) = delete;

    /// False when the table is full. A backend server already known starts anew. One that is
    /// `cold` is given more time until its first ordinary answer.
    bool add_server(service_id service, backend_server_id server, time_point now,
                    bool cold = false);
    void remove_server(backend_server_id server);

    detector_actions step(const request_started& event, time_point now);
    detector_actions step(const request_finished& event, time_point now);
    detector_actions step(const health_reported& event, time_point now);
    detector_actions step(const peer_statistics& event, time_point now);
    detector_actions tick(time_point now);

    /// Lets the backend server in for trial requests only, with no evidence against it.
    void begin_trial(backend_server_id server);
    /// Whether a request may go to it now: on trial only idempotent ones, one at a time.
    bool admits(backend_server_id server, bool idempotent) const;
    /// The evidence now. A backend server that is not known is healthy.
    assessment assess(backend_server_id server, time_point now) const;
    /// What this gate tells another that asked.
    peer_statistics service_statistics(const peer_query& query, vm_id self, time_point now) const;

private:
    struct server_state;
    struct service_state;
    struct reference;
    struct peer_totals;

    server_state* find(backend_server_id server);
    const server_state* find(backend_server_id server) const;
    service_state& service_of(service_id service);
    reference reference_of(service_id service) const;
    past_span span_of(const server_state& it, const assessment& found, const reference& ref,
                      time_point now) const;
    void add_outcome(server_state& it, request_outcome outcome, time_point started,
                     bool started_cold, time_point now);
    double open_evidence(const server_state& it, const reference& ref, time_point now) const;
    assessment evidence(const server_state& it, const reference& ref, time_point now) const;

    enum class peer_comparison : std::uint8_t { unclear, confirmed, contradicted };
    peer_totals totals_of_peers(const server_state& it, failure_reason reason) const;
    peer_comparison compare_with_peers(const server_state& it, const assessment& found,
                                       time_point now) const;
    void update_verdict(server_state& it, time_point now, detector_actions& out);
    void count_recent(const server_state& it, const past_span& span, const reference& ref,
                      time_point now, peer_statistics& out) const;
    void update_trial(server_state& it, double share, detector_actions& out);
    void query_peers_if_due(server_state& it, const assessment& found, time_point now,
                            detector_actions& out);

    detector_options options_;
    std::vector<server_state> servers_;
    std::vector<service_state> services_;
    std::uint64_t last_query_id_ = 0;
};

} // namespace jasminebank
