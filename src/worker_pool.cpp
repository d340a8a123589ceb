#include "worker_pool.h"

namespace jasminebank {

constexpr std::size_t thread_stack_bytes = 256UL * 1024;

worker_pool::worker_pool(worker_pool_options options) : options_(options) {}

worker_pool::~worker_pool()
{
    stop();
}

bool worker_pool::start_worker()
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, thread_stack_bytes);
    pthread_t it{};
    const bool started = pthread_create(&it, &attributes, thread_main, this) == 0;
    pthread_attr_destroy(&attributes);
    if (started)
        threads_.push_back(it);
    return started;
}

// Starts a thread only if no idle one is free for the job. The job waits only if no further thread
// can be started.
bool worker_pool::submit(std::function<void()> job)
{
    const std::lock_guard lock(mutex_);
    if (stopping_)
        return false;
    bool has_thread = idle_ > jobs_.size();
    if (!has_thread && threads_.size() < options_.max_threads)
        has_thread = start_worker();
    const bool may_wait = !threads_.empty() && jobs_.size() < options_.max_waiting_jobs + idle_;
    if (!has_thread && !may_wait)
        return false;
    jobs_.push_back(std::move(job));
    job_available_.notify_one();
    return true;
}

void worker_pool::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    job_available_.notify_all();
    for (pthread_t it : threads_)
        pthread_join(it, nullptr);
    threads_.clear();
}

void* worker_pool::thread_main(void* pool)
{
    static_cast<worker_pool*>(pool)->run_jobs();
    return nullptr;
}

void worker_pool::run_jobs()
{
    std::unique_lock lock(mutex_);
    while (true) {
        ++idle_;
        job_available_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
        --idle_;
        if (jobs_.empty())
            return;
        const std::function<void()> job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace jasminebank
