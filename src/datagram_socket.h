#pragma once

// A UDP socket with a thread that receives.

#include "endpoint.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace jasminebank {

/// Gets each datagram on the socket's own thread.
using datagram_handler = std::function<void(const endpoint& from, std::string_view bytes)>;

class datagram_socket {
public:
    /// Binds and starts to receive; nothing if the address cannot be had.
    static std::unique_ptr<datagram_socket> open(const endpoint& local, datagram_handler handler);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Sends, or drops the datagram when the system takes none now.
    void send(const endpoint& to, std::string_view bytes);
    /// Bytes sent so far, without the heads of IP and UDP.
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
