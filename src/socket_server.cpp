#include "socket_server.h"

#include "small_stack_pool.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <limits>
#include <string_view>

namespace jasminebank {

namespace {

constexpr int backlog = 1024;
constexpr std::size_t read_buffer_bytes = 4096;
// Threads beyond the bound on connections, which tell the callers over it so.
constexpr std::size_t refusing_threads = 8;

thread_local socket_t current_socket = INVALID_SOCKET;

int to_milliseconds(duration time)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

bool wait_for(socket_t sock, short events, duration time)
{
    pollfd it{.fd = sock, .events = events, .revents = 0};
    return poll(&it, 1, to_milliseconds(time)) > 0;
}

// The stream that cpp-httplib reads requests from and writes answers to.
class socket_stream : public httplib::Stream {
public:
    socket_stream(socket_t sock, duration timeout) : sock_(sock), timeout_(timeout) {}

    bool has_buffered() const { return begin_ < end_; }
    bool is_readable() const override
    {
        return has_buffered() || wait_for(sock_, POLLIN, timeout_);
    }
    bool is_writable() const override { return wait_for(sock_, POLLOUT, timeout_); }
    socket_t socket() const override { return sock_; }

    // The library asks for single bytes of the header; they come from a buffer.
    ssize_t read(char* ptr, std::size_t size) override
    {
        if (!has_buffered()) {
            if (!is_readable())
                return -1;
            const ssize_t n = recv(sock_, buf_.data(), buf_.size(), 0);
            if (n <= 0)
                return n;
            begin_ = 0;
            end_ = static_cast<std::size_t>(n);
        }
        const std::size_t n = std::min(size, end_ - begin_);
        std::memcpy(ptr, buf_.data() + begin_, n);
        begin_ += n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char* ptr, std::size_t size) override
    {
        std::size_t done = 0;
        while (done < size) {
            if (!is_writable())
                return -1;
            const ssize_t n = send(sock_, ptr + done, size - done, MSG_NOSIGNAL);
            if (n <= 0)
                return -1;
            done += static_cast<std::size_t>(n);
        }
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        name_of(getpeername, ip, port);
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        name_of(getsockname, ip, port);
    }

private:
    template <class Call>
    void name_of(Call call, std::string& ip, int& port) const
    {
        sockaddr_in it{};
        socklen_t n = sizeof it;
        std::array<char, INET_ADDRSTRLEN> text{};
        if (call(sock_, reinterpret_cast<sockaddr*>(&it), &n) != 0)
            return;
        ip = inet_ntop(AF_INET, &it.sin_addr, text.data(), text.size());
        port = ntohs(it.sin_port);
    }

    socket_t sock_;
    duration timeout_;
    std::array<char, read_buffer_bytes> buf_{};
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

// The library would parse multipart bodies and unpack compressed ones; a stand-in wants the bytes
// as they were sent, so the headers that cause it are put aside. And it would read a body without a
// length until the connection ends, where the protocol says that there is none.
void prepare_request(httplib::Request& req)
{
    if (!req.has_header("Content-Length") && !req.has_header("Transfer-Encoding"))
        req.set_header("Content-Length", "0");
    for (const char* name : {"Content-Type", "Content-Encoding"}) {
        const std::string value = req.get_header_value(name);
        if (req.headers.erase(name) > 0)
            req.set_header(std::string("X-Raw-") + name, value);
    }
}

} // namespace

// The port is exclusive: SO_REUSEADDR alone lets a restarted server have its port back, but no
// second server beside it. The library's default, SO_REUSEPORT, would.
socket_server::socket_server(socket_server_options options) : options_(std::move(options))
{
    set_tcp_nodelay(true);
    set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    set_socket_options([this](socket_t sock) {
        const int yes = 1;
        setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        listener_ = sock;
    });
    new_task_queue = [this] {
        return new small_stack_pool(options_.connections + refusing_threads);
    };
}

socket_server::~socket_server()
{
    stop_gently();
}

// The library listens with a backlog of 5; a second listen on the same socket sets a longer one.
bool socket_server::start()
{
    if (options_.listen.port == 0)
        port_ = bind_to_any_port(options_.listen.host);
    else
        port_ =
            bind_to_port(options_.listen.host, options_.listen.port) ? options_.listen.port : -1;
    if (port_ <= 0 || ::listen(listener_, backlog) != 0)
        return false;
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return true;
}

void socket_server::stop_listening()
{
    if (thread_.joinable() && !closed_.exchange(true))
        stop();
}

void socket_server::stop_gently()
{
    stopping_ = true;
    stop_listening();
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [sock, busy] : connections_) {
            if (!busy)
                shutdown(sock, SHUT_RDWR);
        }
    }
    if (thread_.joinable())
        thread_.join();
}

void socket_server::cut_all()
{
    stopping_ = true;
    stop_listening();
    const std::lock_guard lock(mutex_);
    for (const auto& [sock, busy] : connections_)
        shutdown(sock, SHUT_RDWR);
}

endpoint socket_server::address() const
{
    return {.host = options_.listen.host, .port = static_cast<std::uint16_t>(port_)};
}

std::size_t socket_server::open_connections() const
{
    const std::lock_guard lock(mutex_);
    return connections_.size();
}

bool socket_server::peer_left()
{
    return wait_for(current_socket, POLLRDHUP, duration::zero());
}

bool socket_server::wait_for_peer_to_leave(duration time)
{
    return wait_for(current_socket, POLLRDHUP, time);
}

void socket_server::cut_current()
{
    shutdown(current_socket, SHUT_RDWR);
}

bool socket_server::add_connection(socket_t sock)
{
    const std::lock_guard lock(mutex_);
    if (stopping_ || connections_.size() >= options_.connections)
        return false;
    connections_.emplace(sock, false);
    return true;
}

// Busy and idle change under the lock that `stop_gently` holds, so it never cuts a request.
bool socket_server::mark(socket_t sock, bool busy)
{
    const std::lock_guard lock(mutex_);
    connections_[sock] = busy;
    return !stopping_;
}

void socket_server::remove_connection(socket_t sock)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(sock);
    close(sock);
}

bool socket_server::process_and_close_socket(socket_t sock)
{
    if (!add_connection(sock)) {
        socket_stream(sock, std::chrono::seconds(1))
            .write(options_.refusal.data(), options_.refusal.size());
        shutdown(sock, SHUT_WR);
        close(sock);
        return false;
    }
    const int yes = 1;
    setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    current_socket = sock;
    serve(sock);
    remove_connection(sock);
    return true;
}

void socket_server::serve(socket_t sock)
{
    socket_stream stream(sock, options_.io_timeout);
    bool closed = false;
    while (!closed) {
        if (!stream.has_buffered() && !wait_for(sock, POLLIN, options_.idle_timeout))
            return;
        if (!mark(sock, true))
            return;
        const bool good = process_request(stream, false, closed, prepare_request);
        if (!mark(sock, false) || !good)
            return;
    }
}

} // namespace jasminebank
