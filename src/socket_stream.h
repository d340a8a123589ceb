#pragma once

// The stream that cpp-httplib reads from and writes to, for servers and clients. The library's own
// timeouts apply to single reads and it does not limit the length of lines. So a peer that sends
// single bytes slowly, or an endless line, could block a thread forever and exhaust memory.

#include "message_framing.h"
#include "types.h"

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace jasminebank {

/// Limit of a line, such as a header field or a chunk size. The library ignores longer fields
/// anyway.
constexpr std::size_t max_line_bytes = 8UL * 1024;

/// Does not own the socket. Once a size limit is exceeded or a message is malformed, all reads
/// fail.
class socket_stream : public httplib::Stream {
public:
    /// Each read or write waits for at most `timeout`, and not beyond `deadline`.
    socket_stream(socket_t sock, duration timeout, time_point deadline = time_point::max());

    /// Replaces the deadline of the stream.
    void set_deadline(time_point it) { deadline_ = it; }
    /// Sets a deadline for reads alone; the stream's deadline continues to apply to both.
    void set_read_deadline(time_point it) { read_deadline_ = it; }
    /// Begins a message. Its head must end by `end` and have at most `bytes` in total and
    /// `first_line_bytes` in its first line. The limits of the head are lifted by `end_head`.
    void begin_message(message_kind kind, time_point end, std::size_t bytes,
                       std::size_t first_line_bytes);
    void end_head() { in_head_ = false; }
    /// The part of the message that was read so far.
    const message_framing& framing() const { return framing_; }
    /// Whether bytes were received that have not been read.
    bool has_buffered() const { return begin_ < end_; }
    /// The bytes that were received and have not been read.
    std::string_view buffered() const { return {buf_.data() + begin_, end_ - begin_}; }
    /// Whether a read failed because a line or a head was too long.
    bool exceeded_size_limit() const { return size_limit_exceeded_; }

    bool is_readable() const override;
    bool is_writable() const override;
    socket_t socket() const override { return sock_; }
    ssize_t read(char* ptr, std::size_t size) override;
    ssize_t write(const char* ptr, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;

private:
    duration time_until(time_point end) const;
    duration read_time_left() const;
    bool has_peer_stopped_reading() const;
    bool count_against_limits(std::size_t requested, std::size_t n, bool ends_line);

    socket_t sock_;
    duration timeout_;
    time_point deadline_;
    time_point read_deadline_ = time_point::max();
    std::array<char, 4096> buf_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    message_framing framing_{message_kind::answer};
    bool in_head_ = false;
    time_point head_end_;
    std::size_t head_bytes_left_ = 0;
    std::size_t line_bytes_ = 0;
    std::size_t line_limit_ = max_line_bytes;
    bool size_limit_exceeded_ = false;
    bool peer_ended_during_write_ = false; ///< of a server's answer: before the request's end
};

/// Waits for `events` of poll(2) on a socket; false if `time` passes first or poll fails.
bool wait_for_events(socket_t sock, short events, duration time);

} // namespace jasminebank
