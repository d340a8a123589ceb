#include "concurrency_limiter.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

slot_result concurrency_limiter::acquire(duration timeout)
{
    std::unique_lock lock(mutex_);
    if (running_ < slots_ && waiting_ == 0) {
        ++running_;
        return slot_result::granted;
    }
    if (waiting_ >= max_waiting_)
        return slot_result::shed;
    ++waiting_;
    const bool free = freed_.wait_for(lock, timeout, [this] { return running_ < slots_; });
    --waiting_;
    if (!free)
        return slot_result::expired;
    ++running_;
    return slot_result::granted;
}

void concurrency_limiter::release()
{
    const std::lock_guard lock(mutex_);
    assert(running_ > 0);
    --running_;
    freed_.notify_all();
}

std::size_t concurrency_limiter::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

double concurrency_limiter::load() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<double>(running_ + waiting_) /
           static_cast<double>(std::max<std::size_t>(slots_, 1));
}

bool concurrency_limiter::wait_until_idle(duration timeout)
{
    std::unique_lock lock(mutex_);
    return freed_.wait_for(lock, timeout, [this] { return running_ + waiting_ == 0; });
}

} // namespace jasminebank
