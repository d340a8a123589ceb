#pragma once

// An HTTP server that keeps track of its open connections. It stops without waiting for idle
// connections to time out, a handler may close the connection of its request without an answer, and
// an idle connection causes no wake-ups.

#include "endpoint.h"
#include "types.h"

#include <httplib.h>

#include <mutex>
#include <set>
#include <thread>

namespace jasminebank {

struct tracked_server_options {
    std::size_t max_threads = 2048; ///< each serves one connection
    std::size_t max_body_bytes = std::size_t{16} << 20;
    duration io_timeout = std::chrono::seconds(10);
    duration idle_timeout = std::chrono::minutes(1); ///< between two requests of a connection
    int backlog = 1024;
};

/// Handlers must be added before `start`. Before `stop`, the owner must unblock handlers that wait.
class tracked_server final : public httplib::Server {
public:
    explicit tracked_server(const tracked_server_options& options = {});
    ~tracked_server() override;

    /// Binds to `at` and serves on a thread of its own; port 0 chooses a free one. Returns the
    /// port, or 0 if it cannot be bound.
    std::uint16_t start(const endpoint& at);
    /// Closes the listening socket and all connections, and waits for the handlers to return.
    void stop();
    /// Closes all connections and continues to serve new ones.
    void break_connections();
    /// For use in a handler: closes the connection without sending the answer.
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
