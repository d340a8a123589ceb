#pragma once

// A TCP server that sends bytes chosen by the test, for answers that no HTTP library would send.

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

/// A connection on which the head of a request has been received.
class raw_connection {
public:
    raw_connection(int sock, time_point deadline, std::atomic<std::size_t>& sent, std::string head);

    /// Of the last request.
    const std::string& head() const { return head_; }

    /// Waits for the head of a further request; false if the peer has closed the connection or the
    /// deadline has passed. No body may follow the head.
    bool receive_head();
    /// Sends all of `text`; false if the peer has closed the connection or the deadline has passed.
    bool send(std::string_view text);
    /// Sends `text` repeatedly until `send` fails, pausing each time after `unpaced_bytes`.
    void send_repeatedly(std::string_view text, std::size_t unpaced_bytes);
    /// Discards what arrives until nothing has arrived for `quiet`; returns the number of bytes.
    std::size_t discard_until_quiet(duration quiet);
    /// Closes the sending direction only: the peer reads the end, and may still write.
    void end_sending();
    /// Makes the close of the connection a reset.
    void reset_on_close();
    /// Whether `send` failed because the deadline had passed.
    bool has_timed_out() const { return has_timed_out_; }

private:
    int sock_;
    time_point deadline_;
    std::atomic<std::size_t>& sent_;
    std::string head_;
    bool has_timed_out_ = false;
};

/// Runs the handler once per connection, after the head of a request, and closes the connection.
/// Each connection has its own thread.
class raw_server {
public:
    using handler = std::function<void(raw_connection&)>;

    /// Sends fail `connection_timeout` after the head of a request; then the handler should return.
    raw_server(const std::string& host, duration connection_timeout, handler handle);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    endpoint address() const { return address_; }
    std::size_t bytes_sent() const { return sent_; }
    std::size_t requests() const { return requests_; }
    /// Connections that the peer did not close within `connection_timeout`.
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
