#pragma once

// An IPv4 address and port, as settings and messages write them: "127.0.0.1:8080".

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Numeric IPv4 address and port. Port 0 asks the system for a free one.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// Reads "a.b.c.d:port"; nothing if the text is anything else.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& it);

} // namespace jasminebank
