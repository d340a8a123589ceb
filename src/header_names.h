#pragma once

// Names of the HTTP fields exchanged with callers and backend servers. The defaults are the
// product's own; a platform may replace them. All names are in lower case.

#include <string>

namespace jasminebank {

struct header_names {
    /// Id of the request, chosen by the caller for each of its attempts; forwarded to backend
    /// servers, which echo it. Empty: not used.
    std::string request_id = "x-request-id";
    /// The caller's timeout in milliseconds.
    std::string caller_deadline = "x-deadline-ms";
    /// The remaining time in milliseconds, sent to backend servers.
    std::string deadline = "jasmine-deadline-ms";
    /// Organisation that sent the request, sent to backend servers.
    std::string organisation = "jasmine-organisation";
    /// Service of the backend server on the entry node's VM, sent to backend servers. Empty: not
    /// sent.
    std::string caller_service{};
    /// Name of the only backend server that may run the request. Empty: not sent.
    std::string expected_server{};
    /// Present in an answer of a backend server that did not run the request.
    std::string not_run = "x-backend-shed";
    /// Requests a second that the backend server takes from the whole fleet, in its answers.
    std::string max_rate = "x-backend-max-rate";
    /// "1" in the answers of a backend server that takes no new requests.
    std::string leaving = "x-backend-leaving";
    /// Present in each successful answer of a backend server; a success without it counts as
    /// incomplete. Empty: not used.
    std::string success_mark{};
    /// Whether the statuses 408, 421, 429 and 503 guarantee that a request did not and will not
    /// run. If so, a backend server's answer with one of them but without the field `not_run` is
    /// discarded.
    bool status_guarantees_not_run = false;
    /// Whether callers accept fractions of a second in `Retry-After`.
    bool retry_after_fractions = false;
};

} // namespace jasminebank
