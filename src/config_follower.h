#pragma once

// Keeps a node's configuration up to date: nodes that are chosen to watch the store read it from
// there, the others fetch it from their peers. One thread does the work; config_keeper decides
// which generation is in force.

#include "config_account.h"
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

/// Path of the control message that requests a configuration.
constexpr std::string_view config_path = "/control/config";

struct config_follower_options {
    std::vector<endpoint> store;
    /// How often a watching node reads the head when the watch reports no change.
    duration reread_interval = std::chrono::seconds(1);
    /// Called with each new generation, on the follower's thread.
    std::function<void(std::shared_ptr<const config_generation>)> on_generation;
    /// Called when the generation in force equals the one in the store, with the start of the read.
    std::function<void(time_point)> on_store_current;
    std::shared_ptr<config_account> account = std::make_shared<config_account>();
};

class config_follower {
public:
    config_follower(config_follower_options options, link_hub& links);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// Starts or stops watching the store; no effect if no store is configured.
    void watch_store(bool watching);
    /// Requests the documents of `generation` or a newer one from the node at `peer`, unless a
    /// request is pending. Does not block.
    void fetch_from(const endpoint& peer, std::uint64_t generation);
    /// Response to another node's configuration request.
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
    void send_request(const endpoint& peer, std::uint64_t generation);
    void report_head_event(bool head_changed);

    const config_follower_options options_;
    link_hub& links_;
    store_client store_;
    mutable std::mutex keeper_mutex_;
    config_keeper keeper_;
    std::mutex mutex_; ///< guards the members below, except watch_ and thread_
    std::condition_variable changed_;
    bool watching_ = false;
    bool head_changed_ = false;
    bool fetching_ = false;
    bool stopping_ = false;
    std::deque<received_response> responses_;
    std::unique_ptr<store_watch> watch_; ///< used only by thread_
    std::thread thread_;
};

} // namespace jasminebank
