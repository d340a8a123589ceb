#pragma once

// Names of the HTTP fields that callers, backend servers and nodes agree on. The defaults are the
// product's own; a platform brings others. All names are in lower case.

#include <string>

namespace jasminebank {

struct header_names {
    /// Callers name each attempt; passed on, and echoed by backend servers. Empty: not used.
    std::string request_id = "x-request-id";
    /// Milliseconds that the caller will wait; goes to the backend server with what is left of it.
    std::string caller_deadline = "x-deadline-ms";
    std::string deadline = "jasmine-deadline-ms";
    /// Organisation that the request runs for.
    std::string organisation = "jasmine-organisation";
    /// Service beside whose backend server the request began. Empty: not told.
    std::string caller_service{};
    /// Name of the only backend server that may run the request. Empty: not told.
    std::string expected_server{};
    /// Marks an answer that proves that the backend server did not run the request.
    std::string not_run = "x-backend-shed";
    /// Stands in each success of a backend server; one without it is no whole answer. Empty: not
    /// used.
    std::string success_mark{};
    /// True when the statuses 408, 421, 429 and 503 promise that a request did not and will not
    /// run. A backend server's answer with such a status and no `not_run` is then no answer.
    bool status_guarantees_not_run = false;
    /// True when callers read fractions of seconds in `Retry-After`.
    bool retry_after_fractions = false;
};

} // namespace jasminebank
