#pragma once

// Chooses the backend server for a request: among a bounded subset of its service, the node's own
// failure domain first, the less loaded of two picked at random.

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
    std::size_t subset = 24;                ///< backend servers of one service that this node uses
    double other_domain_penalty = 1.0;      ///< of a hop to another failure domain, in full servers
    double other_domain_penalty_per_mb = 0; ///< in addition, for what the hop carries
    bool own_domain_first = true;           ///< others only when the own domain's servers are full
    double leaving_penalty = 1.0;           ///< of a node that is being stopped, in full servers
    duration load_decay_time = std::chrono::milliseconds(500);    ///< what a gate told fades in
    duration suspicion_duration = std::chrono::milliseconds(300); ///< after a gate's refusal for it
    std::size_t draws = 2;                         ///< servers drawn at random for each choice
    duration gate_pause = std::chrono::seconds(1); ///< a gate that failed is left alone this long
};

/// What a request needs.
struct route_request {
    service_id service;
    bool idempotent = false; ///< may serve as a trial request
    std::span<const backend_server_id>
        excluded{};            ///< backend servers that are not to be asked again
    std::size_t bytes = 0;     ///< that its body and its answer are expected to have
    bool examines_all = false; ///< look at all of them rather than at a few
};

/// Where a request goes.
struct route_choice {
    backend_server_id server;
    vm_id gate;
    incarnation gate_run;
    endpoint gate_link;
    bool is_leaving = false; ///< the gate's node is being stopped
};

/// One node's view of the backend servers. Not thread-safe.
class router {
public:
    explicit router(router_options options);

    /// Takes over who stands where. Loads of servers that stay are kept.
    void update(const member_directory& directory);
    /// A server for `wanted`, or nothing. `random` is any random word.
    std::optional<route_choice> choose(const route_request& wanted, std::uint64_t random,
                                       time_point now) const;
    /// How many servers of each service this node may choose from.
    std::unordered_map<service_id, std::size_t> candidate_counts() const;
    /// Counts a request sent to a server.
    void started(backend_server_id server);
    /// The request ended; `load` is the share of busy slots that the gate told, if it told one.
    void finished(backend_server_id server, std::optional<double> load, time_point now);
    /// A gate refused a request because it suspects the server, or has no free slot; `load` as
    /// above.
    void refused(backend_server_id server, bool suspected, std::optional<double> load,
                 time_point now);
    /// The link to a gate failed: its servers are left alone for a while, and while it stays
    /// unreachable.
    void gate_failed(vm_id gate, time_point now);
    /// A gate that is being stopped takes no more requests in this run.
    void gate_closed(vm_id gate, incarnation run);
    /// Whether a gate answers on its link, as a probe has found.
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
        double load = 0; // as told at `told`
        time_point load_time{};
        time_point suspected_until{};
    };

    double score(const candidate& it, std::size_t bytes, time_point now) const;
    const candidate* pick_least_loaded(std::span<const candidate* const> from,
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
