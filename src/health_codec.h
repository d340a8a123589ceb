#pragma once

// Encoding of the health queries and answers that the gates of a service exchange (CBOR), and of
// the service's ejection record in the store (JSON).

#include "failure_detector.h"
#include "member_directory.h"
#include "service_floor.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// The answer of a gate to a health query: its statistics and its backend servers of the service.
struct service_health {
    peer_statistics reference;
    incarnation gate_run;
    std::vector<server_record> servers;
};

/// The query that the failure detector of one gate sends to the others.
std::string encode_health_query(const peer_query& it);
std::optional<peer_query> decode_health_query(std::string_view text);
std::string encode_service_health(const service_health& it);
std::optional<service_health> decode_service_health(std::string_view text);

/// The record as JSON, as kept in the store.
std::string encode_ejection_record(const ejection_record& it);
/// Decodes a record; nothing if it is malformed.
std::optional<ejection_record> decode_ejection_record(std::string_view text);

} // namespace jasminebank
