#pragma once

// An HTTP server that knows its connections: it stops at once, a handler may break the connection
// that it answers, and a connection that waits for its next request costs no wake-ups.

#include "endpoint.h"
#include "types.h"

#include <httplib.h>

#include <mutex>
#include <set>
#include <thread>

namespace jasminebank {

struct tracked_server_options {
    std::size_t max_threads = 2048; ///< one for each connection
    std::size_t max_body_bytes = std::size_t{16} << 20;
    duration io_timeout = std::chrono::seconds(10);
    duration idle_timeout = std::chrono::minutes(1); ///< of a connection between two requests
    int backlog = 1024;
};

/// Add handlers, then `start`. Handlers that wait must be released by their owner before `stop`.
class tracked_server final : public httplib::Server {
public:
    explicit tracked_server(const tracked_server_options& options = {});
    ~tracked_server() override;

    /// Binds and serves on a thread of its own; port 0 takes a free one. Gives the port, 0 if it
    /// cannot be bound.
    std::uint16_t start(const endpoint& at);
    /// Closes the listening socket and every connection and waits for the handlers.
    void stop();
    /// Breaks every connection and goes on serving.
    void break_connections();
    /// From within a handler: its caller gets a broken connection in place of an answer.
    static void drop_answer();

private:
    bool process_and_close_socket(socket_t fd) override;
    void serve(socket_t fd);

    tracked_server_options options_;
    socket_t listener_ = INVALID_SOCKET;
    std::thread thread_;
    std::mutex mutex_;
    std::set<socket_t> connections_;
    bool stopping_ = false;
};

} // namespace jasminebank
