#include "link_wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace jasminebank {

constexpr int listen_backlog = 1024;
/// An empty output buffer with a larger capacity than this is freed.
constexpr std::size_t max_retained_output_bytes = 4096;

static std::optional<sockaddr_in> address_of(const endpoint& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    if (inet_pton(AF_INET, it.host.c_str(), &out.sin_addr) != 1)
        return std::nullopt;
    return out;
}

static void set_option(int fd, int level, int name)
{
    const int on = 1;
    setsockopt(fd, level, name, &on, sizeof on);
}

static int new_socket()
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

// SO_REUSEADDR lets a restarted process bind its port immediately. SO_REUSEPORT stays off, because
// two processes must not share a port.
std::optional<listening_socket> listen_on(const endpoint& where)
{
    const auto address = address_of(where);
    if (!address)
        return std::nullopt;
    const int fd = new_socket();
    if (fd < 0)
        return std::nullopt;
    set_option(fd, SOL_SOCKET, SO_REUSEADDR);
    sockaddr_in bound{};
    socklen_t n = sizeof bound;
    if (bind(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
        listen(fd, listen_backlog) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n) != 0) {
        close(fd);
        return std::nullopt;
    }
    return listening_socket{fd, {.host = where.host, .port = ntohs(bound.sin_port)}};
}

int start_connect(const endpoint& peer)
{
    const auto address = address_of(peer);
    const int fd = address ? new_socket() : -1;
    if (fd < 0)
        return -1;
    set_option(fd, IPPROTO_TCP, TCP_NODELAY);
    const int rv = connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
    if (rv != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

link_wire::~link_wire()
{
    if (fd_ >= 0)
        close(fd_);
}

void link_wire::push(std::span<const std::uint8_t> bytes)
{
    out_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    queued_total_ += bytes.size();
}

// Under a simulated outbound fault the bytes stay in the buffer, as the kernel would keep bytes
// that the network does not deliver, and count as passed to the kernel.
bool link_wire::send()
{
    if (cuts_outbound(cut_)) {
        sent_total_ = queued_total_;
        return true;
    }
    while (waiting_bytes() > 0) {
        const ssize_t n = ::send(fd_, out_.data() + out_start_, waiting_bytes(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno == EAGAIN;
        out_start_ += static_cast<std::size_t>(n);
        sent_total_ = std::max(sent_total_, queued_total_ - waiting_bytes());
    }
    out_.clear();
    out_start_ = 0;
    if (out_.capacity() > max_retained_output_bytes)
        std::string().swap(out_);
    return true;
}

receive_state link_wire::receive(std::span<std::uint8_t> buf, std::size_t& n)
{
    n = 0;
    for (;;) {
        const ssize_t got = recv(fd_, buf.data(), buf.size(), 0);
        if (got > 0) {
            n = static_cast<std::size_t>(got);
            return receive_state::some;
        }
        if (got == 0)
            return receive_state::ended;
        if (errno != EINTR)
            return errno == EAGAIN ? receive_state::would_block : receive_state::broken;
    }
}

int link_wire::connect_error() const
{
    int out = 0;
    socklen_t n = sizeof out;
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &out, &n) != 0)
        return errno;
    return out;
}

void link_wire::shutdown_output()
{
    shutdown(fd_, SHUT_WR);
}

int link_wire::release()
{
    return std::exchange(fd_, -1);
}

} // namespace jasminebank
