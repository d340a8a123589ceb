#include "thread_queue.h"

#include <cassert>

namespace jasminebank {

thread_queue::thread_queue(std::size_t max_threads) : max_threads_(max_threads)
{
    assert(max_threads > 0);
}

void thread_queue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
    if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_)
        add_thread();
    changed_.notify_one();
}

// Failure to create a thread is ignored: the task is run by an existing thread.
void thread_queue::add_thread()
{
    constexpr std::size_t stack_bytes = std::size_t{512} << 10;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_t thread{};
    if (pthread_create(&thread, &attributes, run_worker, this) == 0)
        threads_.push_back(thread);
    pthread_attr_destroy(&attributes);
}

void* thread_queue::run_worker(void* queue)
{
    static_cast<thread_queue*>(queue)->run_tasks();
    return nullptr;
}

void thread_queue::run_tasks()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        ++idle_threads_;
        changed_.wait(lock, [&] { return stopping_ || !tasks_.empty(); });
        --idle_threads_;
        if (tasks_.empty())
            return;
        const auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void thread_queue::shutdown()
{
    std::vector<pthread_t> threads;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        threads.swap(threads_);
    }
    changed_.notify_all();
    for (const pthread_t it : threads)
        pthread_join(it, nullptr);
}

} // namespace jasminebank
