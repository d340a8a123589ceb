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
    is_leaving_ = true;
    ready_since_.reset();
}

void notice_record::announced(bool is_draining, time_point now)
{
    if (is_draining) {
        ready_since_.reset();
        return;
    }
    if (!ready_since_)
        ready_since_ = now;
    is_leaving_ = is_leaving_ && now - *ready_since_ < min_ready_time;
}

void notice_record::reported(const server_notice& it)
{
    is_leaving_ |= it.is_leaving && !has_answer_;
    if (!has_answer_)
        max_rate_ = it.max_rate;
}

} // namespace jasminebank
