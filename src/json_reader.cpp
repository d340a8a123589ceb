#include "json_reader.h"

#include "base64.h"

#include <charconv>

namespace jasminebank {

using nlohmann::json;

static const json& empty_object()
{
    static const json it = json::object();
    return it;
}

static const json& empty_array()
{
    static const json it = json::array();
    return it;
}

const json& object_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return empty_object();
    if (!it->is_object())
        throw bad_member{};
    return *it;
}

// Checks every element, so that callers can rely on each being an object.
const json& objects_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return empty_array();
    if (!it->is_array())
        throw bad_member{};
    for (const json& element : *it)
        if (!element.is_object())
            throw bad_member{};
    return *it;
}

// The gateway writes 64-bit integers as strings but accepts numbers as well, and so does this.
std::int64_t integer_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return 0;
    if (it->is_number_integer())
        return it->get<std::int64_t>();
    if (!it->is_string())
        throw bad_member{};
    const auto& text = it->get_ref<const std::string&>();
    std::int64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        throw bad_member{};
    return out;
}

std::string bytes_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return {};
    if (!it->is_string())
        throw bad_member{};
    auto out = from_base64(it->get_ref<const std::string&>());
    if (!out)
        throw bad_member{};
    return *std::move(out);
}

bool flag_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return false;
    if (!it->is_boolean())
        throw bad_member{};
    return it->get<bool>();
}

std::string text_at(const json& parent, const char* name)
{
    const auto it = parent.find(name);
    if (it == parent.end())
        return {};
    if (!it->is_string())
        throw bad_member{};
    return it->get<std::string>();
}

} // namespace jasminebank
