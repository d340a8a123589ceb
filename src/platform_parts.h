#pragma once

// Interface between a node and the platform it runs on: HTTP field names, configuration format,
// announcements of backend servers, and access to the store. The node depends on a platform only
// through this interface.

#include "announcement.h"
#include "config_feed.h"
#include "header_names.h"
#include "store_session.h"
#include "withdrawal_list.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>

namespace jasminebank {

/// The node's handlers of announcements. Both are thread-safe. They wait a moment for the store
/// when a backend server starts to leave.
struct announcement_handlers {
    /// Registers a backend server; false if the announcement is rejected and its sender should try
    /// another node.
    std::function<bool(const announcement&)> announce;
    /// Starts draining the backend server of this name. The second argument is the server's run, 0
    /// if it is not told: then the registered one. False if no run is known.
    std::function<bool(const std::string&, const withdrawing_run&)> withdraw;
};

struct platform_parts {
    header_names names{};
    std::string config_key{};
    std::string evacuation_prefix{}; ///< see `store_session_options`
    std::string operator_prefix{};
    config_decoder decode_config{};
    /// Adds the platform's announcement endpoints to a server.
    std::function<void(httplib::Server&, const announcement_handlers&)> add_announcements{};
    std::function<std::unique_ptr<store_session_base>(store_session_options, const endpoint& store)>
        open_store{};
};

} // namespace jasminebank
