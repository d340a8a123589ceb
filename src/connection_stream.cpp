#include "connection_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace jasminebank {

// A signal restarts the wait with its full time; no signals are expected in normal operation.
static bool poll_socket(socket_t fd, short events, duration limit)
{
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(limit).count();
    pollfd it{.fd = fd, .events = events, .revents = 0};
    int n = 0;
    do {
        n = ::poll(&it, 1, static_cast<int>(millis));
    } while (n < 0 && errno == EINTR);
    return n > 0;
}

bool connection_stream::wait_readable(duration limit) const
{
    return begin_ < end_ || poll_socket(fd_, POLLIN, limit);
}

// Reports a closed peer as not writable: its socket is readable but has no bytes.
bool connection_stream::is_writable() const
{
    if (writes_disabled_)
        return false;
    char byte = 0;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool open = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    return open && poll_socket(fd_, POLLOUT, io_timeout_);
}

// The HTTP library reads lines byte by byte, hence the buffer. Reads of at least the buffer's size
// bypass it.
ssize_t connection_stream::read(char* data, size_t size)
{
    if (begin_ == end_) {
        if (!poll_socket(fd_, POLLIN, io_timeout_))
            return -1;
        if (size >= buffer_.size())
            return ::recv(fd_, data, size, 0);
        const ssize_t n = ::recv(fd_, buffer_.data(), buffer_.size(), 0);
        if (n <= 0)
            return n;
        begin_ = 0;
        end_ = static_cast<std::size_t>(n);
    }
    const std::size_t n = std::min(size, end_ - begin_);
    std::memcpy(data, buffer_.data() + begin_, n);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t connection_stream::write(const char* data, size_t size)
{
    if (writes_disabled_ || !poll_socket(fd_, POLLOUT, io_timeout_))
        return -1;
    return ::send(fd_, data, size, MSG_NOSIGNAL);
}

static void format_address(const sockaddr_in& address, std::string& ip, int& port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t n = sizeof address;
    ::getpeername(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    format_address(address, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address{};
    socklen_t n = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    format_address(address, ip, port);
}

} // namespace jasminebank
