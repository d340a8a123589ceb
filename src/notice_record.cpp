#include "notice_record.h"

namespace jasminebank {

// Longer than announcements are delayed by a network partition.
constexpr duration min_ready_time = std::chrono::seconds(10);

void notice_record::answered(const server_notice& it, time_point sent, time_point now)
{
    has_answer_ = true;
    if (it.is_leaving)
        withdrawn();
    if (it.max_rate) {
        max_rate_ = it.max_rate;
        named_at_ = now;
    }
    else if (sent > named_at_) {
        max_rate_.reset();
    }
}

void notice_record::withdrawn()
{
    leaving_sequence_ = last_sequence_;
    is_leaving_ = true;
    ready_since_.reset();
}

// Announcements that were sent before the server left may arrive at any time after it, but their
// numbers are limited. Without the number at which the server left, the first one stands for it.
void notice_record::announced(bool is_draining, std::uint64_t sequence, time_point now)
{
    last_sequence_ = sequence;
    if (is_draining) {
        ready_since_.reset();
        return;
    }
    if (!ready_since_)
        ready_since_ = now;
    if (is_leaving_ && leaving_sequence_ == 0)
        leaving_sequence_ = sequence;
    const bool may_be_late = sequence != 0 && sequence < leaving_sequence_ + max_late_announcements;
    is_leaving_ = is_leaving_ && (may_be_late || now - *ready_since_ < min_ready_time);
}

void notice_record::reported(const server_notice& it)
{
    is_leaving_ |= it.is_leaving && !has_answer_;
    if (!has_answer_)
        max_rate_ = it.max_rate;
}

} // namespace jasminebank
