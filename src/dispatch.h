#pragma once

// The head with which an entry node hands a request to a gate: the caller's own fields plus the
// internal ones. Callers' fields of the internal names never get in.

#include "link_message.h"
#include "poison_list.h"
#include "result.h"
#include "types.h"

#include <optional>
#include <string>

namespace jasminebank {

/// Prefix of all internal fields; a caller's field that begins so is dropped.
constexpr std::string_view internal_prefix = "jasmine-";
/// The only internal fields that a backend server sees.
constexpr std::string_view organisation_field = "jasmine-organisation";
constexpr std::string_view deadline_field = "jasmine-deadline-ms";
/// Share of busy slots that an answer tells, from 0 to 1.
constexpr std::string_view load_field = "jasmine-load";

/// What the gate must know of a request.
struct dispatch {
    backend_server_id server;
    incarnation gate_run; ///< the run of the gate that the entry node means
    std::string organisation;
    duration time_left{}; ///< until the deadline
    bool idempotent = false;
    request_fingerprint fingerprint; ///< equal for requests that are the same to the caller
};

/// Adds the internal fields to a head.
void write_dispatch(const dispatch& it, message_head& head);

/// Reads them; nothing when one is missing or malformed.
std::optional<dispatch> read_dispatch(const message_head& head);

/// The head without internal fields, but for those that a backend server may see.
message_head head_for_backend_server(const message_head& head);

} // namespace jasminebank
