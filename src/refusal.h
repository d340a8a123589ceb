#pragma once

// The reasons for which the fleet refuses a request, and the header that reports to the caller
// whether the request ran and why it was refused: "Jasmine-Outcome: not-run; reason=over_rate".

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

constexpr std::string_view outcome_header = "Jasmine-Outcome";
/// The name of the same field on links, which use lower case.
constexpr std::string_view outcome_field = "jasmine-outcome";

/// Whether a request ran. `not_run` is used only when it is certain.
enum class run_state : std::uint8_t { not_run, ran, unknown };

/// Why a request was refused or failed.
enum class refusal : std::uint8_t {
    bad_request,            ///< malformed, or the key occurs outside the key fields
    no_key,                 ///< the request has no key
    unknown_key,            ///< the key belongs to no organisation or was revoked
    no_route,               ///< no route matches the path, the method and the host
    not_allowed,            ///< this organisation may not use the route
    over_rate,              ///< the organisation exceeds its rate limit and burst
    no_backend_server,      ///< no backend server is available
    overloaded,             ///< all slots are busy, or a limit of this node is reached
    cut_off,                ///< this node reaches neither the store nor half of the members
    no_configuration,       ///< this node has no configuration yet
    deadline,               ///< the deadline passed
    poison,                 ///< identical requests crashed backend servers
    stopping,               ///< the node or the backend server is being stopped
    duplicate,              ///< the same idempotency key has been used
    backend_server_error,   ///< the backend server failed while it had the request
    shed,                   ///< the backend server shed the request under load
    suspect,                ///< the backend server is suspected to hang or to fail
    body_too_large,         ///< the request's body exceeds the configured limit
    register_unavailable,   ///< it is unknown whether the idempotency key was used, or the register
                            ///< of keys is full
    limits_unavailable,     ///< no holder of the rate limits answers
    caller_left,            ///< the request was cancelled because the caller disconnected
    no_region,              ///< the route and the organisation allow no region in common
    evacuated,              ///< the operators have evacuated the backend server's failure domain
    no_time,                ///< the time left is shorter than the least expected service time
    outdated_configuration, ///< refused by the configuration in force, but a newer one is known
};

/// The answer to a request that was refused or failed.
struct refusal_answer {
    refusal reason = refusal::bad_request;
    run_state state = run_state::not_run;
    std::optional<duration> retry_after{}; ///< delay before the caller should retry
};

/// HTTP status of a refusal.
int status_of(refusal reason);

std::string_view name_of(refusal reason);
std::string_view name_of(run_state state);

/// Value of the outcome header.
std::string outcome_text(const refusal_answer& it);

/// Parses the value of the outcome header; nothing if it is malformed.
std::optional<refusal_answer> parse_outcome(std::string_view text);

/// Returns whether the request may be sent to another backend server after this refusal by a gate.
bool may_try_elsewhere(const refusal_answer& it);

} // namespace jasminebank
