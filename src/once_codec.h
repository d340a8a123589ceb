#pragma once

// Messages about idempotency keys on the wire: CBOR arrays of whole numbers and one digest.

#include "once_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminebank {

/// What an entry sends to a home.
using once_request = std::variant<once_claim, once_settlement>;

std::string encode_once(const once_request& it);
std::string encode_once(const once_answer& it);

/// Read one message; nothing if it is malformed, too long, or a value is out of its range.
std::optional<once_request> decode_once_request(std::string_view text);
std::optional<once_answer> decode_once_answer(std::string_view text);

} // namespace jasminebank
