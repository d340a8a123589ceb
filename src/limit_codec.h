#pragma once

// Encoding of the rate limit messages: MessagePack arrays of integers. Times are sent in whole
// milliseconds; lifetimes are rounded down, which can only end them earlier.

#include "limit_messages.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Encodes one message into 4 to 40 bytes.
std::string encode_limit_message(const limit_message& it);

/// Decodes one message; nothing if it is malformed or a value is out of its range.
std::optional<limit_message> decode_limit_message(std::string_view text);

/// Maximum number of messages in a batch, which is the payload of one call or reply.
constexpr std::size_t max_limit_batch = 4096;

/// Encodes a batch: each message follows a byte that holds its length. Messages beyond
/// max_limit_batch are left out.
std::string encode_limit_batch(std::span<const limit_message> messages);

/// Decodes a batch; nothing if any message is malformed or there are more than max_limit_batch.
std::optional<std::vector<limit_message>> decode_limit_batch(std::string_view text);

} // namespace jasminebank
