#include "raw_server.h"

#include "system_clock.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace jasminebank {

using namespace std::chrono_literals;

constexpr duration poll_interval = 20ms;

raw_connection::raw_connection(int sock, time_point deadline, std::atomic<std::size_t>& sent,
                               std::string head)
    : sock_(sock), deadline_(deadline), sent_(sent), head_(std::move(head))
{
}

bool raw_connection::receive_head()
{
    head_.clear();
    std::array<char, 4096> buf{};
    while (head_.find("\r\n\r\n") == std::string::npos) {
        if (boot_now() >= deadline_)
            return false;
        pollfd it{.fd = sock_, .events = POLLIN, .revents = 0};
        if (poll(&it, 1, static_cast<int>(poll_interval / 1ms)) <= 0)
            continue;
        const ssize_t n = recv(sock_, buf.data(), buf.size(), 0);
        if (n <= 0)
            return false;
        head_.append(buf.data(), static_cast<std::size_t>(n));
    }
    return true;
}

bool raw_connection::send(std::string_view text)
{
    while (!text.empty()) {
        if (boot_now() >= deadline_) {
            has_timed_out_ = true;
            return false;
        }
        pollfd it{.fd = sock_, .events = POLLOUT, .revents = 0};
        poll(&it, 1, static_cast<int>(poll_interval / 1ms));
        const ssize_t n = ::send(sock_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && errno == EAGAIN)
            continue;
        if (n <= 0)
            return false;
        sent_ += static_cast<std::size_t>(n);
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

void raw_connection::send_repeatedly(std::string_view text, std::size_t unpaced_bytes)
{
    for (std::size_t n = 0; send(text); n += text.size()) {
        if (n >= unpaced_bytes)
            std::this_thread::sleep_for(poll_interval);
    }
}

std::size_t raw_connection::discard_until_quiet(duration quiet)
{
    std::array<char, 16384> buf{};
    std::size_t out = 0;
    for (time_point end = boot_now() + quiet; boot_now() < std::min(end, deadline_);) {
        pollfd it{.fd = sock_, .events = POLLIN, .revents = 0};
        if (poll(&it, 1, static_cast<int>(poll_interval / 1ms)) <= 0)
            continue;
        const ssize_t n = recv(sock_, buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        out += static_cast<std::size_t>(n);
        end = boot_now() + quiet;
    }
    return out;
}

void raw_connection::end_sending()
{
    shutdown(sock_, SHUT_WR);
}

void raw_connection::reset_on_close()
{
    const linger it{.l_onoff = 1, .l_linger = 0};
    setsockopt(sock_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
}

raw_server::raw_server(const std::string& host, duration connection_timeout, handler handle)
    : connection_timeout_(connection_timeout), handler_(std::move(handle)),
      listener_(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in it{};
    socklen_t n = sizeof it;
    it.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &it.sin_addr);
    EXPECT_EQ(0, bind(listener_, reinterpret_cast<sockaddr*>(&it), sizeof it));
    EXPECT_EQ(0, listen(listener_, 64));
    getsockname(listener_, reinterpret_cast<sockaddr*>(&it), &n);
    address_ = {.host = host, .port = ntohs(it.sin_port)};
    acceptor_ = std::thread([this] { accept_all(); });
}

raw_server::~raw_server()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
        const std::lock_guard lock(mutex_);
        for (const int it : open_)
            shutdown(it, SHUT_RDWR);
    }
    for (std::thread& it : threads_)
        it.join();
    close(listener_);
}

void raw_server::accept_all()
{
    while (!stopping_) {
        const int sock = accept(listener_, nullptr, nullptr);
        if (sock < 0)
            continue;
        const std::lock_guard lock(mutex_);
        open_.push_back(sock);
        threads_.emplace_back([this, sock] { serve(sock); });
    }
}

void raw_server::serve(int sock)
{
    const int yes = 1;
    setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    std::string head;
    std::array<char, 4096> buf{};
    ssize_t n = 1;
    while (n > 0 && head.find("\r\n\r\n") == std::string::npos) {
        n = recv(sock, buf.data(), buf.size(), 0);
        head.append(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    if (n > 0) {
        ++requests_;
        raw_connection it(sock, boot_now() + connection_timeout_, sent_, head);
        handler_(it);
        timed_out_connections_ += it.has_timed_out() ? 1 : 0;
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, sock);
    close(sock);
}

} // namespace jasminebank
