#pragma once

// The bounded queue of the hub, the event loop whose thread (the owner thread) owns all links:
// commands to run, and streams on which a worker thread has requested an action.

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jasminebank {

class stream_state;

/// Any thread may post; the owner thread takes. Shared ownership lets the queue outlive the hub, so
/// that a post after the hub's end is safe.
class link_queue {
public:
    using command = std::function<void()>;

    /// The contents that the owner thread takes in one iteration.
    struct batch {
        std::vector<command> commands;
        std::vector<std::shared_ptr<stream_state>> streams;
    };

    explicit link_queue(std::size_t max_commands);
    ~link_queue();
    link_queue(const link_queue&) = delete;
    link_queue& operator=(const link_queue&) = delete;

    /// False when the queue is full or closed; `it` is then discarded without being run.
    bool post(command it);
    /// Makes the owner thread process the stream's pending work. Needs no limit of its own: a
    /// stream schedules itself only once until that work has been taken, so the number of streams
    /// is the bound.
    void schedule(std::shared_ptr<stream_state> it);
    /// Removes and returns everything queued, and makes `wake_fd` unreadable.
    batch take();
    /// Adds a last command, even to a full queue, and closes the queue.
    void post_last(command it);
    /// Event descriptor that is readable while the queue is not empty.
    int wake_fd() const { return wake_fd_; }

private:
    void wake();

    std::size_t max_commands_;
    int wake_fd_ = -1;
    std::mutex mutex_;
    batch waiting_;
    bool is_woken_ = false;
    bool is_closed_ = false;
};

} // namespace jasminebank
