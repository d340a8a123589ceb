#pragma once

// Delegated limits at work: lends this node's share over links, takes shares from others, and tells
// the limits of this node which shards it holds.

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

/// Path of the control message that lends a share.
constexpr std::string_view delegation_path = "/control/delegation";

struct delegation_service_options {
    limit_delegation_options delegation;
    /// The terms of a shard changed or were renewed. Runs on the service's thread.
    std::function<void(const shard_terms&)> on_terms;
    /// The shards that this node holds changed. Runs on the service's thread.
    std::function<void(std::vector<held_shard>)> on_held;
    /// A message to this node had no answer.
    std::function<void(vm_id)> on_no_response = [](vm_id) {};
};

/// Thread-safe.
class delegation_service {
public:
    delegation_service(delegation_service_options options, control_relay& relay);
    ~delegation_service();
    delegation_service(const delegation_service&) = delete;
    delegation_service& operator=(const delegation_service&) = delete;

    /// Begins to lend and to hold. Not before members can be told of what is held.
    void start();
    void set_directory(const member_directory& directory);
    /// Nodes that are known by their entries in the store.
    void set_known_node_count(std::size_t count);
    /// Answers another node's message.
    std::string answer(const control_request& request);
    void stop();

private:
    void run();
    void send(const outgoing_delegation& it);
    void publish_terms(time_point now);
    void log_unresponsive(std::vector<vm_id> unresponsive);

    const delegation_service_options options_;
    control_relay& relay_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    limit_delegation delegation_;
    std::vector<std::uint64_t> epochs_;      ///< by group; 0: not held. Of the thread alone
    std::uint64_t highest_epoch_ = 0;        ///< that any member announces
    std::vector<vm_id> logged_unresponsive_; ///< as logged. Of the thread alone
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
