#pragma once

// Holds a node's configuration when the operators store it as a single value. The newest value that
// could be decoded is in force and is sent to nodes that request it. The generation in force never
// decreases.

#include "config_account.h"
#include "config_fetch_plan.h"
#include "fleet_config.h"
#include "link_hub.h"
#include "types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// The field at fault in a configuration value, and what is allowed for it.
struct config_value_error {
    std::string field;
    std::string allowed;
};

using config_decoder = std::function<result<fleet_config, config_value_error>(std::string_view)>;

struct config_feed_options {
    config_decoder decode;
    /// Called with each new generation, never concurrently.
    std::function<void(std::shared_ptr<const fleet_config>, const config_origin&)> on_generation;
    std::shared_ptr<config_account> account = std::make_shared<config_account>();
};

/// Thread-safe.
class config_feed {
public:
    config_feed(config_feed_options options, link_hub& links);

    /// Decodes `text` and puts it into force unless its generation is old. True if it, or a
    /// configuration of the same generation, is now in force; false if it is invalid or older, as
    /// in a store that was restored from an older copy.
    bool apply(const std::string& text, const config_origin& origin);
    /// A peer told of a newer configuration. Fetches it now or later, see `config_fetch_plan`. Does
    /// not block.
    void hear(const config_news& it);
    /// Starts fetches that are due. To be called about every 50 ms.
    void tick();
    /// For how long this node has known of a configuration newer than the one in force; nothing if
    /// it knows of none.
    std::optional<duration> behind_for() const;
    /// Response to another node's request: the value in force if it is newer than the requester's,
    /// otherwise empty. Compressed if the requester accepts that.
    std::string answer(std::string_view request) const;

private:
    bool apply_text(const std::string& text, const config_origin& origin,
                    const std::string& deflated);
    bool apply_fetched(const std::string& answer, const config_origin& origin);
    bool is_in_force(std::uint64_t generation) const;
    void start_fetch(const config_fetch& it);
    void end_fetch(const config_fetch& it, time_point started,
                   const result<std::string, link_error>& answer);

    const config_feed_options options_;
    link_hub& links_;
    std::mutex apply_mutex_; ///< serialises apply(); locked before mutex_
    std::string
        ignored_text_; ///< the last invalid or older value, logged once; guarded by apply_mutex_
    mutable std::mutex mutex_;
    std::string text_;
    mutable std::string deflated_; ///< answer made of `text_`; empty until it is requested
    std::uint64_t generation_ = 0;
    config_fetch_plan plan_;
};

} // namespace jasminebank
