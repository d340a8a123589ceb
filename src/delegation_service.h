#pragma once

// Delegates this node's share of the rate limits to their holders over links, receives the shares
// that other nodes delegate, and publishes the terms of the shards that this node holds.

#include "control_relay.h"
#include "limit_delegation.h"
#include "limit_lease_service.h"
#include "member_directory.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jasminebank {

/// Path of the control message that delegates a share.
constexpr std::string_view delegation_path = "/control/delegation";

struct delegation_service_options {
    limit_delegation_options delegation;
    /// Called when the terms of a shard changed or were renewed, on the service's thread.
    std::function<void(const shard_terms&)> on_terms;
    /// Called when the nodes from which the tokens of a shard are requested changed, on the
    /// service's thread: first the holder of the own failure domain, vm 0 while none answers, then
    /// those of the others.
    std::function<void(std::uint32_t shard, const std::vector<vm_id>& holders)> on_holders;
    /// Called when a message to this node was not answered.
    std::function<void(vm_id)> on_no_response = [](vm_id) {};
};

/// Thread-safe.
class delegation_service {
public:
    delegation_service(delegation_service_options options, control_relay& relay);
    ~delegation_service();
    delegation_service(const delegation_service&) = delete;
    delegation_service& operator=(const delegation_service&) = delete;

    void start();
    void set_directory(const member_directory& directory);
    /// Sets the number of nodes known by their entries in the store.
    void set_known_node_count(std::size_t count);
    /// Sets whether a node answers on its link.
    void set_reachable(vm_id vm, bool reachable);
    /// Handles another node's delegation and returns the stamp for its next one.
    std::string answer(const control_request& request);
    void stop();

private:
    void run();
    void send(const outgoing_delegation& it);
    void publish_terms(time_point now);
    void publish_holders(time_point now);
    void log_unresponsive(std::vector<vm_id> unresponsive);

    const delegation_service_options options_;
    control_relay& relay_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    limit_delegation delegation_;
    std::vector<std::uint64_t> epochs_;                 ///< by group; 0: not held. Thread only
    std::uint64_t highest_epoch_ = 0;                   ///< used so far; thread only
    std::vector<std::vector<vm_id>> published_holders_; ///< by group; thread only
    std::vector<vm_id> logged_unresponsive_;            ///< last logged state; thread only
    bool is_due_ = false; ///< a message is to be sent before the next tick
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
