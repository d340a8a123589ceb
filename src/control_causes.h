#pragma once

// Maps the paths of control messages to the causes under which their bytes are counted.

#include "traffic_account.h"

#include <string_view>

namespace jasminebank {

/// The cause of a control message and its response; `other_control` for paths without their own.
traffic_cause cause_of_path(std::string_view path);

} // namespace jasminebank
