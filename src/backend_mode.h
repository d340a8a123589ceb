#pragma once

// The faults that a fake backend server injects; they can be changed while it runs.

#include "result.h"
#include "types.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace jasminebank {

/// Faults to inject. A share is a probability from 0 to 1, drawn for each request that starts to
/// run. The default mode injects no faults.
struct backend_mode {
    double slow_share = 0;         ///< requests whose service time is multiplied by `slow_factor`
    double slow_factor = 1;        ///< from 0.01 to 1000
    double error_share = 0;        ///< answered with status 500 after their service time
    double truncate_share = 0;     ///< connection closed after half of the response body
    double wrong_length_share = 0; ///< Content-Length smaller than the body sent
    double wrong_body_share = 0;   ///< response body generated for another request id
    double hang_share = 0;         ///< no response until disconnect, deadline or 5 minutes
    double max_rate = -1;          ///< named in each answer; negative: none is named
    bool leaving = false;          ///< said in each answer
    std::string crash_text{};      ///< crash on a request with this text in a header or its body
    duration flap_period{};        ///< faults active in the first half of each period; 0: always
    bool honest_health = false;    ///< /health returns 503 while draining or faults are active
    double fixed_load = -1;        ///< reported instead of the measured load; negative: off
    duration report_lag{};         ///< minimum interval between updates of reported health and load
};

/// The first invalid field of a mode and its allowed values.
struct mode_error {
    std::string field;
    std::string allowed;
};

/// Parses a JSON object with the field names of backend_mode; durations are in milliseconds and
/// have the suffix `_ms`. Absent fields keep their default; unknown fields are an error.
result<backend_mode, mode_error> parse_mode(std::string_view json);

/// The faults injected into one request.
struct request_faults {
    double slow_factor = 1;
    bool error = false;
    bool truncate = false;
    bool wrong_length = false;
    bool wrong_body = false;
    bool hang = false;
};

/// Whether a share above 0 is in effect at `now`. With a flap period, the second half of each
/// period has no faults.
bool has_active_faults(const backend_mode& mode, time_point now);

/// Draws the faults of one request that starts at `now`.
request_faults draw_faults(const backend_mode& mode, time_point now, std::mt19937_64& random);

} // namespace jasminebank
