#pragma once

// cpp-httplib's client whose calls end at a deadline, however slowly their bytes come, and whose
// answers have a bounded head.

#include "endpoint.h"
#include "socket_stream.h"
#include "types.h"

#include <httplib.h>

#include <cstddef>
#include <functional>

namespace jasminebank {

/// Status line and fields of an answer together, provisional answers included. As much as callers
/// may send.
constexpr std::size_t max_answer_head_bytes = 64UL * 1024;
/// The library matches the status line by recursion; a worker's stack of 256 KiB holds over a
/// thousand bytes of it.
constexpr std::size_t max_status_line_bytes = 512;

/// One connection to a server, made on first use and kept. One call at a time; `stop` may come from
/// any thread.
class bounded_client : public httplib::ClientImpl {
public:
    explicit bounded_client(const endpoint& server);

    /// Sends a request and fails unless its whole answer comes by `deadline`. Connecting has its
    /// own timeout.
    httplib::Result send_until(httplib::Request request, time_point deadline);
    /// Whether a line or the head of the last answer was too long.
    bool exceeded_size_limit() const { return size_limit_exceeded_; }
    /// Whether bytes came together with the end of the last answer and beyond it. They are gone,
    /// and what follows them is no answer: the connection cannot be used again.
    bool has_discarded_bytes() const { return has_discarded_bytes_; }
    /// Whether the connection holds bytes that nobody asked for: it cannot be used again.
    bool has_unread_bytes() const;

private:
    bool process_socket(const Socket& socket,
                        std::function<bool(httplib::Stream& strm)> callback) override;

    time_point deadline_ = time_point::max();
    socket_stream* current_stream_ = nullptr;
    bool size_limit_exceeded_ = false;
    bool has_discarded_bytes_ = false;
};

} // namespace jasminebank
