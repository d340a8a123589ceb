#pragma once

// CBOR encoding of the victim lists that nodes exchange.

#include "poison_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

std::string encode_victims(const std::vector<poison_victim>& victims);

/// Decodes a list; nothing if the text is malformed or a remaining time is not in 0..1 h.
std::optional<std::vector<poison_victim>> decode_victims(std::string_view text);

} // namespace jasminebank
