#include "token_bucket.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

__extension__ using wide = __int128;

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

} // namespace

// After a reduction of the burst, tokens issued before it may exceed the new burst. The bucket must
// then be empty.
void token_bucket::check_invariant() const
{
    assert(tokens_ >= 0 && outstanding_ >= 0);
    assert(tokens_ == 0 || tokens_ + outstanding_ <= part_.burst);
}

micro_tokens token_bucket::headroom() const
{
    return std::max<micro_tokens>(0, part_.burst - tokens_ - outstanding_);
}

// A full bucket also drops the carried fraction of a token. The fraction thus always fits under the
// burst, and even a window of one nanosecond can't exceed its bound.
void token_bucket::accrue(time_point now)
{
    if (now <= accrued_until_)
        return;
    const wide gain = wide(part_.rate) * (now - accrued_until_).count() + carry_;
    accrued_until_ = now;
    const wide whole = gain / nanoseconds_per_second;
    if (whole >= headroom()) {
        tokens_ += headroom();
        carry_ = 0;
    }
    else {
        tokens_ += static_cast<micro_tokens>(whole);
        carry_ = static_cast<std::int64_t>(gain % nanoseconds_per_second);
    }
    check_invariant();
}

void token_bucket::issue(micro_tokens amount)
{
    assert(amount >= 0 && amount <= tokens_);
    tokens_ -= amount;
    outstanding_ += amount;
    check_invariant();
}

// Accrues first: until now, the outstanding tokens reduced the headroom.
void token_bucket::remove_outstanding(micro_tokens amount, time_point now)
{
    accrue(now);
    assert(amount >= 0 && amount <= outstanding_);
    outstanding_ -= amount;
    check_invariant();
}

// Returned tokens that exceed the headroom after a reduction of the burst are dropped.
void token_bucket::return_unspent(micro_tokens amount, time_point now)
{
    remove_outstanding(amount, now);
    add_capped(amount);
}

micro_tokens token_bucket::add_capped(micro_tokens amount)
{
    assert(amount >= 0);
    const micro_tokens taken = std::min(amount, headroom());
    tokens_ += taken;
    if (headroom() == 0)
        carry_ = 0;
    check_invariant();
    return taken;
}

void token_bucket::set_part(rate_part part, time_point now)
{
    accrue(now);
    part_ = part;
    tokens_ = std::clamp<micro_tokens>(part.burst - outstanding_, 0, tokens_);
    carry_ = 0;
    check_invariant();
}

// An estimate from the rate alone. Outstanding tokens may block accrual, but not for longer than
// the lifetime of a grant.
duration token_bucket::time_until(micro_tokens amount) const
{
    if (amount <= tokens_)
        return duration::zero();
    if (part_.rate == 0 || amount > part_.burst)
        return duration::max();
    const wide missing = wide(amount - tokens_) * nanoseconds_per_second - carry_;
    const wide wait = (missing + part_.rate - 1) / part_.rate;
    return duration(static_cast<std::int64_t>(wait));
}

} // namespace jasminebank
