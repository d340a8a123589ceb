#pragma once

// The head with which an entry node hands a request to a gate: the caller's own fields plus the
// internal ones. Callers' fields of the internal names never get in.

#include "header_names.h"
#include "link_message.h"
#include "poison_list.h"
#include "result.h"
#include "types.h"

#include <optional>
#include <string>

namespace jasminebank {

/// Prefix of all internal fields; a caller's field that begins so is dropped.
constexpr std::string_view internal_prefix = "jasmine-";
/// Share of busy slots that an answer tells, from 0 to 1.
constexpr std::string_view load_field = "jasmine-load";
/// Stands in a refusal when the gate would take one request to learn whether its server is well.
constexpr std::string_view trial_field = "jasmine-trial";

/// What the gate must know of a request.
struct dispatch {
    backend_server_id server;
    incarnation gate_run; ///< the run of the gate that the entry node means
    route_id route;
    service_id service;         ///< the backend server must still be of this service
    std::string organisation;   ///< empty: a public route
    std::string caller_service; ///< service beside whose backend server the request began
    std::uint32_t priority = 0; ///< rank under overload, 0 is the highest
    bool is_nested = false;     ///< made by a backend server for a request that it runs
    duration target_latency{};  ///< an answer within this time is worth most; 0: none
    duration time_left{};       ///< until the deadline
    bool idempotent = false;
    bool may_queue = true;           ///< for a slot; else it is refused when none is free
    bool allow_suspected = true;     ///< also when the gate suspects the backend server
    bool is_trial = false;           ///< may be lost: the same request runs elsewhere, too
    request_fingerprint fingerprint; ///< equal for requests that are the same to the caller
};

/// Adds the internal fields to a head.
void write_dispatch(const dispatch& it, message_head& head);

/// Reads them; nothing when one is missing or malformed.
std::optional<dispatch> read_dispatch(const message_head& head);

/// Until when a request waits for a slot; then it is refused, so that its caller may still come
/// back. It always ends before the entry itself gives up, which would leave open whether it runs.
time_point latest_start(const dispatch& it, time_point now, time_point deadline);
/// Rank of a request among those that wait for a slot, 0 first.
std::uint32_t queue_rank(const dispatch& it);

/// The head for a backend server: without internal fields, and with those that it is to see by
/// their names. `expected_server` may be empty.
message_head head_for_backend_server(const message_head& head, const dispatch& it,
                                     const header_names& names, const std::string& expected_server);

} // namespace jasminebank
