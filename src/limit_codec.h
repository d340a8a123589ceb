#pragma once

// Messages of the limits on the wire: MessagePack arrays of whole numbers. Times are whole
// milliseconds, rounded down, which only ends a life earlier.

#include "limit_messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One message; 4 to 40 bytes.
std::string encode_limit_message(const limit_message& it);

/// Reads one message; nothing if it is malformed or a value is out of its range.
std::optional<limit_message> decode_limit_message(std::string_view text);

/// Messages of one payload at most.
constexpr std::size_t max_limit_batch = 4096;

/// Several messages, each after a byte that tells its length; those past the bound are left out.
std::string encode_limit_batch(std::span<const limit_message> messages);

/// Reads them; nothing if any is malformed or there are too many.
std::optional<std::vector<limit_message>> decode_limit_batch(std::string_view text);

} // namespace jasminebank
