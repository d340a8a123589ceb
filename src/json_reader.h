#pragma once

// Reads the JSON documents of the store's HTTP gateway and checks the type of every member. In this
// encoding an omitted member has its default value, bytes are base64 strings and 64-bit integers
// are decimal strings.

#include "foreign_document.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Thrown by the functions below for a member of the wrong type or format; `read_json` catches it.
struct bad_member {};

/// The object `name`; an empty one if the member is absent.
const nlohmann::json& object_at(const nlohmann::json& parent, const char* name);
/// The array of objects `name`; an empty one if the member is absent.
const nlohmann::json& objects_at(const nlohmann::json& parent, const char* name);
/// The integer `name`, given as a decimal string or a JSON number; 0 if the member is absent.
std::int64_t integer_at(const nlohmann::json& parent, const char* name);
std::string bytes_at(const nlohmann::json& parent, const char* name);
std::string text_at(const nlohmann::json& parent, const char* name);
bool flag_at(const nlohmann::json& parent, const char* name);

/// Parses `text` and returns the result of `read` for its object; nullopt if `text` is not a JSON
/// object or `read` throws bad_member.
template <class Read>
auto read_json(std::string_view text, Read read) -> std::optional<decltype(read(nlohmann::json()))>
{
    const nlohmann::json document = parse_json(text);
    if (!document.is_object())
        return std::nullopt;
    try {
        return read(document);
    }
    catch (const bad_member&) {
        return std::nullopt;
    }
}

} // namespace jasminebank
