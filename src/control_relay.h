#pragma once

// Control messages that reach their node also while the direct way to it is cut: through a third
// node that both can reach. Only messages go this way, no requests of callers.

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

/// Path of a message on its way to the third node.
constexpr std::string_view relay_path = "/control/relay";
/// Path of a message on its way from there.
constexpr std::string_view relayed_path = "/control/relayed";

/// Thread-safe.
class control_relay {
public:
    control_relay(link_identity self, link_hub& links);

    void set_directory(const member_directory& directory);
    /// Whether this node reaches the other directly.
    void set_reachable(vm_id vm, bool reachable);
    /// A message to this node had no answer in time: for a while the next ones go another way.
    void suspect(vm_id vm);
    /// As `link_hub::call`, to a member.
    [[nodiscard]] bool call(vm_id to, std::string path, std::string payload, duration timeout,
                            control_callback done);
    /// Passes another node's message on; the answer comes later.
    std::optional<std::string> forward(const control_request& request);
    /// The message inside one that came through a third node, as if its sender had sent it.
    static std::optional<control_request> unwrap(const control_request& request);

private:
    struct next_hop {
        vm_id via; ///< the third node, or the addressee itself
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
    std::map<vm_id, vm_id> relays_; ///< third nodes in use, by addressee: their links stand already
    std::set<vm_id> unreachable_;
    std::map<vm_id, time_point> suspected_until_; ///< until when no message goes the direct way
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace jasminebank
