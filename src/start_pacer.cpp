#include "start_pacer.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

// A server that takes no requests still gets one now and then: only an answer can lift its limit.
constexpr double min_rate = 0.2;
// Keeps the conversion to micro-tokens within its range.
constexpr double max_rate = 1e9;

static rate_part part_for(double rate)
{
    const auto per_second =
        static_cast<micro_tokens>(std::clamp(rate, min_rate, max_rate) * one_token);
    return {.rate = per_second, .burst = std::max(per_second, one_token)};
}

void start_pacer::set_rate(std::optional<double> rate, time_point now)
{
    if (!rate)
        bucket_.reset();
    else if (bucket_)
        bucket_->set_part(part_for(*rate), now);
    else
        bucket_.emplace(part_for(*rate), now);
}

bool start_pacer::may_start(time_point now) const
{
    return wait_for(1, now) == duration::zero();
}

void start_pacer::started(time_point now)
{
    if (!bucket_)
        return;
    bucket_->accrue(now);
    assert(bucket_->tokens() >= one_token);
    bucket_->issue(one_token);
    bucket_->remove_outstanding(one_token, now);
}

duration start_pacer::wait_for(std::size_t count, time_point now) const
{
    if (!bucket_)
        return duration::zero();
    token_bucket it = *bucket_;
    it.accrue(now);
    const micro_tokens missing = static_cast<micro_tokens>(count) * one_token - it.tokens();
    if (missing <= 0)
        return duration::zero();
    const std::chrono::duration<double> wait(static_cast<double>(missing) /
                                             static_cast<double>(it.part().rate));
    return std::chrono::ceil<duration>(wait);
}

} // namespace jasminebank
