#pragma once

// Sequential detection of gray failure. The gate of a backend server is the node that admits the
// requests to it. A gate observes every request to its backend servers and
// keeps two cumulative sums (CUSUM) of log likelihood ratios for each server: one over the
// logarithm of the service time, one over errors. A request that is still open contributes as if it
// finished now, which is a lower bound of its evidence. Before a backend server is declared
// failing, the sums are compared with the statistics of other gates of the service over the same
// seconds, so that a slowdown of the whole service makes no single server failing.

#include "request_outcome.h"
#include "types.h"

#include <cstdint>

#include <variant>
#include <vector>

namespace jasminebank {

/// A request was sent to a backend server.
struct request_started {
    request_id request;
    backend_server_id server;
};

/// A request that was sent ended. `suspected_poison`: the request itself is taken to have crashed
/// the backend server, so the crash is no evidence against the server. Equal requests are
/// recognised by their fingerprint, a hash.
struct request_finished {
    request_id request;
    request_outcome outcome = request_outcome::ok;
    bool suspected_poison = false;
};

/// Result of one health check of a backend server. Only a failed check changes the evidence.
struct health_reported {
    backend_server_id server;
    bool passed = true;
};

/// Statistics of one gate about one service: long-run estimates, request counts of the queried
/// span, and the present evidence against its own backend servers. An overdue request is one that
/// has been open for so long that it counts as slow.
struct peer_statistics {
    service_id service;
    vm_id gate;
    double log_median = 0;  ///< long-run median of ln(service time in seconds)
    double log_scale = 0;   ///< long-run spread of the same, as a standard deviation
    double error_share = 0; ///< long-run share of errors
    std::uint64_t samples = 0;
    std::uint64_t query_id = 0;        ///< the query answered; the counts are of its span
    std::uint32_t recent_requests = 0; ///< started in the span, and ended or overdue
    std::uint32_t recent_slow = 0;     ///< of these, slow or still open and overdue
    std::uint32_t recent_errors = 0;   ///< of these, ended with an error
    double slow_evidence = 0;          ///< in nats, mean over the gate's servers of the service
    double error_evidence = 0;         ///< likewise
};

enum class verdict : std::uint8_t { healthy, suspect, failing };
enum class failure_reason : std::uint8_t { none, slow, errors, hanging };

/// The state of the evidence against one backend server. Sums are in nats.
struct assessment {
    verdict state = verdict::healthy;
    failure_reason reason = failure_reason::none;
    double slow_evidence = 0; ///< from finished and from open requests
    double open_evidence = 0; ///< the part of it from open requests
    double error_evidence = 0;
    std::uint32_t severity =
        0; ///< harm to callers; the ejected server with the lowest one returns first
};

/// The verdict on `server` changed.
struct verdict_changed {
    service_id service;
    backend_server_id server;
    assessment evidence;
};

/// A time span in the past, given by two ages: it began `since` ago and ended `until` ago.
struct past_span {
    duration since{};
    duration until{};
};

/// Request to query a few other gates of `service` for their `peer_statistics` over `span`. The
/// replies, with the same `query_id`, are passed to `step`.
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

/// Parameters of the sequential test. Evidence is in nats.
struct detector_options {
    double slow_threshold = 22;        ///< slow evidence at which a server counts as slow
    double error_threshold = 18;       ///< error evidence at which it counts as erroneous
    double suspect_share = 0.5;        ///< share of a threshold that makes a server suspect
    double slow_factor = 2.2;          ///< smallest slowdown that the test is designed for
    double failing_error_share = 0.25; ///< smallest error share it is designed for
    double max_slow_evidence = 6;      ///< maximum evidence of one slow request
    double max_error_evidence = 7;     ///< maximum evidence of one error
    double min_log_scale = 0.25;       ///< lower bound of the estimated spread
    double min_error_share = 1e-4;     ///< lower bound of the estimated error share
    std::uint32_t trial_requests = 5;  ///< successful requests that end a trial
    /// Cold starts of a server are ignored until this long after `add_server`.
    duration cold_start_limit = std::chrono::seconds(60);
};

/// The failure detector of one gate. Memory is bounded: 64 backend servers with 256 open requests
/// and 128 samples each, and 16 peers per service. `tick` must be called about every 50 ms, since
/// the evidence of open requests grows with their age.
class failure_detector {
public:
    explicit failure_detector(const detector_options& options = {});
    ~failure_detector();
    failure_detector(failure_detector&&) noexcept;
    failure_detector& operator=(failure_detector&&) noexcept;
    failure_detector(const failure_detector&) = delete;
    failure_detector& operator=(const failure_detector&) = delete;

    /// Returns false when the table is full. The state of a server that is already known is reset.
    /// A `cold` server is allowed longer service times until its first request that ends with
    /// `request_outcome::ok`.
    bool add_server(service_id service, backend_server_id server, time_point now,
                    bool cold = false);
    void remove_server(backend_server_id server);

    detector_actions step(const request_started& event, time_point now);
    detector_actions step(const request_finished& event, time_point now);
    detector_actions step(const health_reported& event, time_point now);
    detector_actions step(const peer_statistics& event, time_point now);
    detector_actions tick(time_point now);

    /// Starts a trial: clears the evidence and admits only trial requests.
    void begin_trial(backend_server_id server);
    /// Whether a request may be sent to it now. On trial: one idempotent request at a time.
    bool admits(backend_server_id server, bool idempotent) const;
    /// The present evidence. An unknown backend server is healthy.
    assessment assess(backend_server_id server, time_point now) const;
    /// The reply of gate `self` to the query of another gate.
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
