#include "stop_schedule.h"

namespace jasminebank {

// The last tenth of the grace period is reserved for writing the last answers and leaving the
// fleet. A VM with a tenth of a core then gets about 10 ms of CPU time for each second of the grace
// period.
constexpr int shutdown_time_divisor = 10;
constexpr duration max_shutdown_time = std::chrono::seconds(1);

stop_schedule plan_stop(time_point now, duration grace, duration closing_grace)
{
    const duration shutdown_time = std::min(grace / shutdown_time_divisor, max_shutdown_time);
    stop_schedule out;
    out.end = now + grace;
    out.accept_end = now + std::min(closing_grace, grace / 2);
    out.answer_deadline = out.end - shutdown_time;
    out.disconnect = out.end - shutdown_time / 2;
    return out;
}

void stop_deadline::begin(const stop_schedule& plan)
{
    time_point never = time_point::max();
    if (answer_deadline_.compare_exchange_strong(never, plan.answer_deadline))
        accept_end_ = plan.accept_end;
}

} // namespace jasminebank
