#pragma once

// cpp-httplib's server with the settings that many kept connections need: an exclusive port, a long
// backlog, TCP_NODELAY, keep-alive without a count, a bound on connections, and access to the
// socket of the request that runs on the calling thread.

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
    endpoint listen;                   ///< port 0 takes a free one
    std::size_t max_connections = 400; ///< open at once; more get `refusal` and are closed
    duration idle_timeout = std::chrono::minutes(5);  ///< kept connection without a request
    duration io_timeout = std::chrono::seconds(30);   ///< one read or write
    duration head_timeout = std::chrono::seconds(10); ///< from first byte to the end of the head
    std::size_t max_head_bytes = 64UL * 1024;         ///< request line and headers together
    duration body_timeout = std::chrono::minutes(5);  ///< from the end of the head to the body's
    std::string overload_response{}; ///< whole answer for a connection over the bound
    std::function<void(httplib::Request&)> prepare{}; ///< sees each request before it is routed
};

/// Prefix of the headers that the library would act upon; `socket_server` puts them aside under it.
constexpr std::string_view raw_prefix = "X-Raw-";

/// A server that listens from `start` to `stop`. Register handlers before `start`.
class socket_server : public httplib::Server {
public:
    explicit socket_server(socket_server_options options);
    ~socket_server() override;

    /// Binds and serves on a thread of its own; false when the address cannot be had.
    bool start();
    /// From now on answers say "Connection: close". Never blocks.
    void start_draining() { stopping_ = true; }
    /// Takes no more connections and ends those on which no request has come. Never blocks.
    void close_idle();
    /// Waits until every connection has ended, at most until `deadline`; true when none is left.
    bool wait_until_closed(time_point deadline);
    /// Closes the listening socket and cuts all connections at once. Fit for a handler.
    void abort_connections();
    /// Waits for the threads of a server that was told to close. Not from a handler.
    void join();
    /// Ends idle connections, lets requests that run finish, and joins. Not from a handler.
    void stop_gracefully();
    /// True once a stop has begun.
    bool is_stopping() const { return stopping_; }

    /// The address with the real port.
    endpoint address() const;
    /// Open connections.
    std::size_t open_connections() const;
    /// True once the peer of this thread's request has closed its connection. After a FIN each
    /// second call only asks, with an interim response, and the next one tells: a peer that ended
    /// its sending side alone is still there. Not once the final response has begun.
    static bool peer_disconnected();
    /// Waits for `time`, or less when the peer leaves; true when it left.
    static bool wait_for_disconnect(duration time);
    /// Ends the connection of this thread's request after its answer, which says so.
    static void close_after_answer(httplib::Response& res);
    /// No byte of this thread's request is read after `it`: the library's reader then fails.
    static void set_request_read_deadline(time_point it);
    /// Cuts the connection of this thread's request.
    static void abort_connection();

private:
    bool process_and_close_socket(socket_t sock) override;
    bool add_connection(socket_t sock);
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
    int close_fd_ = -1; ///< readable once idle connections are to end
    mutable std::mutex mutex_;
    std::condition_variable connection_closed_;
    std::unordered_set<socket_t> connections_;
    bool is_aborted_ = false; ///< new connections are refused
};

} // namespace jasminebank
