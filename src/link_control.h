#pragma once

// Control messages between nodes: one short request payload and one short response payload, sent
// and received without blocking calls.

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

/// Paths of control messages start with this prefix.
constexpr std::string_view control_prefix = "/control/";

/// Called once, on the hub's thread, with the response or the error. Must not block.
using control_callback = std::function<void(result<std::string, link_error>)>;

/// Handle for answering one control message later, once and from any thread. If the handle is
/// destroyed without an answer, the stream is reset.
class control_reply {
public:
    using sender = std::function<void(std::optional<std::string>)>;

    /// `send` runs on the hub's thread; an empty payload (`std::nullopt`) resets the stream.
    control_reply(std::shared_ptr<link_queue> queue, sender send);
    ~control_reply();
    control_reply(const control_reply&) = delete;
    control_reply& operator=(const control_reply&) = delete;

    /// False when the message has already been answered or the hub's queue is full or closed.
    bool answer(std::string payload);

private:
    bool send(std::optional<std::string> payload);

    std::shared_ptr<link_queue> queue_;
    std::mutex mutex_;
    sender send_;
};

/// One received control message.
struct control_request {
    link_identity peer; ///< authenticated with the fleet key
    std::string path;
    std::string payload;
    /// Returns a handle for answering later. May be called only inside the handler, which must
    /// then return `std::nullopt`.
    std::function<std::shared_ptr<control_reply>()> defer;
};

/// Returns the response, or `std::nullopt`. In the second case the handle from `defer` sends the
/// response; if `defer` was not called, the stream is reset as refused, which means to the peer
/// that the message had no effect. Runs on the hub's thread; must not block.
using control_handler = std::function<std::optional<std::string>(const control_request&)>;

/// A control message to send.
struct control_call {
    std::string path = {};
    std::string payload = {};
    time_point deadline = {};
    control_callback done = {};
};

} // namespace jasminebank
