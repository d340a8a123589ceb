#pragma once

// Reading JSON documents in the gateway's form, where a member left out holds the default, with a
// check of every type. Bytes are base64 text, 64-bit numbers are text.

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// A member of the wrong type or form. Thrown by the functions below; `read_json` catches it.
struct bad_member {};

/// The member `name`, an empty object if there is none.
const nlohmann::json& object_at(const nlohmann::json& parent, const char* name);
/// The member `name`, an array of objects; empty if there is none.
const nlohmann::json& objects_at(const nlohmann::json& parent, const char* name);
/// Also reads a plain number.
std::int64_t integer_at(const nlohmann::json& parent, const char* name);
std::string bytes_at(const nlohmann::json& parent, const char* name);
std::string text_at(const nlohmann::json& parent, const char* name);
bool flag_at(const nlohmann::json& parent, const char* name);

/// What `read` makes of the object that `text` holds; nothing if `text` is no object or `read`
/// meets a bad member.
template <class Read>
auto read_json(std::string_view text, Read read) -> std::optional<decltype(read(nlohmann::json()))>
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
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
