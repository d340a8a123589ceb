#include "tracked_server.h"

#include "connection_stream.h"
#include "thread_queue.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <chrono>

namespace jasminebank {

static thread_local connection_stream* current_stream = nullptr;

// Replaces the library's default socket options, which include SO_REUSEPORT: with it two processes
// could listen on the same port without an error.
tracked_server::tracked_server(const tracked_server_options& options) : options_(options)
{
    new_task_queue = [n = options.max_threads] { return new thread_queue(n); };
    set_tcp_nodelay(true);
    set_payload_max_length(options.max_body_bytes);
    set_socket_options([this](socket_t fd) {
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        listener_ = fd;
    });
}

tracked_server::~tracked_server()
{
    stop();
}

// The second listen() enlarges the accept queue, for which the library sets a length of 5.
std::uint16_t tracked_server::start(const endpoint& at)
{
    assert(!thread_.joinable());
    int port = at.port;
    if (port == 0)
        port = bind_to_any_port(at.host);
    else if (!bind_to_port(at.host, port))
        port = -1;
    if (port <= 0)
        return 0;
    ::listen(listener_, options_.backlog);
    stopping_ = false;
    thread_ = std::thread([this] { listen_after_bind(); });
    // Server::stop has no effect before the thread is in its accept loop.
    while (!is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return static_cast<std::uint16_t>(port);
}

void tracked_server::stop()
{
    if (!thread_.joinable())
        return;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    Server::stop();
    break_connections();
    thread_.join();
}

void tracked_server::break_connections()
{
    const std::lock_guard lock(mutex_);
    for (const socket_t it : connections_)
        ::shutdown(it, SHUT_RDWR);
}

void tracked_server::drop_answer()
{
    assert(current_stream != nullptr);
    current_stream->disable_writes();
}

// Replaces the library's loop, which polls each idle connection about ninety times a second and
// delays stop() until the idle timeout.
bool tracked_server::process_and_close_socket(socket_t fd)
{
    bool refused = false;
    {
        const std::lock_guard lock(mutex_);
        refused = stopping_;
        connections_.insert(fd);
    }
    if (!refused)
        serve(fd);
    const std::lock_guard lock(mutex_);
    connections_.erase(fd);
    ::shutdown(fd, SHUT_RDWR);
    ::close(fd);
    return true;
}

void tracked_server::serve(socket_t fd)
{
    connection_stream stream(fd, options_.io_timeout);
    current_stream = &stream;
    while (stream.wait_readable(options_.idle_timeout)) {
        bool closed = false;
        const bool done = process_request(stream, false, closed, nullptr);
        if (!done || closed || stream.writes_disabled())
            break;
    }
    current_stream = nullptr;
}

} // namespace jasminebank
