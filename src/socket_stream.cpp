#include "socket_stream.h"

#include "system_clock.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>

namespace jasminebank {

// Below the smallest receive window of a connection, which is 64 KiB with the kernel's defaults.
constexpr int max_unread_bytes = 32 * 1024;

bool wait_for_events(socket_t sock, short events, duration time)
{
    using std::chrono::milliseconds;
    const auto wait = std::clamp<milliseconds::rep>(std::chrono::ceil<milliseconds>(time).count(),
                                                    0, std::numeric_limits<int>::max());
    pollfd it{.fd = sock, .events = events, .revents = 0};
    return poll(&it, 1, static_cast<int>(wait)) > 0;
}

socket_stream::socket_stream(socket_t sock, duration timeout, time_point deadline)
    : sock_(sock), timeout_(timeout), deadline_(deadline)
{
}

void socket_stream::begin_message(message_kind kind, time_point end, std::size_t bytes,
                                  std::size_t first_line_bytes)
{
    framing_ = message_framing(kind);
    in_head_ = true;
    head_end_ = end;
    head_bytes_left_ = bytes;
    line_bytes_ = 0;
    line_limit_ = first_line_bytes;
}

duration socket_stream::time_until(time_point end) const
{
    return end == time_point::max() ? timeout_ : std::min(timeout_, end - boot_now());
}

duration socket_stream::read_time_left() const
{
    const time_point end = std::min(deadline_, read_deadline_);
    return time_until(in_head_ ? std::min(end, head_end_) : end);
}

bool socket_stream::is_readable() const
{
    const duration left = read_time_left();
    return left > duration::zero() && (has_buffered() || wait_for_events(sock_, POLLIN, left));
}

bool socket_stream::is_writable() const
{
    const duration left = time_until(deadline_);
    return left > duration::zero() && wait_for_events(sock_, POLLOUT, left);
}

// Counts `n` bytes of a read of `requested` bytes against the limits; false if one is exceeded. The
// library reads lines byte by byte and bodies in larger pieces, so a read of one byte is taken as
// part of a line. The last piece of a body may also be one byte, but between two such pieces there
// is at most a line end, so the line limit is never reached by them.
bool socket_stream::count_against_limits(std::size_t requested, std::size_t n, bool ends_line)
{
    if (requested == 1 && line_bytes_ >= line_limit_)
        return false;
    if (in_head_ && head_bytes_left_ < n)
        return false;
    head_bytes_left_ -= in_head_ ? n : 0;
    const bool line_continues = requested == 1 && !ends_line;
    line_bytes_ = line_continues ? line_bytes_ + 1 : 0;
    if (!line_continues)
        line_limit_ = max_line_bytes;
    return true;
}

// Whether the peer has closed the connection, or may have: a close behind more unread bytes than
// the receive window takes does not arrive.
static bool may_have_ended(socket_t sock)
{
    int unread = 0;
    return wait_for_events(sock, POLLRDHUP, duration::zero()) ||
           ioctl(sock, FIONREAD, &unread) != 0 || unread >= max_unread_bytes;
}

// Whether the peer closed the connection before it had read all that was written: then the close
// does not tell that its message is complete. A peer that has read everything has acknowledged it
// before its close. Bytes that arrive after the close are answered with a reset, which recv does
// not report behind the end of the input.
bool socket_stream::has_peer_stopped_reading() const
{
    int unacknowledged = 0;
    int error = 0;
    socklen_t n = sizeof error;
    return peer_ended_during_write_ || ioctl(sock_, SIOCOUTQ, &unacknowledged) != 0 ||
           unacknowledged > 0 || getsockopt(sock_, SOL_SOCKET, SO_ERROR, &error, &n) != 0 ||
           error != 0;
}

ssize_t socket_stream::read(char* ptr, std::size_t size)
{
    if (size_limit_exceeded_ || framing_.is_malformed() || !is_readable())
        return -1;
    if (!has_buffered()) {
        const ssize_t n = recv(sock_, buf_.data(), buf_.size(), 0);
        if (n == 0 && !has_peer_stopped_reading())
            framing_.end_of_input();
        // The library takes some messages that end here for whole ones.
        if (n == 0 && !framing_.is_whole())
            return -1;
        if (n <= 0)
            return n;
        begin_ = 0;
        end_ = static_cast<std::size_t>(n);
    }
    const std::size_t n = std::min(size, end_ - begin_);
    if (!count_against_limits(size, n, buf_[begin_] == '\n')) {
        size_limit_exceeded_ = true;
        return -1;
    }
    if (!framing_.read({buf_.data() + begin_, n}))
        return -1;
    std::memcpy(ptr, buf_.data() + begin_, n);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

ssize_t socket_stream::write(const char* ptr, std::size_t size)
{
    std::size_t done = 0;
    while (done < size) {
        if (!is_writable())
            return -1;
        peer_ended_during_write_ = peer_ended_during_write_ || may_have_ended(sock_);
        const ssize_t n = send(sock_, ptr + done, size - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n <= 0)
            return -1;
        done += static_cast<std::size_t>(n);
    }
    return static_cast<ssize_t>(size);
}

template <class Call>
static void read_address(socket_t sock, Call call, std::string& ip, int& port)
{
    sockaddr_in it{};
    socklen_t n = sizeof it;
    std::array<char, INET_ADDRSTRLEN> text{};
    if (call(sock, reinterpret_cast<sockaddr*>(&it), &n) != 0)
        return;
    ip = inet_ntop(AF_INET, &it.sin_addr, text.data(), text.size());
    port = ntohs(it.sin_port);
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    read_address(sock_, getpeername, ip, port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    read_address(sock_, getsockname, ip, port);
}

} // namespace jasminebank
