#pragma once

// Settings of one node process, from its INI file.

#include "endpoint.h"
#include "ini_file.h"
#include "result.h"
#include "types.h"

#include <string>
#include <vector>

namespace jasminebank {

/// What a node does while it hears neither the store nor half of the known members.
enum class cut_off_policy : std::uint8_t { refuse, serve };

/// All settings, checked. docs/OPERATIONS.md lists them with their ranges.
struct node_settings {
    std::string vm_name;
    std::string failure_domain;
    std::string region;
    endpoint callers;              ///< callers' HTTP
    endpoint links;                ///< links of other nodes
    endpoint control;              ///< announcements, metrics, operators' queries
    std::vector<endpoint> store;   ///< the platform's key-value store
    std::vector<endpoint> peers;   ///< links of some other nodes, to begin with
    std::string fleet_key;         ///< secret that proves membership of the fleet
    std::string port_file;         ///< where the ports taken are written, for port 0
    std::size_t connections = 512; ///< callers' connections at once
    std::size_t buffered_body_bytes = 64UL * 1024; ///< bodies up to this are read before dispatch
    std::size_t waiting_requests = 256;            ///< requests that wait for slots at this gate
    duration backend_idle{};     ///< a kept connection to a backend server is dropped after
    duration announcement_ttl{}; ///< a backend server not heard this long is gone
    duration stop_grace{};       ///< a planned stop waits this long for requests
    cut_off_policy when_cut_off = cut_off_policy::refuse;
};

/// Checks a parsed file. The fleet key's file must be readable by its owner only.
result<node_settings, ini_error> read_node_settings(const ini_file& file);

} // namespace jasminebank
