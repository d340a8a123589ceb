#pragma once

// Chooses the backend server for a request: among a bounded subset of its service, the node's own
// failure domain first, the less loaded of two picked at random.

#include "member_directory.h"
#include "types.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace jasminebank {

struct router_options {
    vm_id self;
    failure_domain_id domain;
    std::size_t subset = 24; ///< backend servers of one service that this node uses
    duration gate_pause = std::chrono::seconds(1); ///< a gate that failed is left alone this long
};

/// Where a request goes.
struct route_choice {
    backend_server_id server;
    vm_id gate;
    incarnation gate_run;
    endpoint gate_link;
};

/// How a backend server may be used, as its ejection record says.
enum class server_standing : std::uint8_t {
    full,    ///< in rotation
    demoted, ///< in rotation, picked last
    ejected, ///< out of rotation
};

/// One node's view of the backend servers. Not thread-safe.
class router {
public:
    explicit router(router_options options);

    /// Takes over who stands where. Loads of servers that stay are kept.
    void update(const member_directory& directory);
    void set_standing(backend_server_id server, server_standing standing);
    server_standing standing(backend_server_id server) const;

    /// A server of `service` that is not in `tried`, or nothing. `random` is any random word.
    std::optional<route_choice> choose(service_id service, std::span<const backend_server_id> tried,
                                       std::uint64_t random, time_point now) const;
    /// Counts a request sent to a server.
    void started(backend_server_id server);
    /// The request ended; `load` is the share of busy slots that the answer told, 0 if it told
    /// none.
    void finished(backend_server_id server, double load);
    /// The link to a gate failed: its servers are left alone for a while.
    void gate_failed(vm_id gate, time_point now);

private:
    struct candidate {
        route_choice choice;
        failure_domain_id domain;
        std::uint32_t slots = 1;
    };
    struct server_state {
        std::uint32_t in_flight = 0;
        double load = 0;
        server_standing standing = server_standing::full;
    };

    double score(const candidate& it) const;
    bool is_usable(const candidate& it, std::span<const backend_server_id> tried,
                   time_point now) const;
    void keep_subset(std::vector<candidate>& candidates) const;

    router_options options_;
    std::unordered_map<service_id, std::vector<candidate>> services_;
    std::unordered_map<backend_server_id, server_state> servers_;
    std::unordered_map<vm_id, time_point> paused_gates_;
};

} // namespace jasminebank
