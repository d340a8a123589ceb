#include "returned_requests.h"

namespace jasminebank {

// Between two passes over all entries; callers return within seconds.
constexpr duration cleanup_interval = std::chrono::seconds(1);

returned_requests::returned_requests(const returned_requests_options& options) : options_(options)
{
}

void returned_requests::erase_expired(time_point now)
{
    if (now < next_cleanup_)
        return;
    next_cleanup_ = now + cleanup_interval;
    std::erase_if(expiries_, [now](const auto& it) { return it.second <= now; });
}

void returned_requests::refused(const request_fingerprint& it, time_point expires, time_point now)
{
    erase_expired(now);
    if (expires > now && expiries_.size() < options_.max_requests)
        expiries_.emplace(it, expires);
}

bool returned_requests::take(const request_fingerprint& it, time_point now)
{
    erase_expired(now);
    for (auto found = expiries_.find(it); found != expiries_.end() && found->first == it;) {
        const bool is_valid = found->second > now;
        found = expiries_.erase(found);
        if (!is_valid)
            continue;
        ++returned_;
        return true;
    }
    return false;
}

} // namespace jasminebank
