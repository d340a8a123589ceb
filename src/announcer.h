#pragma once

// How a backend server makes itself known: it posts what it is to a node at a steady interval, and
// to the next node when that one does not answer.

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

/// What one announcement says.
struct server_announcement {
    std::string service;
    endpoint address;
    std::uint64_t slots = 0;
    bool draining = false;
    double load = 0; ///< share of the slots in use, as the backend server tells it
    std::uint64_t incarnation = 0;
};

std::string to_json(const server_announcement& it);

struct announcer_options {
    std::vector<endpoint> nodes;                       ///< tried in this order
    duration interval = std::chrono::seconds(1);       ///< between two announcements
    duration answer_timeout = std::chrono::seconds(1); ///< for connecting and for the answer
};

/// Posts to `/announce` from a thread of its own, at once on start, and then at each interval.
class announcer {
public:
    /// `describe` gives the present state; it is called on the announcer's thread.
    announcer(announcer_options options, std::function<server_announcement()> describe);
    ~announcer();

    void start();
    /// Posts at once, without waiting for the next interval.
    void announce_now();
    /// Ends without a last post, and without waiting for one that is under way.
    void request_stop();
    /// The same, and waits.
    void stop();
    /// Posts once more on the calling thread; true when a node took it. Only after `stop`.
    bool announce_final();

    /// The node that took the last announcement.
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
    std::size_t current_ = 0;       // index of the node in use or tried next
    bool accepted_ = false;         // the current node took an announcement
    bool failure_reported_ = false; // that no node takes announcements
    int failures_ = 0;              // in a row, at the current node
};

} // namespace jasminebank
