#pragma once

// The one place where the time of the machine is read.

#include "types.h"

namespace jasminebank {

/// CLOCK_BOOTTIME now. Not for decision objects: they are given the time.
time_point boot_now();

} // namespace jasminebank
