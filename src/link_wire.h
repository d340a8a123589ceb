#pragma once

// The socket of one link: non-blocking, with the bytes that wait to be sent. It knows how many
// bytes the system has been given, which decides whether a request may have been sent.

#include "endpoint.h"
#include "link_options.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace jasminebank {

/// A bound and listening socket and the address that it got.
struct listening_socket {
    int fd = -1;
    endpoint local;
};

/// Binds and listens; nothing if the system refuses. The address is not shared with other sockets.
std::optional<listening_socket> listen_on(const endpoint& where);

/// Starts to connect; -1 if the system refuses at once.
int start_connect(const endpoint& peer);

/// Outcome of one attempt to receive.
enum class receive_state : std::uint8_t { some, would_block, ended, broken };

/// A connected or connecting socket with its output.
class link_wire {
public:
    explicit link_wire(int fd) : fd_(fd) {}
    ~link_wire();
    link_wire(const link_wire&) = delete;
    link_wire& operator=(const link_wire&) = delete;

    int fd() const { return fd_; }

    /// Queues bytes behind those that wait.
    void push(std::span<const std::uint8_t> bytes);
    /// Gives the system what it takes now; false when the connection is broken.
    bool send();
    /// Receives once into `buf`; `n` is how many bytes came.
    receive_state receive(std::span<std::uint8_t> buf, std::size_t& n);
    /// Error of a finished attempt to connect, 0 when it stands.
    int connect_error() const;
    /// Ends this side's bytes; the peer's may still come.
    void shutdown_output();

    std::size_t waiting_bytes() const { return out_.size() - out_start_; }
    /// Bytes queued since the start.
    std::uint64_t queued_total() const { return queued_total_; }
    /// Bytes that the system has been given, or that a cut pretends it has.
    std::uint64_t sent_total() const { return sent_total_; }

    void set_cut(cut_direction it) { cut_ = it; }
    cut_direction cut() const { return cut_; }
    /// Gives the socket away, so that it stays open when this object goes.
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
