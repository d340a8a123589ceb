#pragma once

// Settings of one node process, read from its INI file.

#include "cold_start.h"
#include "endpoint.h"
#include "ini_file.h"
#include "region_map.h"
#include "result.h"
#include "types.h"

#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// Whether a node serves requests while it reaches neither the store nor half of the known members.
enum class cut_off_policy : std::uint8_t { refuse, serve };

/// With `service_admission`, which requests those that return after a refusal go before.
enum class returned_order : std::uint8_t {
    rank,         ///< all new ones of their rank
    organisation, ///< the new ones of their rank and organisation
    none,
};

/// All settings, validated. docs/OPERATIONS.md lists them with their ranges.
struct node_settings {
    std::string vm_name;
    std::string failure_domain;
    std::string region;
    endpoint callers;              ///< listen address for callers' HTTP
    endpoint links;                ///< listen address for links from other nodes
    endpoint control;              ///< listen address for announcements, metrics and queries
    std::vector<endpoint> store;   ///< the platform's key-value store
    std::vector<endpoint> peers;   ///< link addresses of some other nodes, used to join
    std::string fleet_key;         ///< shared secret for authentication between nodes
    std::string port_file;         ///< receives the bound addresses, for port 0
    std::size_t connections = 512; ///< maximum number of concurrent caller connections
    std::size_t buffered_body_bytes = 64UL * 1024; ///< larger request bodies are streamed
    std::size_t waiting_requests = 256;            ///< capacity of the gate's queue
    duration backend_idle{};                       ///< idle timeout of pooled backend connections
    duration announcement_ttl{}; ///< a backend server expires this long after announcing
    duration stop_grace{};       ///< time from the stop signal to the exit
    duration closing_grace{};    ///< initial part of it that accepts requests; at most half
    cut_off_policy when_cut_off = cut_off_policy::refuse;

    bool on_platform = false;        ///< use the platform's store and protocols
    bool first_start = true;         ///< no other node has run before
    endpoint ready;                  ///< readiness check for load balancers; port 0: none
    endpoint metrics;                ///< also serves metrics and status; port 0: none
    endpoint backend_server;         ///< only this one may announce itself; port 0: any
    std::string service;             ///< service of `backend_server`
    duration revoke_within{};        ///< revoked keys are refused within this; 0: see DESIGN
    double rate_slack = 0;           ///< tolerated excess requests over rate and burst
    std::uint32_t limit_holders = 1; ///< number of nodes that hold token buckets
    /// An idempotent request is hedged after this multiple of its usual duration; 0: never.
    double hedge_after = 0;
    double other_domain_penalty = 1.0;      ///< added to scores of other domains; 1: a full server
    double other_domain_penalty_per_mb = 0; ///< added in addition, per MB of body
    double other_region_penalty = 0;        ///< added in addition for other regions
    double other_region_penalty_per_mb = 0; ///< added in addition, per MB of body
    /// Megabits a second of this VM's own link; 0: unknown. The nodes with the fastest links read
    /// the configuration for their failure domain and send it to the others.
    double link_rate = 0;
    /// Megabits a second that all nodes of a region together may cause between regions; 0: no
    /// bound.
    double region_link = 0;
    duration ping_period{};         ///< interval between heartbeats
    bool own_domain_first = true;   ///< use other domains only if the own one is full
    bool service_admission = false; ///< admission when a service is short of capacity
    returned_order returned_first = returned_order::rank;
    double retry_share = 0.1; ///< allowed retries per recent success of a service
    /// Retries that all nodes together may send to a service per window, regardless of successes;
    /// 0: no shared limit, each node uses its own retry budget.
    double fleet_retries = 0;
    duration fleet_retry_window{};
    region_map_reading regions{}; ///< regions of the failure domains
    bool evacuations = false;     ///< empty failure domains as the platform's store says
    /// What a cold backend server tolerates above its service's rate; nothing: no limit.
    std::optional<cold_start_tolerance> cold_start{};
};

/// Validates a parsed file. The fleet key's file must be readable by its owner only.
result<node_settings, ini_error> read_node_settings(const ini_file& file);

} // namespace jasminebank
