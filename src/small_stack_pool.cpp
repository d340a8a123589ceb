#include "small_stack_pool.h"

namespace jasminebank {

constexpr std::size_t stack_bytes = 256UL * 1024;

small_stack_pool::small_stack_pool(std::size_t threads) : limit_(threads) {}

// A worker is started only when no idle one can take the job. Without that, a pool of 400 would
// cost its threads on every start, also in tests that open one connection.
void small_stack_pool::enqueue(std::function<void()> fn)
{
    std::unique_lock lock(mutex_);
    room_.wait(lock,
               [this] { return stopping_ || idle_ > jobs_.size() || threads_.size() < limit_; });
    jobs_.push_back(std::move(fn));
    if (idle_ >= jobs_.size() || threads_.size() >= limit_) {
        wake_.notify_one();
        return;
    }
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    pthread_t it{};
    if (pthread_create(&it, &attributes, run_worker, this) == 0)
        threads_.push_back(it);
    pthread_attr_destroy(&attributes);
}

void small_stack_pool::shutdown()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    room_.notify_all();
    for (pthread_t it : threads_)
        pthread_join(it, nullptr);
    threads_.clear();
}

void* small_stack_pool::run_worker(void* pool)
{
    static_cast<small_stack_pool*>(pool)->work();
    return nullptr;
}

void small_stack_pool::work()
{
    std::unique_lock lock(mutex_);
    while (true) {
        ++idle_;
        room_.notify_one();
        wake_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
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
