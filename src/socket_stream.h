#pragma once

// The stream that cpp-httplib reads from and writes to, as a server and as a client. The library's
// own timeouts are for single reads and its lines have no bound, so a peer that sends a byte now
// and then, or a line without end, could hold a thread for ever and grow its memory.

#include "types.h"

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace jasminebank {

/// Longest line: a field of a head, the size of a chunk. The library drops longer fields anyway.
constexpr std::size_t max_line_bytes = 8UL * 1024;

/// A connected socket, which the caller closes. After a bound is passed, every read fails.
class socket_stream : public httplib::Stream {
public:
    /// One read or write waits for `timeout` at most, and none beyond `deadline`.
    socket_stream(socket_t sock, duration timeout, time_point deadline = time_point::max());

    /// No read waits beyond `it`; writes still have the stream's own deadline.
    void set_read_deadline(time_point it) { read_deadline_ = it; }
    /// From here on a head is read: until `end`, `bytes` in all, `first_line_bytes` in its first
    /// line.
    void begin_head(time_point end, std::size_t bytes, std::size_t first_line_bytes);
    void end_head() { in_head_ = false; }
    /// Bytes that were received and not read.
    bool has_buffered() const { return begin_ < end_; }
    /// Whether a read failed since a line or a head was too long.
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
    bool count_against_limits(std::size_t requested, std::size_t n, bool ends_line);

    socket_t sock_;
    duration timeout_;
    time_point deadline_;
    time_point read_deadline_ = time_point::max();
    std::array<char, 4096> buf_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool in_head_ = false;
    time_point head_end_;
    std::size_t head_bytes_left_ = 0;
    std::size_t line_bytes_ = 0;
    std::size_t line_limit_ = max_line_bytes;
    bool size_limit_exceeded_ = false;
};

/// Waits for `events` of poll(2) on a socket; false when `time` passes first.
bool wait_for_events(socket_t sock, short events, duration time);

} // namespace jasminebank
