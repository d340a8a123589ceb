#pragma once

// JSON encoding of the messages with which nodes delegate their shares of the rate limits.

#include "limit_delegation.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

std::string encode_delegation(const delegation& it);
/// Nothing if the text is malformed. A malformed stamp is left out.
std::optional<delegation> decode_delegation(std::string_view text);

std::string encode_delegation_stamp(const delegation_stamp& it);
/// Nothing if the text is malformed.
std::optional<delegation_stamp> decode_delegation_stamp(std::string_view text);

} // namespace jasminebank
