#pragma once

// An IPv4 address and port, written "127.0.0.1:8080" in settings and messages.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Numeric IPv4 address and port. To listen on port 0 means any free port.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// Parses "a.b.c.d:port"; nullopt if the text has another form.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& it);

} // namespace jasminebank
