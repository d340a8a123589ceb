#pragma once

// The timestamp of a version 7 UUID (RFC 9562).

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminebank {

/// Wall-clock time in the resolution of UUIDv7 timestamps.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Returns the timestamp of a version 7 UUID; nullopt for any other text.
inline std::optional<wall_time> uuid_time(std::string_view text)
{
    constexpr std::string_view form = "tttttttt-tttt-7xxx-vxxx-xxxxxxxxxxxx";
    constexpr std::string_view digits = "0123456789abcdef";
    if (text.size() != form.size())
        return std::nullopt;
    std::uint64_t out = 0;
    for (std::size_t n = 0; n < form.size(); ++n) {
        const char c = text[n];
        const bool upper = c >= 'A' && c <= 'F';
        const std::size_t value = digits.find(upper ? static_cast<char>(c | 0x20) : c);
        if (form[n] == '-' || form[n] == '7') {
            if (c != form[n])
                return std::nullopt;
            continue;
        }
        if (value == std::string_view::npos || (form[n] == 'v' && (value < 8 || value > 11)))
            return std::nullopt;
        if (form[n] == 't')
            out = out * 16 + value;
    }
    return wall_time(std::chrono::milliseconds(out));
}

} // namespace jasminebank
