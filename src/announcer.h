#pragma once

// Client side of service registration: a backend server posts announcements to a node at a fixed
// interval, and fails over to the next node when that one does not accept them.

#include "endpoint.h"
#include "types.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jasminebank {

/// Contents of one announcement.
struct server_announcement {
    std::string service;
    endpoint address;
    std::uint64_t slots = 0;
    bool draining = false;
    double load = 0; ///< share of the slots in use, as reported by the backend server
    std::uint64_t incarnation = 0;
    duration warm_up{}; ///< time that the backend server remains cold
};

std::string to_json(const server_announcement& it);

struct announcer_options {
    std::vector<endpoint> nodes;                 ///< in order of failover
    duration interval = std::chrono::seconds(1); ///< between two announcements
    /// For connecting, and for the request and its answer together.
    duration answer_timeout = std::chrono::seconds(1);
};

/// Posts to `/announce` from a thread of its own, immediately on start and then at each interval.
class announcer {
public:
    /// `describe` returns the present state. It is called on the announcer's thread, and on that of
    /// the caller of `announce_final`.
    announcer(announcer_options options, std::function<server_announcement()> describe);
    ~announcer();

    void start();
    /// Makes the thread post immediately, without waiting for the interval to end.
    void announce_now();
    /// Makes the thread end without a final post. Does not wait for one in progress.
    void request_stop();
    /// As `request_stop`, and waits for the thread to end.
    void stop();
    /// Posts once more, on the calling thread; true if a node accepted it. Only after `stop`.
    bool announce_final();

    /// The node that accepts the announcements at present; nothing if none does.
    std::optional<endpoint> node() const;

private:
    void run();
    bool post_once();
    bool post_to(const endpoint& node, const std::string& body) const;

    announcer_options options_;
    std::function<server_announcement()> describe_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool announce_requested_ = false;
    std::size_t current_ = 0;       // index of the node in use, or to try next
    bool accepted_ = false;         // the current node has accepted an announcement
    bool failure_reported_ = false; // it was logged that no node accepts announcements
    int failures_ = 0;              // consecutive, at the current node
};

} // namespace jasminebank
