#include "cold_start.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminebank {

using namespace std::chrono_literals;

// A backend server counts the requests in any second as it receives them. Two requests may take
// different times from their starts to the server, on a busy VM by some tens of milliseconds.
constexpr duration window = 1s + 50ms;
// Wait while no request may start. Longer than the deadline of any request, and short enough to be
// added to a time.
constexpr duration no_start = 24h;

static std::size_t whole_requests(double it)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(it)));
}

cold_start_bounds cold_start_bounds_for(double rate, duration warm_up,
                                        const cold_start_tolerance& tolerance)
{
    const std::size_t warm = whole_requests(rate * tolerance.over + tolerance.slack);
    return {.cold = std::min(whole_requests(rate), warm), .warm = warm, .warm_up = warm_up};
}

void cold_start_limit::met(time_point now)
{
    opens_ = now + window;
}

void cold_start_limit::announced(duration warm_up, time_point now)
{
    if (warm_up > duration::zero())
        cold_until_ = now + warm_up;
    else if (cold_left(now) > duration::zero())
        cold_until_ = now;
}

void cold_start_limit::assume_cold(time_point now)
{
    if (bounds_ && bounds_->warm_up > cold_left(now))
        cold_until_ = now + bounds_->warm_up;
}

duration cold_start_limit::cold_left(time_point now) const
{
    return cold_until_ ? std::max(*cold_until_ - now, duration::zero()) : duration::zero();
}

std::optional<std::size_t> cold_start_limit::limit(time_point now) const
{
    if (!bounds_)
        return std::nullopt;
    if (cold_left(now) > duration::zero())
        return bounds_->cold;
    if (!cold_until_ || now - *cold_until_ >= bounds_->warm_up)
        return bounds_->warm;
    const std::chrono::duration<double> since = now - *cold_until_;
    const double grown = static_cast<double>(bounds_->warm - bounds_->cold) *
                         (since / std::chrono::duration<double>(bounds_->warm_up));
    return bounds_->cold + static_cast<std::size_t>(grown);
}

// Index of the first start that is in the window at `now`.
std::size_t cold_start_limit::first_in_window(time_point now) const
{
    const auto it = std::upper_bound(starts_.begin(), starts_.end(), now - window);
    return static_cast<std::size_t>(it - starts_.begin());
}

void cold_start_limit::started(time_point now)
{
    assert(may_start(now));
    const time_point at = starts_.empty() ? now : std::max(now, starts_.back());
    starts_.erase(starts_.begin(),
                  starts_.begin() + static_cast<std::ptrdiff_t>(first_in_window(at)));
    starts_.push_back(at);
}

// A start needs that the one `limit` starts before it has left the window. Of `count` starts in a
// row, the first `limit` wait for starts of the past, and each further one for the start of this
// row that is `limit` places before it.
duration cold_start_limit::wait_for(std::size_t count, time_point now) const
{
    assert(count > 0);
    const std::optional<std::size_t> most = limit(now);
    if (!most)
        return duration::zero();
    if (*most == 0)
        return no_start;
    const std::size_t whole_windows = (count - 1) / *most;
    const std::size_t place = (count - 1) % *most; // within the last, incomplete window
    const std::size_t end = starts_.size() + place + 1;
    time_point at = std::max(now, opens_);
    if (end > *most)
        at = std::max(at, starts_[end - *most - 1] + window);
    return at - now + window * static_cast<duration::rep>(whole_windows);
}

double cold_start_limit::cold_load(time_point now) const
{
    const std::optional<std::size_t> most = limit(now);
    if (!most || *most >= bounds_->warm)
        return 0;
    return static_cast<double>(starts_.size() - first_in_window(now)) / static_cast<double>(*most);
}

} // namespace jasminebank
