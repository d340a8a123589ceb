#pragma once

// Messages about idempotency keys on the wire: CBOR arrays of whole numbers and one digest.

#include "once_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminebank {

/// What an entry sends to a home.
using claim_message = std::variant<idempotency_claim, claim_completion>;

std::string encode_claim_message(const claim_message& it);
std::string encode_claim_message(const claim_answer& it);

/// Read one message; nothing if it is malformed, too long, or a value is out of its range.
std::optional<claim_message> decode_claim_message(std::string_view text);
std::optional<claim_answer> decode_claim_answer(std::string_view text);

} // namespace jasminebank
