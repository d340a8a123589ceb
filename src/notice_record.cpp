#include "notice_record.h"

#include <algorithm>

namespace jasminebank {

// A server that does not answer within this time hangs, which is for stall_watch to judge.
constexpr duration max_first_answer_wait = std::chrono::milliseconds(1500);

void notice_record::answered(const server_notice& it, time_point sent, time_point now)
{
    has_answer_ = true;
    if (it.max_rate) {
        max_rate_ = it.max_rate;
        named_at_ = now;
    }
    else if (sent > named_at_) {
        max_rate_.reset();
    }
}

void notice_record::sent(time_point now)
{
    if (!first_sent_)
        first_sent_ = now;
}

std::uint32_t notice_record::usable_slots(std::uint32_t slots, time_point now) const
{
    const bool is_waiting = !first_sent_ || now - *first_sent_ < max_first_answer_wait;
    return is_waiting && !has_answer_ && !has_report_ ? std::min(slots, 1U) : slots;
}

void notice_record::reported(const server_notice& it)
{
    has_report_ = true;
    if (!has_answer_)
        max_rate_ = it.max_rate;
}

} // namespace jasminebank
