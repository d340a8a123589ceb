#pragma once

// Limits how many requests the stand-in backend server (fake_backend) runs at once (its
// slots) and how many wait for a slot. The gate uses slot_queue instead, which also shares the
// slots between organisations.

#include "types.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace jasminebank {

/// Result of acquiring a slot.
enum class slot_result : std::uint8_t {
    granted, ///< call `release` when done
    shed,    ///< all slots are in use and the maximum number of requests waits
    expired, ///< no slot was granted within the timeout
};

/// Thread-safe. Waiting requests are served in no particular order.
class concurrency_limiter {
public:
    concurrency_limiter(std::size_t slots, std::size_t max_waiting)
        : slots_(slots), max_waiting_(max_waiting)
    {
    }

    /// Waits for a slot for at most `timeout`.
    slot_result acquire(duration timeout);
    void release();

    std::size_t running() const;
    /// Running and waiting requests divided by slots; above 1 if some wait while all slots are in
    /// use.
    double load() const;
    /// Waits for at most `timeout` until no request runs or waits; false if some still do.
    bool wait_until_idle(duration timeout);

private:
    std::size_t slots_;
    std::size_t max_waiting_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable freed_;
};

} // namespace jasminebank
