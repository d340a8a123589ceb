#pragma once

// The ways in which a fake backend server fails, switched while it runs.

#include "result.h"
#include "types.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace jasminebank {

/// Shares are probabilities from 0 to 1, drawn for each request that runs. The default fails never.
struct backend_mode {
    double slow_share = 0;         ///< requests that take `slow_factor` times as long
    double slow_factor = 1;        ///< from 0.01 to 1000
    double error_share = 0;        ///< answered 500 after the work was done
    double truncate_share = 0;     ///< body cut in the middle, connection closed
    double wrong_length_share = 0; ///< Content-Length smaller than the body that follows
    double wrong_body_share = 0;   ///< body of another request
    double hang_share = 0;         ///< never answered, until the caller leaves
    std::string crash_text{};      ///< a request with this text in a header or its body crashes it
    duration flap_period{};        ///< bad for one half of each period, good for the other; 0: off
    bool honest_health = false;    ///< /health tells of drain and of bad modes; else always green
    double fixed_load = -1;        ///< reported in place of the true load; negative: off
    duration report_lag{};         ///< health and load are as old as this
};

/// Why a mode was not taken.
struct mode_error {
    std::string field;
    std::string allowed;
};

/// Reads a JSON object whose names are the fields above, times with the suffix `_ms`. Fields that
/// are absent keep the default; unknown ones are an error.
result<backend_mode, mode_error> parse_mode(std::string_view json);

/// What happens to one request.
struct request_faults {
    double slow_factor = 1;
    bool error = false;
    bool truncate = false;
    bool wrong_length = false;
    bool wrong_body = false;
    bool hang = false;
};

/// Whether the mode is bad at `now`, since flapping switches it off for half of the time.
bool has_active_faults(const backend_mode& mode, time_point now);

/// Draws the fate of one request at `now`.
request_faults draw_faults(const backend_mode& mode, time_point now, std::mt19937_64& random);

} // namespace jasminebank
