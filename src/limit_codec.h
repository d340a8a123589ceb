#pragma once

// Messages of the limits on the wire: MessagePack arrays of whole numbers. Times are whole
// milliseconds, rounded down, which only ends a life earlier.

#include "limit_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// One message; 4 to 40 bytes.
std::string encode_limit(const limit_message& it);

/// Reads one message; nothing if it is malformed or a value is out of its range.
std::optional<limit_message> decode_limit(std::string_view text);

} // namespace jasminebank
