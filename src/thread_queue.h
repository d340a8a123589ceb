#pragma once

// Worker threads for an HTTP server whose calls may wait for long, each with a small stack.

#include <httplib.h>
#include <pthread.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace jasminebank {

/// Grows by a thread whenever all are busy, up to `max_threads`; beyond that, calls wait in line.
class thread_queue final : public httplib::TaskQueue {
public:
    explicit thread_queue(std::size_t max_threads);
    thread_queue(const thread_queue&) = delete;
    thread_queue& operator=(const thread_queue&) = delete;
    ~thread_queue() override = default;

    void enqueue(std::function<void()> task) override;
    /// Runs what is in line, then ends the threads.
    void shutdown() override;

private:
    static void* run_worker(void* queue);
    void run_tasks();
    void add_thread();

    std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> tasks_;
    std::vector<pthread_t> threads_;
    std::size_t idle_threads_ = 0;
    bool stopping_ = false;
};

} // namespace jasminebank
