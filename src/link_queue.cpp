#include "link_queue.h"

#include "stream_state.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cassert>
#include <utility>

namespace jasminebank {

link_queue::link_queue(std::size_t max_commands)
    : max_commands_(max_commands), wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    assert(wake_fd_ >= 0);
}

link_queue::~link_queue()
{
    close(wake_fd_);
}

bool link_queue::post(command it)
{
    const std::lock_guard lock(mutex_);
    if (is_closed_ || waiting_.commands.size() >= max_commands_)
        return false;
    waiting_.commands.push_back(std::move(it));
    wake();
    return true;
}

void link_queue::schedule(std::shared_ptr<stream_state> it)
{
    const std::lock_guard lock(mutex_);
    if (is_closed_)
        return;
    waiting_.streams.push_back(std::move(it));
    wake();
}

link_queue::batch link_queue::take()
{
    const std::lock_guard lock(mutex_);
    if (is_woken_) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t n = read(wake_fd_, &count, sizeof count);
        is_woken_ = false;
    }
    return std::exchange(waiting_, {});
}

void link_queue::post_last(command it)
{
    const std::lock_guard lock(mutex_);
    is_closed_ = true;
    waiting_.commands.push_back(std::move(it));
    wake();
}

// Writes the event descriptor only if it is not readable yet, so that any number of posts within
// one iteration of the owner thread costs one system call.
void link_queue::wake()
{
    if (is_woken_)
        return;
    is_woken_ = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wake_fd_, &one, sizeof one);
}

} // namespace jasminebank
