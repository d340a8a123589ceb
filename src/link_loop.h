#pragma once

// The event loop on the thread that owns every socket and nghttp2 session of a hub.

#include "link_options.h"
#include "link_session.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// The event loop: waits for sockets, commands and timers and passes them to the sessions. All
/// functions except the constructor and destructor run on the owner thread.
class link_loop {
public:
    link_loop(link_options options, std::shared_ptr<link_queue> queue,
              std::shared_ptr<link_counters> counters, int listen_fd);
    ~link_loop();
    link_loop(const link_loop&) = delete;
    link_loop& operator=(const link_loop&) = delete;

    /// Runs until `request_stop` is called, then closes all links.
    void run();
    void request_stop() { is_stopping_ = true; }

    void open(const endpoint& peer, outgoing_stream it);
    void drain();
    void set_cut(const std::string& peer, cut_direction direction);
    /// True when no session is busy and, while draining, no peer has a link to this side.
    bool is_idle() const;

private:
    void run_turn();
    void on_event(int fd, std::uint32_t events, time_point now);
    void run_commands();
    void run_deferred();
    void run_timers(time_point now);
    void accept_all(time_point now);
    std::shared_ptr<link_session> session_to(const endpoint& peer, time_point now);
    void add(const std::shared_ptr<link_session>& it);
    void flush_sessions(time_point now);
    void watch(link_session& it);
    void remove(const std::shared_ptr<link_session>& it);
    void finish_all();
    void stop_listening();
    void watch_listener(bool is_watched);
    std::size_t unauthenticated_links() const;

    link_context context_;
    int epoll_fd_ = -1;
    int listen_fd_ = -1;
    bool is_listener_watched_ = false;
    bool is_stopping_ = false;
    bool is_drain_final_ = false;
    time_point drain_final_at_;
    time_point next_tick_;
    std::unordered_map<int, std::shared_ptr<link_session>> sessions_; ///< by socket
    std::map<std::string, std::weak_ptr<link_session>> outgoing_;     ///< by "host:port"
    std::vector<int> held_sockets_; ///< of closed sessions whose peer is under a simulated cut
};

} // namespace jasminebank
