#pragma once

// The id that a gate assigns to a dispatched request, and the outcome that it reports to failure
// detection.

#include "types.h"

#include <cstdint>

namespace jasminebank {

/// Id of one request sent to a backend server; a gate never reuses an id.
using request_id = strong_id<struct request_tag>;

/// How a request sent to a backend server ended, as classified by its gate.
enum class request_outcome : std::uint8_t {
    ok,                 ///< complete answer with a status below 500
    error_status,       ///< status 500 or above, and not marked as a refusal by the backend server
    bad_length,         ///< the body is shorter or longer than its announced length
    hung,               ///< the gate's timeout expired
    connection_refused, ///< nothing listens on the backend server's address
    shed,               ///< the backend server refused the request under load
    draining,           ///< the backend server refused the request because it is stopping
    cold_start,         ///< the backend server reports that it is warming up
    deadline_or_cancelled, ///< the caller's deadline expired or the caller cancelled the request
    link_fault,            ///< the link between entry node and gate failed, not the backend server
};

} // namespace jasminebank
