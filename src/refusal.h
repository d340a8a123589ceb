#pragma once

// What the fleet tells a caller about a request it did not answer: whether it was run, why not, and
// when to try again. One header carries it: "Jasmine-Outcome: not-run; reason=over_rate".

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

constexpr std::string_view outcome_header = "Jasmine-Outcome";
/// Same, as links write it.
constexpr std::string_view outcome_field = "jasmine-outcome";

/// Whether a request was run. `not_run` is said only when it is proved.
enum class run_state : std::uint8_t { not_run, ran, unknown };

/// Why a request was refused or failed.
enum class refusal : std::uint8_t {
    bad_request,          ///< malformed, or the key stands where it must not
    no_key,               ///< no key was shown
    unknown_key,          ///< the key is of no organisation, or was withdrawn
    no_route,             ///< no route has this path and method
    not_allowed,          ///< the route is not open to this organisation
    over_rate,            ///< the organisation is over its rate and burst
    no_backend_server,    ///< no healthy backend server is known
    overloaded,           ///< all slots are taken, or a bound of this node is reached
    cut_off,              ///< this node hears neither the store nor half of the members
    no_configuration,     ///< this node has no configuration yet
    deadline,             ///< the deadline passed
    poison,               ///< requests like this crashed backend servers
    stopping,             ///< the node or the backend server is being stopped
    duplicate,            ///< the same idempotency key has been used
    backend_server_error, ///< the backend server failed while it had the request
    shed,                 ///< the backend server itself had no room
    suspect,              ///< the backend server may hang or fail just now
    body_too_large,       ///< the request's body is over the configured bound
    register_unavailable, ///< nobody can tell whether the idempotency key was used, or no room
    caller_left,          ///< the caller closed its connection, so its request was cancelled
};

/// What to answer.
struct refusal_answer {
    refusal reason = refusal::bad_request;
    run_state state = run_state::not_run;
    std::optional<duration> retry_after{}; ///< when the caller may try again
};

/// HTTP status of a refusal.
int status_of(refusal reason);

std::string_view name_of(refusal reason);
std::string_view name_of(run_state state);

/// Value of the outcome header.
std::string outcome_text(const refusal_answer& it);

/// Reads an outcome header's value; nothing if it is malformed.
std::optional<refusal_answer> parse_outcome(std::string_view text);

/// True when another backend server may be tried after this refusal by a gate.
bool may_try_elsewhere(const refusal_answer& it);

} // namespace jasminebank
