#pragma once

// Wire format of the messages about idempotency keys: CBOR arrays of unsigned integers and one
// digest.

#include "once_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminebank {

/// Message from the entry node of a request to the coordinator of its idempotency key.
using claim_message = std::variant<idempotency_claim, claim_completion>;

std::string encode_claim_message(const claim_message& it);
std::string encode_claim_message(const claim_answer& it);

/// Decode one message; nullopt if it is malformed or too long, or if a value is out of range.
std::optional<claim_message> decode_claim_message(std::string_view text);
std::optional<claim_answer> decode_claim_answer(std::string_view text);

} // namespace jasminebank
