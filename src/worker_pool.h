#pragma once

// Threads for blocking work that must not run on the thread of the links. Started as they are
// needed, up to a bound; their stacks are small.

#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace jasminebank {

struct worker_pool_options {
    std::size_t max_threads = 64;       ///< at most
    std::size_t max_waiting_jobs = 256; ///< jobs that wait for a thread, at most
};

class worker_pool {
public:
    explicit worker_pool(worker_pool_options options);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Never blocks; false when too many jobs wait or the pool has been stopped.
    bool submit(std::function<void()> job);
    /// Runs what waits and joins all threads.
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
