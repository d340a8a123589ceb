#pragma once

// A thread pool for blocking work, which must not run on the event loop of the links. Threads are
// started on demand, up to a maximum, and have small stacks.

#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace jasminebank {

struct worker_pool_options {
    std::size_t max_threads = 64;       ///< started on demand
    std::size_t max_waiting_jobs = 256; ///< beyond this, `submit` fails
};

class worker_pool {
public:
    explicit worker_pool(worker_pool_options options);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Runs `job` on a thread of the pool. Never waits for one; false if too many jobs are waiting
    /// or the pool has been stopped.
    bool submit(std::function<void()> job);
    /// Runs all waiting jobs, then joins all threads.
    void stop();

private:
    static void* thread_main(void* pool);
    void run_jobs();
    bool start_worker();

    const worker_pool_options options_;
    std::mutex mutex_;
    std::condition_variable job_available_;
    std::deque<std::function<void()>> jobs_;
    std::vector<pthread_t> threads_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace jasminebank
