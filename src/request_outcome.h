#pragma once

// What a gate calls one dispatch to a backend server, and how it judges the end of it.

#include "types.h"

#include <cstdint>

namespace jasminebank {

/// One dispatch to a backend server; never used twice by a gate.
using request_id = strong_id<struct request_tag>;

/// How a dispatched request ended, as its gate judged it.
enum class request_outcome : std::uint8_t {
    ok,                    ///< whole answer, status below 500
    error_status,          ///< status 500 or above that is not an honest refusal
    bad_length,            ///< truncated, or longer than announced
    hung,                  ///< the gate gave up waiting
    connection_refused,    ///< nothing listens
    shed,                  ///< honest refusal under load
    draining,              ///< honest refusal while leaving
    cold_start,            ///< the backend server has said that it is warming up
    deadline_or_cancelled, ///< the caller's deadline passed or the caller cancelled
    link_fault,            ///< the path broke, not the backend server
};

} // namespace jasminebank
