#pragma once

// What nodes tell each other of backend servers that died, in CBOR.

#include "poison_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

std::string encode_victims(const std::vector<poison_victim>& victims);

/// Reads them; nothing if the text is malformed or a time is out of its range.
std::optional<std::vector<poison_victim>> decode_victims(std::string_view text);

} // namespace jasminebank
