#pragma once

// Ends HTTP calls at their deadlines. The HTTP library's timeouts are for single reads, so that a
// server which sends a byte now and then could hold a call for ever.

#include "types.h"

#include <httplib.h>

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

namespace jasminebank {

/// Thread-safe; has a thread of its own.
class call_deadlines {
    struct entry {
        httplib::Client* client = nullptr;
        time_point deadline;
    };
    using entry_list = std::list<entry>;

public:
    call_deadlines();
    call_deadlines(const call_deadlines&) = delete;
    call_deadlines& operator=(const call_deadlines&) = delete;
    ~call_deadlines();

    /// While it lives, the client's call is broken off once `deadline` has passed.
    class guard {
    public:
        guard(call_deadlines& owner, httplib::Client& client, time_point deadline);
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        ~guard();

    private:
        call_deadlines& owner_;
        entry_list::iterator place_;
    };

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    entry_list entries_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
