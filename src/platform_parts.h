#pragma once

// What a platform brings to a node: its names in HTTP, its form of the configuration, how backend
// servers announce themselves, and its store. The node knows no platform beyond this.

#include "announcement.h"
#include "config_feed.h"
#include "header_names.h"
#include "store_session.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

namespace jasminebank {

/// Where announcements go; both are thread-safe and quick.
struct announcement_handlers {
    /// Takes an announcement; false when it is refused and its sender should ask elsewhere.
    std::function<bool(const announcement&)> announce;
    /// The backend server of this name is leaving; false when it is not known here.
    std::function<bool(const std::string&)> withdraw;
};

struct platform_parts {
    header_names names{};
    std::string config_key{};
    config_decoder decode_config{};
    /// Adds the platform's calls to a server.
    std::function<void(httplib::Server&, const announcement_handlers&)> add_announcements{};
    std::function<std::unique_ptr<store_session_base>(store_session_options, const endpoint& store)>
        open_store{};
};

} // namespace jasminebank
