#pragma once

// Delivers control messages to a node that is not directly reachable, through a relay: a third node
// that both can reach. Only control messages are relayed, not the requests of callers.

#include "link_hub.h"
#include "member_directory.h"
#include "types.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace jasminebank {

/// Path of a message from its sender to the relay.
constexpr std::string_view relay_path = "/control/relay";
/// Path of a message from the relay to its destination.
constexpr std::string_view relayed_path = "/control/relayed";

/// Thread-safe.
class control_relay {
public:
    control_relay(link_identity self, link_hub& links);

    void set_directory(const member_directory& directory);
    /// Sets whether this node reaches the other directly.
    void set_reachable(vm_id vm, bool reachable);
    /// A message to this node timed out: the next messages to it are relayed for a while, through
    /// another relay if this one was relayed.
    void suspect(vm_id vm);
    /// As `link_hub::call`, to a member. False also if `to` is not a member.
    [[nodiscard]] bool call(vm_id to, std::string path, std::string payload, duration timeout,
                            control_callback done);
    /// As a relay: forwards another node's message to its destination. Always returns nothing; the
    /// answer is deferred until the destination's arrives.
    std::optional<std::string> forward(const control_request& request);
    /// Decodes a relayed message to the request that its sender would have sent directly. Nothing
    /// if it is malformed or itself a message to be relayed.
    static std::optional<control_request> unwrap(const control_request& request);

private:
    struct next_hop {
        vm_id via; ///< the relay, or the destination itself
        endpoint link;
    };
    struct member {
        endpoint link;
        failure_domain_id domain;
    };

    bool is_direct(vm_id to, time_point now) const;
    std::optional<next_hop> next_hop_to(vm_id to);
    void forget_relay(vm_id to, vm_id via);

    const link_identity self_;
    link_hub& links_;
    std::mutex mutex_;
    failure_domain_id domain_;
    std::map<vm_id, member> members_;
    std::map<vm_id, vm_id> relays_; ///< in use, by destination: links to them are already open
    std::set<vm_id> unreachable_;
    std::map<vm_id, time_point> suspected_until_; ///< until when messages to it are relayed
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace jasminebank
