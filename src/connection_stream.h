#pragma once

// Reads and writes one accepted HTTP connection, with a read buffer and a timeout for each wait.

#include "types.h"

#include <httplib.h>

#include <array>

namespace jasminebank {

/// Does not own the socket.
class connection_stream final : public httplib::Stream {
public:
    connection_stream(socket_t fd, duration io_timeout) : fd_(fd), io_timeout_(io_timeout) {}

    /// Waits until the socket is readable, also by a close or an error of the peer. False if that
    /// takes longer than `limit` or poll fails.
    bool wait_readable(duration limit) const;
    /// Makes all later writes fail.
    void disable_writes() { writes_disabled_ = true; }
    bool writes_disabled() const { return writes_disabled_; }

    bool is_readable() const override { return wait_readable(io_timeout_); }
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return fd_; }

private:
    static constexpr std::size_t buffer_bytes = std::size_t{16} << 10;

    socket_t fd_;
    duration io_timeout_;
    bool writes_disabled_ = false;
    std::array<char, buffer_bytes> buffer_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

} // namespace jasminebank
