#pragma once

// Thread pool with small stacks for an HTTP server whose handlers may block for a long time.

#include <httplib.h>
#include <pthread.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace jasminebank {

/// Adds a thread whenever all threads are busy, up to `max_threads`; further tasks are queued.
class thread_queue final : public httplib::TaskQueue {
public:
    explicit thread_queue(std::size_t max_threads);
    thread_queue(const thread_queue&) = delete;
    thread_queue& operator=(const thread_queue&) = delete;
    ~thread_queue() override = default;

    void enqueue(std::function<void()> task) override;
    /// Runs the queued tasks, then joins the threads.
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
