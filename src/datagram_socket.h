#pragma once

// A UDP socket with a thread that receives datagrams.

#include "endpoint.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace jasminebank {

/// Called for each received datagram, on the receiving thread of the socket.
using datagram_handler = std::function<void(const endpoint& from, std::string_view bytes)>;

class datagram_socket {
public:
    /// Binds to `local` and starts the receiving thread; nullptr if the address cannot be bound.
    static std::unique_ptr<datagram_socket> open(const endpoint& local, datagram_handler handler);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Sends without blocking; drops the datagram if the send buffer of the socket is full. Returns
    /// whether it was sent.
    bool send(const endpoint& to, std::string_view bytes);
    /// Payload bytes sent so far, without the IP and UDP headers.
    std::uint64_t bytes_out() const { return bytes_out_; }

private:
    datagram_socket(int fd, datagram_handler handler);
    void receive_loop();

    const int fd_;
    const datagram_handler handler_;
    std::atomic<std::uint64_t> bytes_out_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace jasminebank
