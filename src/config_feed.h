#pragma once

// The configuration of a node whose operators write it to the store as one value: the newest one
// that could be read is in force, and is passed on to nodes that ask. A generation never goes back.

#include "fleet_config.h"
#include "link_hub.h"
#include "types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace jasminebank {

/// What is wrong in a configuration that came as one value.
struct config_value_error {
    std::string field;
    std::string allowed;
};

using config_decoder = std::function<result<fleet_config, config_value_error>(std::string_view)>;

struct config_feed_options {
    config_decoder decode;
    /// Gets each new generation; one call at a time.
    std::function<void(std::shared_ptr<const fleet_config>)> on_generation;
};

/// Thread-safe.
class config_feed {
public:
    config_feed(config_feed_options options, link_hub& links);

    /// Takes a value over. True when it is in force, or an equal or newer one is.
    bool apply(const std::string& text);
    /// Asks the node at `peer` for a newer one. Does not block.
    void fetch_from(const endpoint& peer);
    /// Answers another node's request.
    std::string answer(std::string_view request) const;

private:
    const config_feed_options options_;
    link_hub& links_;
    std::mutex apply_mutex_; ///< one value at a time; taken before mutex_
    mutable std::mutex mutex_;
    std::string text_;
    std::uint64_t generation_ = 0;
    bool fetching_ = false;
};

} // namespace jasminebank
