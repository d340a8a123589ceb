#include "severing_proxy.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace jasminebank {

// Between checks whether a connection is severed or the proxy stops.
constexpr int poll_ms = 10;

static sockaddr_in address_of(const endpoint& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.host.c_str(), &out.sin_addr);
    return out;
}

severing_proxy::severing_proxy(const endpoint& to)
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), target_(to)
{
    sockaddr_in own = address_of({.host = "127.0.0.1"});
    socklen_t n = sizeof own;
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&own), n), 0);
    EXPECT_EQ(listen(listener_, SOMAXCONN), 0);
    EXPECT_EQ(getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &n), 0);
    address_ = {.host = "127.0.0.1", .port = ntohs(own.sin_port)};
    acceptor_ = std::thread([this] { accept_all(); });
}

severing_proxy::~severing_proxy()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (std::thread& it : threads_)
        it.join();
    close(listener_);
}

void severing_proxy::set_target(const endpoint& to)
{
    const std::lock_guard lock(mutex_);
    target_ = to;
}

void severing_proxy::sever()
{
    const std::lock_guard lock(mutex_);
    for (const auto& it : open_)
        it->is_severed = true;
}

void severing_proxy::accept_all()
{
    while (!stopping_) {
        const auto it = std::make_shared<connection>();
        it->near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (it->near < 0)
            continue;
        it->far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const std::lock_guard lock(mutex_);
        const sockaddr_in to = address_of(target_);
        if (connect(it->far, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
            close(it->near);
            close(it->far);
            continue;
        }
        ++accepted_;
        open_.push_back(it);
        threads_.emplace_back([this, it] { forward(it); });
    }
}

// Copies what can be read from one socket to the other; false once either is closed.
static bool copy(int from, int to)
{
    std::array<char, 16384> buf{};
    const ssize_t n = recv(from, buf.data(), buf.size(), 0);
    if (n <= 0)
        return false;
    for (ssize_t sent = 0; sent < n;) {
        const ssize_t now =
            send(to, buf.data() + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
        if (now <= 0)
            return false;
        sent += now;
    }
    return true;
}

void severing_proxy::forward(const std::shared_ptr<connection>& it) const
{
    std::array<pollfd, 2> both{pollfd{.fd = it->near, .events = POLLIN, .revents = 0},
                               pollfd{.fd = it->far, .events = POLLIN, .revents = 0}};
    for (bool is_open = true; is_open && !stopping_;) {
        if (it->is_severed) {
            poll(nullptr, 0, poll_ms);
            continue;
        }
        poll(both.data(), both.size(), poll_ms);
        if (it->is_severed)
            continue;
        if (both[0].revents != 0)
            is_open = copy(it->near, it->far);
        if (is_open && both[1].revents != 0)
            is_open = copy(it->far, it->near);
    }
    close(it->near);
    close(it->far);
}

} // namespace jasminebank
