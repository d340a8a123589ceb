#pragma once

// Worker threads for the server of cpp-httplib, which occupies one thread per open connection.

#include "worker_pool.h"

#include <httplib.h>

#include <cstddef>
#include <functional>

namespace jasminebank {

/// At most `threads` workers with small stacks, started on demand. When all are occupied, the
/// accepting thread handles the connection itself: the server is then over its connection limit and
/// only refuses it.
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
    /// Stops and joins all workers.
    void shutdown() override { workers_.stop(); }

private:
    worker_pool workers_;
};

} // namespace jasminebank
