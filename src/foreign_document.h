#pragma once

// Parses documents that come from outside this process. The JSON library reads binary formats by
// recursion, throws on an announced size that cannot be allocated, and converts numbers without a
// check of their range; worker threads have small stacks.

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace jasminebank {

/// Of nested arrays and objects. The deepest valid document, the configuration, has less than 10.
constexpr std::size_t max_document_depth = 32;

/// These never throw. The result is discarded (`is_discarded()`) if the bytes are malformed, nested
/// too deeply, or announce more elements than there are bytes.
nlohmann::json parse_json(std::string_view text);
nlohmann::json parse_cbor(std::string_view bytes);
nlohmann::json parse_msgpack(std::string_view bytes);

/// Throws a json::exception: the value is not in the range of its field.
[[noreturn]] void throw_out_of_range();

/// The value as `Number`. Throws json::exception if it is no number that fits.
template <std::unsigned_integral Number>
Number unsigned_from(const nlohmann::json& in)
{
    if (!in.is_number_unsigned() || in.get<std::uint64_t>() > std::numeric_limits<Number>::max())
        throw_out_of_range();
    return static_cast<Number>(in.get<std::uint64_t>());
}

/// The value of a whole number. Throws json::exception if it is none, or above the signed range.
inline std::int64_t integer_from(const nlohmann::json& in)
{
    const bool is_too_large =
        in.is_number_unsigned() &&
        in.get<std::uint64_t>() > std::uint64_t{std::numeric_limits<std::int64_t>::max()};
    if (!in.is_number_integer() || is_too_large)
        throw_out_of_range();
    return in.get<std::int64_t>();
}

/// Throws json::exception if the value is no finite number.
inline double finite_from(const nlohmann::json& in)
{
    if (!in.is_number() || !std::isfinite(in.get<double>()))
        throw_out_of_range();
    return in.get<double>();
}

} // namespace jasminebank
