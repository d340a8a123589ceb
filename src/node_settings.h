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
    duration stop_grace{};       ///< from the signal until the process has ended
    duration closing_grace{};    ///< of it, how long new requests are taken; half of it at most
    cut_off_policy when_cut_off = cut_off_policy::refuse;

    bool on_platform = false; ///< the store, configuration and backend server are the platform's
    endpoint ready;           ///< answers whether callers may come; port 0: not served
    endpoint metrics;         ///< metrics and status; port 0: on `control` only
    endpoint backend_server;  ///< the only one that may announce itself here; port 0: any
    std::string service;      ///< of that backend server
    duration revoke_within{}; ///< a withdrawn key stops everywhere within this time; 0: see DESIGN
    double rate_slack = 0;    ///< requests beyond rate and burst that the operators put up with
    std::uint32_t limit_holders = 1; ///< nodes that hold the limits' buckets
    /// An idempotent request open for this many usual times is tried elsewhere; 0: never.
    double hedge_after = 0;
    double other_domain_penalty = 1.0;      ///< of a hop to another failure domain, in full servers
    double other_domain_penalty_per_mb = 0; ///< in addition, for what the hop carries
    duration ping_period{};                 ///< between two heartbeats that a node sends
    bool own_domain_first = true;           ///< others only when the own domain's servers are full
    double retry_share = 0.1;               ///< retries for each recent success of a service
    /// That all nodes together may send to a service in each window, whatever its successes.
    double fleet_retries = 0;
    duration fleet_retry_window{};
};

/// Checks a parsed file. The fleet key's file must be readable by its owner only.
result<node_settings, ini_error> read_node_settings(const ini_file& file);

} // namespace jasminebank
