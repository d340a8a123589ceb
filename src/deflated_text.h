#pragma once

// Compression of texts that are sent between nodes, in the zlib format (RFC 1950).

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Returns the compressed text.
std::string deflate_text(std::string_view text);

/// Returns the original text; nullopt if `bytes` is malformed or the text has more than `max_bytes`
/// bytes.
std::optional<std::string> inflate_text(std::string_view bytes, std::size_t max_bytes);

} // namespace jasminebank
