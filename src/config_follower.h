#pragma once

// Keeps a node at the newest generation that it can learn of. A generation never goes back,
// whatever a stale read says; a configuration that does not parse leaves the old one in force.

#include "config_store.h"
#include "store_client.h"
#include "store_watch.h"
#include "types.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace jasminebank {

/// The configuration of one generation with the documents that it was built from.
struct config_generation {
    config_head head;
    config_texts texts;
    std::shared_ptr<const fleet_config> config;
};

struct config_follower_options {
    std::vector<endpoint> store;
    /// How often the head is read although no change was told.
    duration reread_interval = std::chrono::seconds(30);
    /// Gets each new generation, on the follower's thread.
    std::function<void(std::shared_ptr<const config_generation>)> on_generation;
};

class config_follower {
public:
    explicit config_follower(config_follower_options options);
    ~config_follower();
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// When the store was last heard.
    time_point store_heard() const;

private:
    void run();
    bool follow();
    bool fetch_documents(const config_head& head, config_texts& texts);
    void wake(bool heard);

    const config_follower_options options_;
    store_client store_;
    std::shared_ptr<const config_generation> current_; // of the thread alone
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool head_changed_ = true;
    bool stopping_ = false;
    time_point store_heard_{};
    std::unique_ptr<store_watch> watch_;
    std::thread thread_;
};

} // namespace jasminebank
