#pragma once

// Links between nodes. One hub a process: one thread owns every socket and nghttp2 session, and all
// other threads talk to it through a bounded queue.
//
// A link is one TCP connection with cleartext HTTP/2, opened by the end that has requests to send
// and reused for all requests to that endpoint. Its ends prove the fleet key to each other before
// any stream runs. The links are not encrypted: who can read or change the traffic between the VMs
// can read or change what is on them.

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
    /// Listens and starts the thread; nothing if the address cannot be had.
    static std::unique_ptr<link_hub> start(link_options options);
    /// Stops.
    ~link_hub();
    link_hub(const link_hub&) = delete;
    link_hub& operator=(const link_hub&) = delete;

    /// The address that peers connect to.
    const endpoint& local() const { return local_; }

    /// Opens a request stream; with `ends`, the request has no body. Never blocks: a failure to
    /// connect shows as `not_sent` from the stream's calls.
    std::shared_ptr<link_stream> open(const endpoint& peer, message_head head, bool ends);

    /// Sends a control message; `path` starts with "/control/". `done` runs once on the hub's
    /// thread with the answer or the failure, at most about 50 ms after the timeout. False, and
    /// `done` never runs, when the hub is stopped, too much waits, or the message is malformed.
    [[nodiscard]] bool call(const endpoint& peer, std::string path, std::string payload,
                            duration timeout, control_callback done);

    /// Planned stop, first part: takes no new connections and, after a short notice, no new streams
    /// from peers. What runs goes on, and this side may still open streams and send control
    /// messages.
    void drain();
    /// True once no stream of any kind is open and, after `drain`, every peer has closed its link
    /// to this side, which shows that it has all its answers. Waits until `deadline`.
    bool wait_idle(time_point deadline);
    /// Ends all links at once; every open stream and call ends with an error. May be called again;
    /// not from the hub's thread.
    void stop();

    /// For trials: holds back the bytes of one direction without closing, as a network that
    /// delivers nothing. `peer` is a VM name or "host:port" of an endpoint that this side connects
    /// to. While any direction is cut, no new connection to the endpoint comes about.
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
