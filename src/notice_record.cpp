#include "notice_record.h"

namespace jasminebank {

void notice_record::answered(const server_notice& it, time_point sent, time_point now)
{
    if (it.max_rate) {
        max_rate_ = it.max_rate;
        named_at_ = now;
    }
    else if (sent > named_at_) {
        max_rate_.reset();
    }
}

} // namespace jasminebank
