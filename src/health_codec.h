#pragma once

// What gates of one service tell each other, and the service's ejection record in the store.

#include "failure_detector.h"
#include "member_directory.h"
#include "service_floor.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// The answer: figures of that gate, and its backend servers of the service.
struct service_health {
    peer_reference reference;
    incarnation gate_run;
    std::vector<server_record> servers;
};

/// One gate's question to another, as the detector asks it.
std::string encode_health_query(const ask_peers& it);
std::optional<ask_peers> decode_health_query(std::string_view text);
std::string encode_service_health(const service_health& it);
std::optional<service_health> decode_service_health(std::string_view text);

/// JSON of a record, as the store holds it.
std::string encode_ejection_record(const ejection_record& it);
/// Reads it; nothing if it is malformed.
std::optional<ejection_record> decode_ejection_record(std::string_view text);

} // namespace jasminebank
