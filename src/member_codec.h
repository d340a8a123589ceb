#pragma once

// Member records on the wire, in CBOR.

#include "member_directory.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// CBOR of the records, at most a few megabytes for the whole fleet.
std::string encode_members(std::span<const member_record> members);

/// Reads them; nothing if the text is malformed or a value is out of its range.
std::optional<std::vector<member_record>> decode_members(std::string_view text);

} // namespace jasminebank
