#pragma once

// A request stream between two nodes, for worker threads: blocking calls with deadlines.

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

/// One request and its response. The caller, which opened the stream, uses `write`, `finish`,
/// `read_head` and `read`; the accepting side uses `head`, `read`, `respond`, `write` and `finish`.
///
/// One thread may write while another reads. Destroying the last handle before both directions are
/// complete resets the stream: with `cancelled` by the caller, with `internal_error` by the
/// accepting side. Every deadline is absolute, on the boot-time clock. A deadline that passes
/// before the request has been submitted to its link withdraws the request; the error is
/// `not_sent`.
class link_stream {
public:
    explicit link_stream(std::shared_ptr<stream_state> state);
    ~link_stream();
    link_stream(const link_stream&) = delete;
    link_stream& operator=(const link_stream&) = delete;

    /// Queues all of `bytes` for sending; blocks while the stream's buffer is full.
    result<ok, link_error> write(std::span<const char> bytes, time_point deadline);
    /// Queues as many bytes as the buffer has room for; 0 when it had no room until `until`. Unlike
    /// `write`, it does not withdraw the request then.
    result<std::size_t, link_error> write_some(std::span<const char> bytes, time_point until);
    /// Deleted because a string literal would be sent with its terminating zero byte; pass a
    /// std::string_view.
    result<ok, link_error> write(const char* text, time_point deadline) = delete;
    /// Ends this side's body.
    void finish();
    /// Ends both directions immediately. True when it is certain that the request does not run,
    /// because it has not been submitted to its link. `refused` is replaced by `internal_error` on
    /// the caller's side and after `respond`.
    bool reset(reset_reason reason);

    /// Caller only: waits for the head of the response. May be called again.
    result<message_head, link_error> read_head(time_point deadline);
    /// Waits until `until`; true once `read_head` would return without blocking.
    bool has_head(time_point until);
    /// Withdraws a request that has not been submitted to its link, so that it cannot run. False
    /// when it has already been submitted.
    bool withdraw_unsent();
    /// Returns at least one received byte, or 0 at the end of a complete body. If the body ends
    /// early, returns the bytes received before that, then the error.
    result<std::size_t, link_error> read(std::span<char> buf, time_point deadline);

    /// The head of the request; on either side.
    const message_head& head() const;
    /// True when the request was opened without a body.
    bool has_no_body() const;
    /// Accepting side only: sends the head of the response, once; if `ends` is true, there is no
    /// body. A head that HTTP/2 cannot carry is an error, and nothing is sent.
    result<ok, link_error> respond(message_head head, bool ends);

    /// True when the peer reset the stream or the link broke before the response was complete.
    bool is_cancelled() const;
    /// Runs `it` once when the stream is cancelled: on the hub's thread, or within this call if
    /// that has already happened. `it` must not block, and must own what it uses, because it may
    /// still be running while the handle is destroyed. An empty function removes an earlier one.
    void on_cancel(std::function<void()> it);

    /// The peer's identity; empty on the caller's side until the request has been submitted.
    link_identity peer() const;

private:
    template <class Done>
    bool wait(std::unique_lock<std::mutex>& lock, time_point deadline, Done done);
    link_error deadline_error();

    std::shared_ptr<stream_state> state_;
};

} // namespace jasminebank
