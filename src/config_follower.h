#pragma once

// Collects the newest configuration for a node: from the store when the node is one of those that
// watch it, from other nodes otherwise. One thread; the decisions are the keeper's.

#include "config_keeper.h"
#include "link_hub.h"
#include "store_client.h"
#include "store_watch.h"
#include "types.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace jasminebank {

/// Path of the control message that asks for a configuration.
constexpr std::string_view config_path = "/control/config";

struct config_follower_options {
    std::vector<endpoint> store;
    /// How often a watching node reads the head although no change was told.
    duration reread_interval = std::chrono::seconds(1);
    /// Gets each new generation, on the follower's thread.
    std::function<void(std::shared_ptr<const config_generation>)> on_generation;
    /// The store was read at this time, and nothing newer than what is in force was there.
    std::function<void(time_point)> on_store_current;
};

class config_follower {
public:
    config_follower(config_follower_options options, link_hub& links);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// Whether to watch the store.
    void watch_store(bool watching);
    /// Fetches what is missing from the node at `peer`. Does not block.
    void fetch_from(const endpoint& peer);
    /// Answers another node's request.
    std::string answer(std::string_view request) const;

private:
    struct received_response {
        endpoint peer;
        config_response response;
    };

    void run();
    bool read_store();
    void apply_response(const received_response& it);
    void activate_collected();
    void send_request(const endpoint& peer);
    void report_head_event(bool head_changed);

    const config_follower_options options_;
    link_hub& links_;
    store_client store_;
    mutable std::mutex keeper_mutex_;
    config_keeper keeper_;
    std::mutex mutex_; ///< guards those below
    std::condition_variable changed_;
    bool watching_ = false;
    bool head_changed_ = false;
    bool fetching_ = false;
    bool stopping_ = false;
    std::deque<received_response> responses_;
    std::unique_ptr<store_watch> watch_; // of the thread alone
    std::thread thread_;
};

} // namespace jasminebank
