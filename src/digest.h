#pragma once

// SHA-256 digests: the form in which callers' keys are stored and compared.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

constexpr std::size_t digest_bytes = 32;

/// A SHA-256 digest.
struct digest {
    std::array<std::uint8_t, digest_bytes> bytes{};
    auto operator<=>(const digest&) const = default;
};

/// SHA-256 of `text`.
digest digest_of(std::string_view text);

/// Compares in constant time, so that timing tells a caller nothing about a stored key.
bool same_digest(const digest& a, const digest& b);

/// 64 lower-case hexadecimal digits.
std::string to_hex(const digest& it);

/// Reads 64 hexadecimal digits; nothing if `text` is anything else.
std::optional<digest> digest_from_hex(std::string_view text);

/// HMAC-SHA-256 of `text` under `key`; proves that a message comes from a holder of the fleet key.
digest keyed_digest(std::string_view key, std::string_view text);

} // namespace jasminebank
