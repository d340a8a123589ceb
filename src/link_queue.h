#pragma once

// The bounded way into the thread that owns all links: commands, and streams that want attention.

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jasminebank {

class stream_state;

/// Any thread posts, the owner thread takes. Outlives the hub, so that late posts are harmless.
class link_queue {
public:
    using command = std::function<void()>;

    /// What the owner thread takes in one turn.
    struct batch {
        std::vector<command> commands;
        std::vector<std::shared_ptr<stream_state>> streams;
    };

    explicit link_queue(std::size_t max_commands);
    ~link_queue();
    link_queue(const link_queue&) = delete;
    link_queue& operator=(const link_queue&) = delete;

    /// False when the queue is full or closed; `it` is then dropped.
    bool post(command it);
    /// Asks the owner thread to look at a stream. Bounded by the number of streams: a stream marks
    /// itself once until it has been looked at.
    void schedule(std::shared_ptr<stream_state> it);
    /// Everything waiting; also clears the wake-up.
    batch take();
    /// Refuses everything from now on, after one last command that always finds room.
    void post_last(command it);
    /// Readable while something waits.
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
