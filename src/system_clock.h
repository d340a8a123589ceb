#pragma once

// Reads the machine's boot-time clock.

#include "types.h"

namespace jasminebank {

/// Returns the current CLOCK_BOOTTIME. Not for time-dependent logic, which gets the time as a
/// parameter.
time_point boot_now();

} // namespace jasminebank
