#pragma once

// The datagram between nodes: liveness, suspicions, news of member records, and how fresh the
// sender's configuration is. Encoded in CBOR behind a keyed digest of the fleet key.

#include "endpoint.h"
#include "member_directory.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Largest datagram, so that none is cut into fragments.
constexpr std::size_t max_heartbeat_bytes = 1400;

enum class heartbeat_kind : std::uint8_t {
    ping,         ///< answered with an ack
    ack,          ///< answers a ping of the same number
    ping_request, ///< asks the receiver to ping `target` on the sender's behalf
    gossip,       ///< carries records, not answered
};

struct heartbeat {
    heartbeat_kind kind = heartbeat_kind::ping;
    std::uint64_t sequence = 0;          ///< of the ping, chosen by its sender
    std::string name;                    ///< VM of the sender
    record_stamp sender;                 ///< edition of the sender's own record
    endpoint target;                     ///< of a ping request
    std::uint64_t directory_digest = 0;  ///< of all that the sender knows
    std::uint64_t generation = 0;        ///< of the configuration in force at the sender
    std::optional<duration> store_age{}; ///< since the store was heard by somebody, as far as known
    std::vector<record_stamp> suspects;  ///< editions of nodes that do not answer
    std::vector<member_record> records;  ///< news
};

/// Bytes of a datagram under the fleet key.
std::string encode_heartbeat(const heartbeat& it, std::string_view fleet_key);

/// Reads a datagram; nothing if it is malformed or not from a holder of the fleet key.
std::optional<heartbeat> decode_heartbeat(std::string_view bytes, std::string_view fleet_key);

} // namespace jasminebank
