#pragma once

// Base64 with padding (RFC 4648, section 4), the encoding of bytes in JSON documents.

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

std::string to_base64(std::string_view bytes);

/// Decodes `text`; nullopt if it is not padded base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace jasminebank
