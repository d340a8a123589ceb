#pragma once

// SHA-256 digests; callers' keys are stored and compared only as digests.

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

/// Compares in constant time, so that response times reveal nothing about a stored key.
bool same_digest(const digest& a, const digest& b);

/// Formats a digest as 64 lower-case hexadecimal digits.
std::string to_hex(const digest& it);

/// Parses 64 hexadecimal digits of either case; nullopt if `text` is anything else.
std::optional<digest> digest_from_hex(std::string_view text);

/// HMAC-SHA-256 of `text` under `key`. With the fleet key, proves that the sender is a fleet
/// member.
digest keyed_digest(std::string_view key, std::string_view text);

} // namespace jasminebank
