#pragma once

// Load balancing: chooses the backend server for a request from a bounded subset of the service's
// servers by the power of two random choices, with a preference for the node's own failure domain.
// The gate of a backend server is the node that admits the requests to it.

#include "member_directory.h"
#include "types.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace jasminebank {

struct router_options {
    vm_id self;
    failure_domain_id domain;
    std::size_t subset = 24; ///< max. backend servers of one service that this node uses
    double other_domain_penalty =
        1.0; ///< added to its score; 1 equals the reported load with all slots busy
    double other_domain_penalty_per_mb = 0; ///< in addition, per MB of body and response
    bool own_domain_first = true;           ///< use other domains only when the own one is full
    double leaving_penalty = 1.0;           ///< for a node that shuts down; same scale
    duration load_decay_time = std::chrono::milliseconds(500); ///< time constant of reported loads
    /// How long a server that its gate suspects has a penalty, after each refusal.
    duration suspicion_duration = std::chrono::milliseconds(300);
    /// Random candidates that each choice compares: this many of the own domain, and this many of
    /// all domains.
    std::size_t draws = 2;
    /// A gate gets no requests for this long after its link failed.
    duration gate_pause = std::chrono::seconds(1);
};

/// The properties of a request that restrict the choice of its server.
struct route_request {
    service_id service;
    bool idempotent = false;                       ///< may be sent to a server on trial
    std::span<const backend_server_id> excluded{}; ///< backend servers that were tried already
    std::size_t bytes = 0;                         ///< expected size of body and response
    bool examines_all = false;                     ///< compare all candidates, not a random sample
};

/// The chosen backend server and the gate that the request is sent to.
struct route_choice {
    backend_server_id server;
    vm_id gate;
    incarnation gate_run; ///< incarnation of the gate's process
    endpoint gate_link;
    bool is_leaving = false; ///< the gate's node is shutting down
};

/// One node's view of the backend servers and their load. Not thread-safe.
class router {
public:
    explicit router(router_options options);

    /// Replaces the candidates by those in `directory`; servers that remain keep their load.
    void update(const member_directory& directory);
    /// A server for `wanted`, or nothing if none is usable. `random` is uniformly distributed.
    std::optional<route_choice> choose(const route_request& wanted, std::uint64_t random,
                                       time_point now) const;
    /// The servers that `choose` may select for `wanted`, without those whose gate suspects them.
    std::vector<backend_server_id> usable_servers(const route_request& wanted,
                                                  time_point now) const;
    /// The number of candidates of each service.
    std::unordered_map<service_id, std::size_t> candidate_counts() const;
    /// Counts a request as in flight at the server.
    void started(backend_server_id server);
    /// The request ended; `load` is the share of busy slots that the gate reported, if any.
    void finished(backend_server_id server, std::optional<double> load, time_point now);
    /// The gate refused a request because it suspects the server to be unhealthy (`suspected`), or
    /// because no slot is free; `load` as for `finished`.
    void refused(backend_server_id server, bool suspected, std::optional<double> load,
                 time_point now);
    /// The link to a gate failed: its servers get no requests for `gate_pause`, unless
    /// `set_reachable` ends the pause earlier.
    void gate_failed(vm_id gate, time_point now);
    /// The gate shuts down and admits no more requests in this run (until its node restarts).
    void gate_closed(vm_id gate, incarnation run);
    /// Sets whether a gate answers probes on its link; its servers get no requests while it does
    /// not.
    void set_reachable(vm_id gate, bool reachable);

private:
    struct candidate {
        route_choice choice;
        failure_domain_id domain;
        std::uint32_t slots = 1;
        server_standing standing = server_standing::serving;
    };
    struct server_state {
        std::uint32_t in_flight = 0;
        double load = 0; // as last reported, at `load_time`
        time_point load_time{};
        time_point suspected_until{};
    };

    double score(const candidate& it, std::size_t bytes, time_point now) const;
    const candidate* pick_least_loaded(std::span<const candidate* const> candidates,
                                       const route_request& wanted, std::uint64_t random,
                                       time_point now) const;
    bool is_usable(const candidate& it, const route_request& wanted, time_point now) const;
    void limit_to_subset(std::vector<candidate>& candidates) const;

    router_options options_;
    std::unordered_map<service_id, std::vector<candidate>> services_;
    std::unordered_map<backend_server_id, server_state> servers_;
    std::unordered_map<vm_id, time_point> paused_gates_;
    std::unordered_set<vm_id> unreachable_gates_;
    std::unordered_map<vm_id, incarnation> closed_gates_;
};

} // namespace jasminebank
