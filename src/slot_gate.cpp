#include "slot_gate.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

slot_answer slot_gate::acquire(duration patience)
{
    std::unique_lock lock(mutex_);
    if (running_ < slots_ && waiting_ == 0) {
        ++running_;
        return slot_answer::granted;
    }
    if (waiting_ >= places_)
        return slot_answer::shed;
    ++waiting_;
    const bool free = freed_.wait_for(lock, patience, [this] { return running_ < slots_; });
    --waiting_;
    if (!free)
        return slot_answer::expired;
    ++running_;
    return slot_answer::granted;
}

void slot_gate::release()
{
    const std::lock_guard lock(mutex_);
    assert(running_ > 0);
    --running_;
    freed_.notify_all();
}

std::size_t slot_gate::running() const
{
    const std::lock_guard lock(mutex_);
    return running_;
}

double slot_gate::load() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<double>(running_ + waiting_) /
           static_cast<double>(std::max<std::size_t>(slots_, 1));
}

bool slot_gate::wait_until_idle(duration patience)
{
    std::unique_lock lock(mutex_);
    return freed_.wait_for(lock, patience, [this] { return running_ + waiting_ == 0; });
}

} // namespace jasminebank
