#pragma once

// The usual outlier ejection, kept as a baseline to measure the sequential test against: N errors
// in a row, looked at every fixed interval.

#include "failure_detector.h"

#include <cstdint>
#include <vector>

namespace jasminebank {

/// Settings of the baseline.
struct consecutive_errors_options {
    std::uint32_t errors = 5;                           ///< errors in a row that eject
    duration interval = std::chrono::seconds(10);       ///< time between evaluations
    duration request_timeout = std::chrono::seconds(5); ///< an older open request is an error
};

/// Ejects on consecutive errors; slow answers record_result only when they pass the timeout.
class consecutive_errors {
public:
    explicit consecutive_errors(const consecutive_errors_options& options = {});

    /// False when the table is full. A backend server already known starts anew.
    bool add_server(service_id service, backend_server_id server, time_point now,
                    bool cold = false);
    detector_actions step(const request_started& event, time_point now);
    detector_actions step(const request_finished& event, time_point now);
    detector_actions tick(time_point now);

private:
    struct open_request {
        request_id request;
        time_point started;
    };
    struct server_state {
        service_id service;
        backend_server_id server;
        std::vector<open_request> open;
        std::uint32_t errors_in_a_row = 0;
        bool ejection_due = false;
        bool ejected = false;
    };

    void record_result(server_state& it, bool error);

    consecutive_errors_options options_;
    std::vector<server_state> servers_;
    time_point next_evaluation_;
};

} // namespace jasminebank
