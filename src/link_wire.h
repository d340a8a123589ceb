#pragma once

// The non-blocking socket of one link and its output buffer. It counts the bytes passed to the
// kernel, which decides whether a request may have been sent.

#include "endpoint.h"
#include "link_options.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace jasminebank {

/// A listening socket and its bound address.
struct listening_socket {
    int fd = -1;
    endpoint local;
};

/// Binds and listens; nothing if either fails. No other socket can bind the same address.
std::optional<listening_socket> listen_on(const endpoint& where);

/// Starts connecting and returns the socket; -1 on an immediate failure.
int start_connect(const endpoint& peer);

/// Result of one receive call.
enum class receive_state : std::uint8_t { some, would_block, ended, broken };

/// A connected or connecting socket and its output buffer.
class link_wire {
public:
    explicit link_wire(int fd) : fd_(fd) {}
    ~link_wire();
    link_wire(const link_wire&) = delete;
    link_wire& operator=(const link_wire&) = delete;

    int fd() const { return fd_; }

    /// Appends bytes to the output buffer.
    void push(std::span<const std::uint8_t> bytes);
    /// Passes as many bytes to the kernel as it accepts; false when the connection is broken.
    bool send();
    /// Receives once into `buf`; sets `n` to the number of bytes received.
    receive_state receive(std::span<std::uint8_t> buf, std::size_t& n);
    /// The errno value of a finished connection attempt, 0 on success.
    int connect_error() const;
    /// Shuts down the sending direction; the peer may still send.
    void shutdown_output();

    std::size_t waiting_bytes() const { return out_.size() - out_start_; }
    /// Bytes appended since the socket was opened.
    std::uint64_t queued_total() const { return queued_total_; }
    /// Bytes passed to the kernel, including those that a simulated outbound fault holds back.
    std::uint64_t sent_total() const { return sent_total_; }

    void set_cut(cut_direction it) { cut_ = it; }
    cut_direction cut() const { return cut_; }
    /// Transfers the socket to the caller, so that it stays open when this object is destroyed.
    int release();

private:
    int fd_;
    std::string out_;
    std::size_t out_start_ = 0;
    std::uint64_t queued_total_ = 0;
    std::uint64_t sent_total_ = 0;
    cut_direction cut_ = cut_direction::none;
};

} // namespace jasminebank
