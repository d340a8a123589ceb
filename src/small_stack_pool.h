#pragma once

// Worker threads for cpp-httplib's server, which holds one for each open connection. Their stacks
// are small, so that several hundred of them fit a small VM, and they start only when they are
// needed.

#include <httplib.h>
#include <pthread.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <vector>

namespace jasminebank {

/// At most `threads` workers. When all are busy, `enqueue` waits, and with it the accept loop: new
/// connections then stay in the kernel's bounded backlog.
class small_stack_pool : public httplib::TaskQueue {
public:
    explicit small_stack_pool(std::size_t threads);

    void enqueue(std::function<void()> fn) override;
    /// Runs what is queued and joins all workers.
    void shutdown() override;

private:
    static void* run_worker(void* pool);
    void work();

    std::size_t limit_;
    std::vector<pthread_t> threads_;
    std::list<std::function<void()>> jobs_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable room_;
};

} // namespace jasminebank
