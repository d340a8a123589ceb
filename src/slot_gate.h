#pragma once

// The slots of a backend server: how many requests run at once, and how many may wait for a slot.

#include "types.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace jasminebank {

/// How a request came to a slot, or why not.
enum class slot_result : std::uint8_t {
    granted, ///< call `release` when done
    shed,    ///< all slots and all waiting places are taken
    expired, ///< its deadline passed while it waited
};

/// Thread-safe. Waiting requests are served in no particular order.
class concurrency_limiter {
public:
    concurrency_limiter(std::size_t slots, std::size_t max_waiting)
        : slots_(slots), max_waiting_(max_waiting)
    {
    }

    /// Waits for a slot for at most `patience`.
    slot_result acquire(duration timeout);
    void release();

    std::size_t running() const;
    /// Running and waiting requests by slots; above 1 when some wait.
    double load() const;
    /// Waits until nothing runs or waits, at most `patience`; true when idle.
    bool wait_until_idle(duration timeout);

private:
    std::size_t slots_;
    std::size_t max_waiting_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable slot_freed_;
};

} // namespace jasminebank
