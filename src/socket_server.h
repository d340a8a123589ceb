#pragma once

// cpp-httplib's server adapted to many keep-alive connections: an exclusive port, a long backlog,
// TCP_NODELAY, no limit on requests per connection, a limit on connections, and access to the
// connection of the request that is handled on the calling thread.

#include "endpoint.h"
#include "types.h"

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_set>

namespace jasminebank {

struct socket_server_options {
    endpoint listen;                   ///< port 0: any free port
    std::size_t max_connections = 400; ///< open concurrently; further ones get `overload_response`
    duration idle_timeout = std::chrono::minutes(5);  ///< of a connection without a request
    duration io_timeout = std::chrono::seconds(30);   ///< of one read or write
    duration head_timeout = std::chrono::seconds(10); ///< of the head, from its first byte
    std::size_t max_head_bytes = 64UL * 1024;         ///< request line and headers together
    duration body_timeout = std::chrono::minutes(5);  ///< of the body, from the end of the head
    std::string overload_response{}; ///< raw bytes for a connection above the limit
    std::function<void(httplib::Request&)> prepare{}; ///< called for each request before routing
};

/// `socket_server` adds this prefix to the names of headers that the library must not interpret.
constexpr std::string_view raw_prefix = "X-Raw-";

/// Listens from `start` until `close_idle`, `abort_connections` or `stop_gracefully`. Register
/// handlers before `start`.
class socket_server : public httplib::Server {
public:
    explicit socket_server(socket_server_options options);
    ~socket_server() override;

    /// Binds the address and serves on a new thread; false if it cannot be bound or listened on.
    bool start();
    /// Makes answers announce the close of their connection, unless a further request has arrived
    /// there already. Never blocks.
    void start_draining() { stopping_ = true; }
    /// Stops accepting connections and closes the idle ones. Never blocks.
    void close_idle();
    /// Waits until all connections are closed; false if some are open at `deadline`.
    bool wait_until_closed(time_point deadline);
    /// Stops listening and shuts down all connections at once. May be called in a handler.
    void abort_connections();
    /// Waits for the threads after `close_idle` or `abort_connections`. Not allowed in a handler.
    void join();
    /// Closes idle connections, lets running requests finish and joins the threads. Not allowed in
    /// a handler.
    void stop_gracefully();
    /// True once a stop has begun.
    bool is_stopping() const { return stopping_; }

    /// The address with the real port.
    endpoint address() const;
    /// Open connections.
    std::size_t open_connections() const;
    /// True if the peer of this thread's request has closed its connection. A FIN alone may be a
    /// half close of a peer that still reads. So after a FIN, every other call sends an interim
    /// response as a probe and returns false; the call after it sees the reset by a closed peer. An
    /// HTTP/1.0 peer gets no probe and counts as closed at its FIN. Not allowed after the final
    /// response has begun.
    static bool peer_disconnected();
    /// True if the connection of this thread's request is broken. Sends nothing, so it is allowed
    /// at any time; a peer that has closed without a reset is not noticed.
    static bool peer_reset();
    /// Waits up to `time` for a FIN, a reset or an error of this thread's connection; false if it
    /// sees none.
    static bool wait_for_disconnect(duration time);
    /// Closes the connection of this thread's request after its answer, which announces the close.
    /// The server does so itself during a stop, and if the request was not read to its end.
    static void close_after_answer(httplib::Response& res);
    /// Makes reads of this thread's request fail after `it`.
    static void set_request_read_deadline(time_point it);
    /// Shuts down the connection of this thread's request at once, in both directions.
    static void abort_connection();

private:
    bool process_and_close_socket(socket_t sock) override;
    bool add_connection(socket_t sock);
    bool must_close() const;
    bool wait_for_request(socket_t sock) const;
    void serve(socket_t sock);
    void remove_connection(socket_t sock);
    void stop_listening();

    socket_server_options options_;
    socket_t listener_ = INVALID_SOCKET;
    int port_ = 0;
    std::thread thread_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> closed_ = false;
    int close_fd_ = -1; ///< readable once idle connections are to be closed
    mutable std::mutex mutex_;
    std::condition_variable connection_closed_;
    std::unordered_set<socket_t> connections_;
    std::atomic<bool> is_aborted_ = false; ///< no connection or request is accepted any more
};

} // namespace jasminebank
