#include "call_deadlines.h"

#include "system_clock.h"

#include <algorithm>

namespace jasminebank {

call_deadlines::call_deadlines() : thread_([this] { run(); }) {}

call_deadlines::~call_deadlines()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

// Only the first of several calls wakes the thread; it then looks often enough for all.
call_deadlines::guard::guard(call_deadlines& owner, httplib::Client& client, time_point deadline)
    : owner_(owner)
{
    const std::lock_guard lock(owner.mutex_);
    owner.entries_.push_front({.client = &client, .deadline = deadline});
    place_ = owner.entries_.begin();
    if (owner.entries_.size() == 1)
        owner.changed_.notify_all();
}

call_deadlines::guard::~guard()
{
    const std::lock_guard lock(owner_.mutex_);
    owner_.entries_.erase(place_);
}

// Breaks off again and again: a client that is just connecting does not notice the first time.
void call_deadlines::run()
{
    constexpr duration tick = std::chrono::milliseconds(20);
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (entries_.empty())
            changed_.wait(lock, [&] { return stopping_ || !entries_.empty(); });
        else
            changed_.wait_for(lock, tick, [&] { return stopping_; });
        const time_point now = boot_now();
        for (const entry& it : entries_)
            if (it.deadline <= now)
                it.client->stop();
    }
}

} // namespace jasminebank
