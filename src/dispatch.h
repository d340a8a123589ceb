#pragma once

// The head of a request sent from an entry node to a gate, the proxy in front of the backend
// servers of one node: the caller's fields plus internal ones. Internal fields sent by a caller are
// dropped before.

#include "header_names.h"
#include "link_message.h"
#include "poison_list.h"
#include "result.h"
#include "server_notice.h"
#include "types.h"

#include <optional>
#include <string>

namespace jasminebank {

/// Prefix of all internal fields; a caller's fields with this prefix are dropped.
constexpr std::string_view internal_prefix = "jasmine-";
/// Share of the backend server's slots that are busy, from 0 to 1, in answers and refusals of a
/// gate.
constexpr std::string_view load_field = "jasmine-load";
/// Expected wait at the gate for a slot in milliseconds, for a request of the same organisation and
/// rank that returns like this one or is new like it; in
/// answers and refusals of a gate that has it (`gate_options::service_admission`).
constexpr std::string_view wait_field = "jasmine-wait";
/// Present in a refusal when the gate requests a trial: one request that tests whether a suspected
/// backend server has recovered.
constexpr std::string_view trial_field = "jasmine-trial";

/// In an answer, what the backend server said in it; in a request, what it said last to the entry
/// node. A gate that has restarted thus learns the limits of its backend servers again.
constexpr std::string_view notice_field = "jasmine-notice";

/// The internal fields of a request.
struct dispatch {
    backend_server_id server;
    incarnation gate_run; ///< process run of the gate that the entry node has selected
    route_id route;
    service_id service;         ///< which the backend server must still belong to
    std::string organisation;   ///< empty on a public route
    std::string caller_service; ///< service of the backend server on the entry node's VM
    std::uint32_t priority = 0; ///< under overload; 0 is the highest
    bool is_nested = false;     ///< sent by a backend server while it runs another request
    bool is_returned = false;   ///< comes back after a refusal; before new ones of its rank
    duration target_latency{};  ///< for the answer; 0: none
    duration time_left{};       ///< time until the deadline
    bool idempotent = false;
    bool may_queue = true;       ///< may wait for a slot; if not, refused when no slot is free
    bool allow_suspected = true; ///< dispatch even if the gate suspects the backend server
    bool is_trial = false; ///< tests a suspected server; the same request also runs on another one
    request_fingerprint fingerprint;         ///< equal for identical requests of one caller
    std::optional<reported_notice> notice{}; ///< what the entry node knows of the backend server
};

/// The field `wait_field` with this wait.
header_field wait_header(duration wait);

/// Adds the internal fields to `head`.
void write_dispatch(const dispatch& it, message_head& head);

/// Reads the internal fields; nothing if they are missing or malformed.
std::optional<dispatch> read_dispatch(const message_head& head);

/// Latest time at which a request that waits for a slot may start. It is refused then, early enough
/// for its caller to retry, and before the entry's own deadline, after which it would be unknown
/// whether the request ran.
time_point latest_start(const dispatch& it, time_point now, time_point deadline);
/// Rank of a request in the queue for a slot; 0 is served first.
std::uint32_t queue_rank(const dispatch& it);

/// Returns the head to send to a backend server: the internal fields are removed and those meant
/// for it are added under the names in `names`. `expected_server` may be empty.
message_head head_for_backend_server(const message_head& head, const dispatch& it,
                                     const header_names& names, const std::string& expected_server);

} // namespace jasminebank
