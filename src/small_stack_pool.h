#pragma once

// Worker threads for cpp-httplib's server, which holds one for each open connection.

#include "worker_pool.h"

#include <httplib.h>

#include <cstddef>
#include <functional>

namespace jasminebank {

/// At most `threads` workers with small stacks, started as they are needed. A connection that finds
/// none is served by the accepting thread: by then the server is over its bound and refuses it.
class small_stack_pool : public httplib::TaskQueue {
public:
    explicit small_stack_pool(std::size_t threads)
        : workers_({.max_threads = threads, .max_waiting_jobs = 0})
    {
    }

    void enqueue(std::function<void()> fn) override
    {
        if (!workers_.submit(fn))
            fn();
    }
    /// Joins all workers.
    void shutdown() override { workers_.stop(); }

private:
    worker_pool workers_;
};

} // namespace jasminebank
