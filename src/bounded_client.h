#pragma once

// A client based on cpp-httplib that ends each call at a deadline, however slowly the answer
// arrives, limits the size of an answer's head, and checks that the answer is whole.

#include "endpoint.h"
#include "socket_stream.h"
#include "types.h"

#include <httplib.h>

#include <cstddef>
#include <functional>

namespace jasminebank {

/// Limit of the status line and fields of an answer, together with interim (1xx) answers before it.
/// The same as the limit of a caller's request head.
constexpr std::size_t max_answer_head_bytes = 64UL * 1024;
/// The library matches the status line recursively, one level per byte. The 256 KiB stack of a
/// worker thread suffices for over a thousand bytes.
constexpr std::size_t max_status_line_bytes = 512;

/// One connection to a server, opened on first use and kept alive. Runs one call at a time; `stop`
/// may be called from any thread.
class bounded_client : public httplib::ClientImpl {
public:
    explicit bounded_client(const endpoint& server);

    /// Sends a request; fails unless a whole, well-formed answer is received by `deadline`.
    /// Connecting has a timeout of its own.
    httplib::Result send_until(httplib::Request request, time_point deadline);
    /// Replaces the deadline of the call that is running. Only for its receiver of the body.
    void set_deadline(time_point deadline) { current_stream_->set_deadline(deadline); }
    /// Whether a line or the head of the last answer was longer than its limit.
    bool exceeded_size_limit() const { return size_limit_exceeded_; }
    /// Whether the last answer could not be parsed.
    bool received_malformed() const { return received_malformed_; }
    /// Whether bytes after the end of the last answer were read along with it. They are lost, so
    /// the next bytes would not begin with an answer: the connection must not be reused.
    bool has_discarded_bytes() const { return has_discarded_bytes_; }
    /// Whether those bytes do not begin an answer. Then the last answer may have been truncated,
    /// and its end may be the beginning of what was sent next.
    bool has_ambiguous_end() const { return has_ambiguous_end_; }
    /// Whether the connection has received bytes that belong to no request: it must not be reused.
    bool has_unread_bytes() const;

private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream& strm)> callback) override;

    time_point deadline_ = time_point::max();
    message_kind answer_kind_ = message_kind::answer; ///< of the current call
    bool has_ended_with_head_ = false;                ///< the library has not read on
    socket_stream* current_stream_ = nullptr;
    bool is_whole_ = false; ///< the last answer
    bool received_malformed_ = false;
    bool size_limit_exceeded_ = false;
    bool has_discarded_bytes_ = false;
    bool has_ambiguous_end_ = false;
};

} // namespace jasminebank
