#pragma once

// A TCP server whose bytes the test writes itself, for answers that no HTTP library would send.

#include "endpoint.h"
#include "types.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace jasminebank {

/// One connection after its request's head has come.
class raw_connection {
public:
    raw_connection(int sock, time_point deadline, std::atomic<std::size_t>& sent);

    /// Sends all of `text`; false once the peer has closed, or held the connection for too long.
    bool send(std::string_view text);
    /// Sends `text` again and again, with a pause after `fast_bytes`, until the peer closes.
    void send_repeatedly(std::string_view text, std::size_t unpaced_bytes);
    bool has_timed_out() const { return has_timed_out_; }

private:
    int sock_;
    time_point deadline_;
    std::atomic<std::size_t>& sent_;
    bool has_timed_out_ = false;
};

/// Answers each request with what `answer` sends, on a thread for each connection, and closes.
class raw_server {
public:
    using handler = std::function<void(raw_connection&)>;

    /// A connection that the peer does not close within `patience` is closed here.
    raw_server(const std::string& host, duration connection_timeout, handler handle);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    endpoint address() const { return address_; }
    std::size_t bytes_sent() const { return sent_; }
    std::size_t requests() const { return requests_; }
    /// Connections that had to be closed here.
    std::size_t timed_out_connections() const { return timed_out_connections_; }

private:
    void accept_all();
    void serve(int sock);

    duration connection_timeout_;
    handler handler_;
    endpoint address_;
    int listener_ = -1;
    std::atomic<std::size_t> sent_ = 0;
    std::atomic<std::size_t> requests_ = 0;
    std::atomic<std::size_t> timed_out_connections_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::vector<int> open_;
    std::thread acceptor_;
};

} // namespace jasminebank
