#pragma once

// The datagram between nodes. It carries pings and acks, suspected nodes, changed member records,
// how recent the sender's configuration is, and which failure domains are evacuated. Encoded in
// CBOR and preceded by a MAC, a truncated digest keyed with the fleet key.

#include "endpoint.h"
#include "evacuation.h"
#include "member_directory.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Larger datagrams might be fragmented on the way.
constexpr std::size_t max_heartbeat_bytes = 1400;

enum class heartbeat_kind : std::uint8_t {
    ping,         ///< requests an ack
    ack,          ///< answers the ping with the same sequence number
    ping_request, ///< requests a ping of `target` by the receiver
    gossip,       ///< sent without a request; not acknowledged
};

struct heartbeat {
    heartbeat_kind kind = heartbeat_kind::ping;
    std::uint64_t sequence = 0;         ///< of the ping; chosen by the node that sent the ping
    std::string name;                   ///< of the VM of the sender
    record_stamp sender;                ///< version of the sender's own record
    endpoint target;                    ///< address to ping, in a ping request
    std::uint64_t directory_digest = 0; ///< of all member records of the sender
    std::uint64_t generation = 0;       ///< of the configuration in force at the sender
    /// Time since any node last reached the store, as far as the sender knows.
    std::optional<duration> store_age{};
    /// Evacuated failure domains, if the sender takes part in evacuations. At least as new as the
    /// read of the store that `store_age` and `generation` are from.
    std::optional<evacuation_state> evacuations{};
    std::vector<record_stamp> suspects; ///< record versions of nodes that do not answer
    std::vector<member_record> records; ///< changed ones, in gossip
};

/// Encodes a datagram, authenticated with the fleet key.
std::string encode_heartbeat(const heartbeat& it, std::string_view fleet_key);

/// Decodes a datagram; nullopt if it is malformed or not authenticated with the fleet key.
std::optional<heartbeat> decode_heartbeat(std::string_view bytes, std::string_view fleet_key);

} // namespace jasminebank
