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
struct service_answer {
    peer_statistics figures;
    incarnation gate_run;
    std::vector<server_record> servers;
};

/// One gate's question to another, as the detector asks it.
std::string encode_question(const peer_query& it);
std::optional<peer_query> decode_question(std::string_view text);
std::string encode_answer(const service_answer& it);
std::optional<service_answer> decode_answer(std::string_view text);

/// JSON of a record, as the store holds it.
std::string encode_record(const ejection_record& it);
/// Reads it; nothing if it is malformed.
std::optional<ejection_record> decode_record(std::string_view text);

} // namespace jasminebank
