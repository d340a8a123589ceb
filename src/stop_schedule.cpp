#include "stop_schedule.h"

namespace jasminebank {

// The end of the grace is left for writing the last answers and leaving the fleet: a tenth, in
// which a VM with a tenth of a core gets some 10 ms of it for each second of the grace.
constexpr int last_part = 10;
constexpr duration longest_last_part = std::chrono::seconds(1);

stop_schedule plan_stop(time_point now, duration grace, duration closing_grace)
{
    const duration last = std::min(grace / last_part, longest_last_part);
    stop_schedule out;
    out.end = now + grace;
    out.closing = now + std::min(closing_grace, grace / 2);
    out.last_answer = out.end - last;
    out.cut = out.end - last / 2;
    return out;
}

void stop_clock::begin(time_point last_answer)
{
    time_point never = time_point::max();
    last_answer_.compare_exchange_strong(never, last_answer);
}

} // namespace jasminebank
