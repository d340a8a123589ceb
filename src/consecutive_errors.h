#pragma once

// The usual outlier ejection: N consecutive errors, evaluated at a fixed interval. It is the
// baseline that the sequential test of `failure_detector` is compared with.

#include "failure_detector.h"

#include <cstdint>
#include <vector>

namespace jasminebank {

/// Parameters of the baseline.
struct consecutive_errors_options {
    std::uint32_t errors = 5;                     ///< consecutive errors that eject
    duration interval = std::chrono::seconds(10); ///< time between evaluations
    duration request_timeout =
        std::chrono::seconds(5); ///< an open request past it counts as an error
};

/// Ejects on consecutive errors. A slow request counts as an error only past the timeout.
class consecutive_errors {
public:
    explicit consecutive_errors(const consecutive_errors_options& options = {});

    /// Returns false when the table is full. The state of a server that is already known is reset.
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
