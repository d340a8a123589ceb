#pragma once

// Mandate records as JSON: in the store, where operators may read them, and between nodes when an
// earlier holder tells that it has stopped.

#include "limit_mandate.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

std::string encode_mandate(const mandate_record& it);
/// Nothing if the text is malformed or a value is out of its range.
std::optional<mandate_record> decode_mandate(std::string_view text);

/// An earlier holder of a shard that has stopped for good.
struct retirement {
    std::uint32_t shard = 0;
    past_mandate past;
};

std::string encode_retirement(const retirement& it);
std::optional<retirement> decode_retirement(std::string_view text);

} // namespace jasminebank
