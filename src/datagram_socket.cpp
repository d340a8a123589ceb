#include "datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace jasminebank {

constexpr std::size_t max_datagram_bytes = 2048;
constexpr int poll_timeout_ms = 200;

static bool to_sockaddr(const endpoint& it, sockaddr_in& out)
{
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    return inet_pton(AF_INET, it.host.c_str(), &out.sin_addr) == 1;
}

std::unique_ptr<datagram_socket> datagram_socket::open(const endpoint& local,
                                                       datagram_handler handler)
{
    sockaddr_in address{};
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return nullptr;
    if (!to_sockaddr(local, address) ||
        bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return nullptr;
    }
    return std::unique_ptr<datagram_socket>(new datagram_socket(fd, std::move(handler)));
}

datagram_socket::datagram_socket(int fd, datagram_handler handler)
    : fd_(fd), handler_(std::move(handler)), thread_([this] { receive_loop(); })
{
}

datagram_socket::~datagram_socket()
{
    stopping_ = true;
    thread_.join();
    close(fd_);
}

bool datagram_socket::send(const endpoint& to, std::string_view bytes)
{
    sockaddr_in address{};
    if (!to_sockaddr(to, address))
        return false;
    const ssize_t n = sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (n > 0)
        bytes_out_ += static_cast<std::uint64_t>(n);
    return n > 0;
}

void datagram_socket::receive_loop()
{
    std::array<char, max_datagram_bytes> buf{};
    while (!stopping_) {
        pollfd ready{.fd = fd_, .events = POLLIN, .revents = 0};
        if (poll(&ready, 1, poll_timeout_ms) <= 0)
            continue;
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const ssize_t n = recvfrom(fd_, buf.data(), buf.size(), MSG_DONTWAIT,
                                   reinterpret_cast<sockaddr*>(&address), &size);
        if (n <= 0)
            continue;
        std::array<char, INET_ADDRSTRLEN> text{};
        const char* host = inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
        if (host != nullptr)
            handler_({.host = host, .port = ntohs(address.sin_port)},
                     {buf.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace jasminebank
