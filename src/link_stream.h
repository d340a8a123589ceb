#pragma once

// A request stream between two nodes, used by worker threads with blocking calls and deadlines.

#include "link_message.h"
#include "result.h"
#include "types.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>

namespace jasminebank {

class stream_state;

/// One request and its answer. The side that opened it calls `write`, `finish`, `read_head`,
/// `read`; the side that accepted it calls `head`, `read`, `respond`, `write`, `finish`.
///
/// One thread may write while another reads. Dropping the last handle before both directions are
/// whole resets the stream: `cancelled` by the caller, `internal_error` by the accepting side.
/// Every deadline is absolute, on the boot-time clock. A deadline that passes while the request
/// still waits for its link withdraws the request, and the error is `not_sent`.
class link_stream {
public:
    explicit link_stream(std::shared_ptr<stream_state> state);
    ~link_stream();
    link_stream(const link_stream&) = delete;
    link_stream& operator=(const link_stream&) = delete;

    /// Queues all of `bytes` for the peer, waiting while the stream's buffer is full.
    result<ok, link_error> write(std::span<const char> bytes, time_point deadline);
    /// Writes as much as there is room for; 0 when there was none until `until`. Withdraws nothing.
    result<std::size_t, link_error> write_some(std::span<const char> bytes, time_point until);
    /// A literal would be sent with its final zero byte; pass a std::string_view.
    result<ok, link_error> write(const char* text, time_point deadline) = delete;
    /// Ends this side's body.
    void finish();
    /// Ends the stream at once, both ways. True when the request was still waiting for its link,
    /// and so is known not to run. `refused` after `respond` becomes `internal_error`.
    bool reset(reset_reason reason);

    /// The head of the answer; for the caller's side. May be called again.
    result<message_head, link_error> read_head(time_point deadline);
    /// Whether `read_head` would return at once; waits until `until` for that.
    bool has_head(time_point until);
    /// Takes back a request that still waits for its link, so that it is known not to run. False
    /// when it has been handed over.
    bool withdraw_unsent();
    /// Takes received bytes, at least one; 0 is the end of a whole body. An early end is an error
    /// after the bytes that came before it.
    result<std::size_t, link_error> read(std::span<char> buf, time_point deadline);

    /// The head of the request; on either side.
    const message_head& head() const;
    /// True when the request was opened without a body; for the accepting side.
    bool has_no_body() const;
    /// Sends the head of the answer, once; with `ends`, the whole answer. An answer that a link
    /// cannot carry is an error, and nothing is sent.
    result<ok, link_error> respond(message_head head, bool ends);

    /// True when the peer reset the stream or the link broke before the answer was whole.
    bool is_cancelled() const;
    /// Runs `it` once when that happens, on the hub's thread (or here, if it has happened). It must
    /// not block, and must own what it touches: it may still run while the handle goes. An empty
    /// function takes an earlier one back.
    void on_cancel(std::function<void()> it);

    /// Who speaks at the other end. The caller's side knows once the link stands.
    link_identity peer() const;

private:
    template <class Done>
    bool wait(std::unique_lock<std::mutex>& lock, time_point deadline, Done done);
    link_error deadline_error();

    std::shared_ptr<stream_state> state_;
};

} // namespace jasminebank
