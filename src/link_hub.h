#pragma once

// Links between nodes. Each process has one hub: one thread owns every socket and nghttp2 session,
// and all other threads send it commands through a bounded queue.
//
// A link is one TCP connection with cleartext HTTP/2, opened by the end that has requests to send
// and reused for all requests to that endpoint. Both ends authenticate with the fleet key before
// any other stream is accepted. Links are not encrypted: anyone who can read or change the traffic
// between the VMs can read or change the requests and answers.

#include "endpoint.h"
#include "link_options.h"
#include "link_stream.h"
#include "stream_state.h"

#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jasminebank {

class link_loop;

/// The links of one process. All functions may be called from any thread.
class link_hub {
public:
    /// Binds the listening socket and starts the thread; null if binding or listening fails.
    static std::unique_ptr<link_hub> start(link_options options);
    ~link_hub();
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    /// The address that this hub listens on.
    const endpoint& local() const { return local_; }

    /// Opens a request stream; if `ends` is true, the request has no body. Never blocks: when
    /// connecting fails, the stream's functions return `not_sent`.
    std::shared_ptr<link_stream> open(const endpoint& peer, message_head head, bool ends);

    /// Sends a control message; `path` must start with "/control/". `done` runs once on the hub's
    /// thread with the response or the error, at most about 50 ms after the timeout. Returns false,
    /// without ever calling `done`, when the hub is stopped, its queue is full, or the message is
    /// malformed or too large.
    [[nodiscard]] bool call(const endpoint& peer, std::string path, std::string payload,
                            duration timeout, control_callback done);

    /// First step of a planned stop: accepts no new connections and, after
    /// `link_options::drain_notice`, no new streams from peers. Open streams continue, and this
    /// side may still open streams and send control messages.
    void drain();
    /// Waits until no stream of any kind is open and, after `drain`, every peer has closed its link
    /// to this side, which shows that it has received all its responses. False when `deadline`
    /// passes first.
    bool wait_idle(time_point deadline);
    /// Closes all links immediately; every open stream and call ends with an error. May be called
    /// repeatedly, but not from the hub's thread.
    void stop();

    /// For tests and fault injection: simulates a network that drops all packets of `direction`,
    /// without closing the connection. `peer` is a VM name or the "host:port" of an endpoint that
    /// this side connects to. While either direction is cut, no new connection to that endpoint is
    /// established.
    void set_cut(const std::string& peer, cut_direction direction);

    const link_counters& counters() const { return *counters_; }

private:
    link_hub(link_options options, int listen_fd, endpoint local);

    endpoint local_;
    stream_limits limits_;
    std::size_t max_control_bytes_;
    std::shared_ptr<link_queue> queue_;
    std::shared_ptr<link_counters> counters_;
    std::unique_ptr<link_loop> loop_;
    std::mutex stop_mutex_;
    std::thread thread_;
};

} // namespace jasminebank
