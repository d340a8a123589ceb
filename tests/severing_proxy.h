#pragma once

// A TCP proxy whose open connections can go silent for good: they stay open, and nothing that is
// sent on them arrives any more. New connections work.

#include "endpoint.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jasminebank {

class severing_proxy {
public:
    /// Forwards connections to `to`, which may be set later.
    explicit severing_proxy(const endpoint& to = {});
    ~severing_proxy();
    severing_proxy(const severing_proxy&) = delete;
    severing_proxy& operator=(const severing_proxy&) = delete;

    endpoint address() const { return address_; }
    void set_target(const endpoint& to);
    /// Silences the connections that are open now.
    void sever();
    std::size_t connections() const { return accepted_; }

private:
    struct connection {
        int near = -1;
        int far = -1;
        std::atomic<bool> is_severed = false;
    };

    void accept_all();
    void forward(const std::shared_ptr<connection>& it) const;

    endpoint address_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> accepted_ = 0;
    std::mutex mutex_;
    endpoint target_;
    std::vector<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace jasminebank
