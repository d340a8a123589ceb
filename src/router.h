#pragma once

// Load balancing: chooses the backend server for a request from a bounded subset of the service's
// servers by the power of two random choices, with a preference for the node's own failure domain.
// The gate of a backend server is the node that admits the requests to it.

#include "crossing_policy.h"
#include "member_directory.h"
#include "region_map.h"
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
    /// With these, a policy decides how far each request goes. Its penalties for other domains are
    /// those above.
    std::optional<crossing_options> crossing{};
    /// How far away another failure domain is; required with `crossing`.
    domain_scope scope_of{};
    /// A gate gets no requests for this long after its link failed.
    duration gate_pause = std::chrono::seconds(1);
    region_map regions{}; ///< of the failure domains
};

/// The properties of a request that restrict the choice of its server.
struct route_request {
    service_id service;
    bool idempotent = false;                       ///< may be sent to a server on trial
    std::span<const backend_server_id> excluded{}; ///< backend servers that were tried already
    /// Those of them that are excluded only while other servers may have a free slot.
    std::span<const backend_server_id> full{};
    std::size_t bytes = 0;                ///< expected size of body and response
    bool examines_all = false;            ///< compare all candidates, not a random sample
    duration service_time{};              ///< expected, without waiting for a slot
    duration target{};                    ///< what is left of the target latency; 0: no target
    duration time_left = duration::max(); ///< until the deadline
    const region_restriction* regions =
        nullptr; ///< only servers in these are considered; null: all
};

/// The chosen backend server and the gate that the request is sent to.
struct route_choice {
    backend_server_id server;
    vm_id gate;
    incarnation gate_run; ///< incarnation of the gate's process
    endpoint gate_link;
    bool is_leaving = false;  ///< the gate's node is shutting down
    crossing_reach reach{};   ///< how far away it is; set with `router_options::crossing` only
    bool needs_probe = false; ///< it is in another region, and its last report was full
    std::size_t expected_bytes = 0; ///< taken from the link to other regions, if it is there
};

/// One node's view of the backend servers and their load. Not thread-safe.
class router {
public:
    explicit router(router_options options);

    /// Replaces the candidates by those in `directory`; servers that remain keep their load.
    void update(const member_directory& directory);
    /// Sets the failure domains whose servers must get no requests; the next `update` applies it.
    void set_evacuated(std::vector<failure_domain_id> domains);
    /// True if all servers of the service are in evacuated failure domains.
    bool is_evacuated(service_id service) const { return evacuated_services_.contains(service); }
    /// Divides the link to other regions among the nodes of the own region; without
    /// `router_options::crossing` it does nothing.
    void set_region_nodes(const member_directory& directory, time_point now);
    /// A server for `wanted`, or nothing if none is usable. `random` is uniformly distributed.
    std::optional<route_choice> choose(const route_request& wanted, std::uint64_t random,
                                       time_point now);
    /// False if `choose` finds no server for `wanted`, whatever the random number.
    bool has_server(const route_request& wanted, time_point now) const;
    /// The servers that `choose` may select for `wanted`, without those whose gate suspects them.
    std::vector<backend_server_id> usable_servers(const route_request& wanted,
                                                  time_point now) const;
    /// The number of candidates of each service, without those for restricted requests only.
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
    /// The gate refused a request because its failure domain is evacuated, which this node may not
    /// know yet: its server gets no requests for `gate_pause`, nor do the other servers of the
    /// domain if another gate there has refused within that time.
    void gate_evacuated(vm_id gate, time_point now);
    /// The gate shuts down and admits no more requests in this run (until its node restarts).
    void gate_closed(vm_id gate, incarnation run);
    /// Sets whether a gate answers probes on its link; its servers get no requests while it does
    /// not.
    void set_reachable(vm_id gate, bool reachable);
    /// The decisions on how far requests go; null without `router_options::crossing`.
    crossing_policy* crossing() { return crossing_ ? &*crossing_ : nullptr; }

private:
    struct candidate {
        route_choice choice;
        failure_domain_id domain;
        std::uint32_t slots = 1;
        server_standing standing = server_standing::serving;
        bool only_restricted = false; ///< only for requests that are restricted to regions
    };
    struct server_state {
        std::uint32_t in_flight = 0;
        double load = 0; // as last reported, at `load_time`
        time_point load_time{};
        time_point suspected_until{};
    };

    struct reach_choice {
        const candidate* server = nullptr;
        bool is_offered = true; // false: it had no free slot for this request
    };

    double score(const candidate& it, std::size_t bytes, time_point now) const;
    double expected_wait(const candidate& it, time_point now) const;
    bool has_room(const candidate& it, time_point now) const;
    crossing_reach reach_of(failure_domain_id domain) const;
    reach_choice best_within(crossing_reach reach, const std::vector<candidate>& candidates,
                             const route_request& wanted, std::uint64_t random,
                             time_point now) const;
    std::optional<route_choice> choose_by_reach(const std::vector<candidate>& candidates,
                                                const route_request& wanted, std::uint64_t random,
                                                time_point now);
    const candidate* pick_least_loaded(std::span<const candidate* const> candidates,
                                       const route_request& wanted, std::uint64_t random,
                                       time_point now) const;
    bool is_usable(const candidate& it, const route_request& wanted, time_point now) const;
    bool is_available(const candidate& it, const route_request& wanted, time_point now) const;
    crossing_reach subset_order(const candidate& it) const;
    void limit_to_subset(std::vector<candidate>& candidates) const;
    void limit_in_each_region(std::vector<candidate>& candidates) const;
    bool is_evacuated(failure_domain_id domain) const;

    router_options options_;
    std::optional<crossing_policy> crossing_;
    std::unordered_map<service_id, std::vector<candidate>> services_;
    std::unordered_map<backend_server_id, server_state> servers_;
    std::unordered_map<vm_id, time_point> paused_gates_;
    std::unordered_set<vm_id> unreachable_gates_;
    std::unordered_map<vm_id, incarnation> closed_gates_;
    std::vector<failure_domain_id> evacuated_;
    std::unordered_set<service_id> evacuated_services_;
    // The last refusal of a gate because its domain is evacuated.
    struct evacuation_refusal {
        vm_id gate;
        time_point at{};
    };
    std::unordered_map<failure_domain_id, evacuation_refusal> evacuation_refusals_;
    std::unordered_map<failure_domain_id, time_point> paused_domains_;
};

} // namespace jasminebank
