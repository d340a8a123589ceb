#include "system_clock.h"

#include <ctime>

namespace jasminebank {

time_point boot_now()
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point(std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec));
}

} // namespace jasminebank
