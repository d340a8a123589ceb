#include "socket_server.h"

#include "small_stack_pool.h"
#include "socket_stream.h"
#include "system_clock.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <limits>
#include <string_view>
#include <utility>

namespace jasminebank {

namespace {

constexpr int backlog = 1024;
constexpr std::size_t read_buffer_bytes = 4096;
constexpr duration linger_time = std::chrono::milliseconds(500);
// Threads in addition to `max_connections`, to send `overload_response` on connections above it.
constexpr std::size_t overload_threads = 8;

thread_local socket_t current_socket = INVALID_SOCKET;
thread_local socket_stream* current_stream = nullptr;
thread_local bool current_closes = false;
// Of this thread's request: whether the peer understands interim responses (HTTP/1.1), and how
// often the connection was checked after a FIN.
thread_local bool current_accepts_interim = false;
thread_local unsigned current_peer_checks = 0;
// Each probe is followed by one check without a probe, which sees the reset that it caused. Probes
// are repeated, since a peer may close long after its FIN.
constexpr unsigned checks_per_probe = 2;
constexpr std::string_view interim_response = "HTTP/1.1 102 Processing\r\n\r\n";

// Lingering close: if a socket is closed with unread bytes, the kernel discards the part of the
// answer that is not yet delivered. So the sending side is closed first, and what the peer still
// sends is read for `linger_time`.
void linger_before_close(socket_t sock)
{
    std::array<char, read_buffer_bytes> buf{};
    const time_point end = boot_now() + linger_time;
    shutdown(sock, SHUT_WR);
    while (boot_now() < end && wait_for_events(sock, POLLIN, end - boot_now())) {
        if (recv(sock, buf.data(), buf.size(), 0) <= 0)
            return;
    }
}

// The library matches paths recursively, one level per byte, and the 256 KiB stack of a worker
// thread suffices for over a thousand levels. All routes of this program are much shorter.
constexpr std::size_t max_routed_path_bytes = 512;

// Bodies must be forwarded unchanged, but the library would parse multipart bodies, compress and
// decompress, and reduce answers to ranges. So the headers that trigger this are renamed with
// `raw_prefix`. A request without a length has no body, but the library would read one until the
// connection ends, so the length is set to 0. A path that is too long for routing is cleared.
void prepare_request(httplib::Request& req)
{
    if (!req.has_header("Content-Length") && !req.has_header("Transfer-Encoding"))
        req.set_header("Content-Length", "0");
    for (const char* name : {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range"}) {
        const std::string raw_name = std::string(raw_prefix) + name;
        const std::string value = req.get_header_value(name);
        req.headers.erase(raw_name);
        if (req.headers.erase(name) > 0)
            req.set_header(raw_name, value);
    }
    req.ranges.clear();
    if (req.path.size() > max_routed_path_bytes)
        req.path.clear();
}

} // namespace

// SO_REUSEADDR lets a restarted server bind its port again, but lets no second server listen on the
// same port. SO_REUSEPORT, the library's default, would.
socket_server::socket_server(socket_server_options options)
    : options_(std::move(options)), close_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    set_tcp_nodelay(true);
    set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    // Called when the head of an answer is about to be written.
    set_post_routing_handler([this](const httplib::Request&, httplib::Response& res) {
        if (must_close())
            close_after_answer(res);
    });
    set_socket_options([this](socket_t sock) {
        const int yes = 1;
        setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        listener_ = sock;
    });
    new_task_queue = [this] {
        return new small_stack_pool(options_.max_connections + overload_threads);
    };
}

socket_server::~socket_server()
{
    stop_gracefully();
    close(close_fd_);
}

// The library listens with a backlog of 5; a second listen call on the socket raises it.
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

// Not the library's `stop`, which would also truncate the answers that are being written. When the
// listening socket is shut down, the accept loop ends and waits for the running requests.
void socket_server::stop_listening()
{
    if (thread_.joinable() && !closed_.exchange(true))
        shutdown(listener_, SHUT_RDWR);
}

// Wakes the threads that wait for a request through `close_fd_`. Shutting down their sockets
// instead would make a request that arrives at this moment see its caller as disconnected.
void socket_server::close_idle()
{
    stopping_ = true;
    stop_listening();
    const std::uint64_t one = 1;
    if (write(close_fd_, &one, sizeof one) < 0)
        abort_connections();
}

bool socket_server::wait_until_closed(time_point deadline)
{
    std::unique_lock lock(mutex_);
    const duration left = std::max(deadline - boot_now(), duration::zero());
    return connection_closed_.wait_for(lock, left, [this] { return connections_.empty(); });
}

void socket_server::join()
{
    if (thread_.joinable())
        thread_.join();
}

void socket_server::stop_gracefully()
{
    close_idle();
    join();
}

void socket_server::abort_connections()
{
    stopping_ = true;
    stop_listening();
    const std::lock_guard lock(mutex_);
    is_aborted_ = true;
    for (const socket_t it : connections_)
        shutdown(it, SHUT_RDWR);
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

// A FIN only says that the peer sends no more. A peer that has closed its socket responds to the
// interim response with a reset; one that still reads ignores it.
bool socket_server::peer_reset()
{
    pollfd it{.fd = current_socket, .events = 0, .revents = 0};
    return poll(&it, 1, 0) > 0 && (it.revents & (POLLERR | POLLHUP)) != 0;
}

bool socket_server::peer_disconnected()
{
    pollfd it{.fd = current_socket, .events = POLLRDHUP, .revents = 0};
    if (poll(&it, 1, 0) <= 0)
        return false;
    if ((it.revents & (POLLERR | POLLHUP)) != 0 || !current_accepts_interim)
        return true;
    if (current_peer_checks++ % checks_per_probe != 0)
        return false;
    const ssize_t n = send(current_socket, interim_response.data(), interim_response.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT);
    const bool is_full = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (is_full || n == static_cast<ssize_t>(interim_response.size()))
        return false;
    abort_connection(); // sent in part, it would corrupt the final response
    return true;
}

bool socket_server::wait_for_disconnect(duration time)
{
    return wait_for_events(current_socket, POLLRDHUP, time);
}

// The header keeps the caller from sending a further request, which would be lost.
void socket_server::close_after_answer(httplib::Response& res)
{
    current_closes = true;
    res.headers.erase("Connection");
    res.headers.erase("Keep-Alive");
    res.set_header("Connection", "close");
}

void socket_server::set_request_read_deadline(time_point it)
{
    if (current_stream != nullptr)
        current_stream->set_read_deadline(it);
}

void socket_server::abort_connection()
{
    shutdown(current_socket, SHUT_RDWR);
}

bool socket_server::add_connection(socket_t sock)
{
    const std::lock_guard lock(mutex_);
    if (is_aborted_ || connections_.size() >= options_.max_connections)
        return false;
    connections_.insert(sock);
    return true;
}

// What follows a request that is malformed, or whose body was not read, is not the beginning of
// another request. During a stop the connection ends once no further request has arrived on it.
bool socket_server::must_close() const
{
    if (!current_stream->framing().is_whole())
        return true;
    return stopping_ && !current_stream->has_buffered() &&
           !wait_for_events(current_socket, POLLIN, duration::zero());
}

// Waits for the first byte of a request. False if the connection is to be closed: it was idle for
// too long, or the server is closing and no request has arrived.
bool socket_server::wait_for_request(socket_t sock) const
{
    std::array<pollfd, 2> it{pollfd{.fd = sock, .events = POLLIN, .revents = 0},
                             pollfd{.fd = close_fd_, .events = POLLIN, .revents = 0}};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(options_.idle_timeout);
    return poll(it.data(), it.size(), static_cast<int>(wait.count())) > 0 &&
           (it[0].revents != 0 || wait_for_events(sock, POLLIN, duration::zero()));
}

void socket_server::remove_connection(socket_t sock)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(sock);
    close(sock);
    connection_closed_.notify_all();
}

bool socket_server::process_and_close_socket(socket_t sock)
{
    if (!add_connection(sock)) {
        socket_stream(sock, std::chrono::seconds(1))
            .write(options_.overload_response.data(), options_.overload_response.size());
        shutdown(sock, SHUT_WR);
        close(sock);
        return false;
    }
    const int yes = 1;
    setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    current_socket = sock;
    serve(sock);
    current_stream = nullptr;
    linger_before_close(sock);
    remove_connection(sock);
    return true;
}

// Serves the requests of a connection in turn. A request whose first byte has arrived is answered
// even if the server is stopping.
void socket_server::serve(socket_t sock)
{
    socket_stream stream(sock, options_.io_timeout);
    const auto prepare = [&](httplib::Request& req) {
        stream.end_head();
        stream.set_read_deadline(boot_now() + options_.body_timeout);
        prepare_request(req);
        current_accepts_interim = req.version == "HTTP/1.1";
        if (options_.prepare)
            options_.prepare(req);
    };
    current_stream = &stream;
    bool closed = false;
    while (!closed) {
        if (!stream.has_buffered() && !wait_for_request(sock))
            return;
        // `abort_connections` shuts the connections down one after another.
        if (is_aborted_)
            return;
        stream.set_read_deadline(time_point::max());
        stream.begin_message(message_kind::request, boot_now() + options_.head_timeout,
                             options_.max_head_bytes, options_.max_head_bytes);
        current_closes = false;
        current_peer_checks = 0;
        const bool good = process_request(stream, false, closed, prepare);
        if (!good || current_closes)
            return;
    }
}

} // namespace jasminebank
