#pragma once

// Control messages between nodes: a short payload and a short answer, without blocking calls.

#include "link_message.h"
#include "link_queue.h"
#include "result.h"
#include "types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jasminebank {

/// Requests whose path starts so are control messages.
constexpr std::string_view control_prefix = "/control/";

/// Gets the answer, once, on the hub's thread. Must not block.
using control_callback = std::function<void(result<std::string, link_error>)>;

/// The right to answer one control message, once, from any thread. Dropped without an answer, the
/// peer gets a reset.
class control_reply {
public:
    using sender = std::function<void(std::optional<std::string>)>;

    /// `send` runs on the hub's thread; nothing means a reset.
    control_reply(std::shared_ptr<link_queue> queue, sender send);
    ~control_reply();
    control_reply(const control_reply&) = delete;
    control_reply& operator=(const control_reply&) = delete;

    /// False when it has been answered before or the hub takes nothing more.
    bool answer(std::string payload);

private:
    bool send(std::optional<std::string> payload);

    std::shared_ptr<link_queue> queue_;
    std::mutex mutex_;
    sender send_;
};

/// One control message as its handler sees it.
struct control_request {
    link_identity peer; ///< proved by the fleet key
    std::string path;
    std::string payload;
    /// Makes a handle to answer later. Only inside the handler, which then returns nothing.
    std::function<std::shared_ptr<control_reply>()> defer;
};

/// Answers at once with a text, or returns nothing: then the handle from `defer` answers, or, if
/// `defer` was not called, the peer is told that the message was refused and not acted on. Runs on
/// the hub's thread; must not block.
using control_handler = std::function<std::optional<std::string>(const control_request&)>;

/// A control message on its way out.
struct control_call {
    std::string path = {};
    std::string payload = {};
    time_point deadline = {};
    control_callback done = {};
};

} // namespace jasminebank
