#include "caller_head.h"

#include "dispatch.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace jasminebank {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t shortest_key_bytes = 16;
// Fields in which callers show keys; none of them goes on, whatever it holds.
constexpr std::array<std::string_view, 3> key_fields{"authorization", "proxy-authorization",
                                                     "x-api-key"};

bool is_key_field(const header_field& it)
{
    return std::find(key_fields.begin(), key_fields.end(), it.name) != key_fields.end();
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char low = static_cast<char>(c | 0x20);
    return low >= 'a' && low <= 'f' ? low - 'a' + 10 : -1;
}

std::string percent_decoded(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool escape = text[n] == '%' && n + 2 < text.size() && hex_digit(text[n + 1]) >= 0 &&
                            hex_digit(text[n + 2]) >= 0;
        if (!escape) {
            out += text[n];
            continue;
        }
        out += static_cast<char>(hex_digit(text[n + 1]) * 16 + hex_digit(text[n + 2]));
        n += 2;
    }
    return out;
}

// Decodes until nothing changes, since a backend server may decode more than once.
bool holds_key(std::string text, const std::string& key)
{
    while (true) {
        if (lower(text).find(key) != std::string::npos)
            return true;
        std::string decoded = percent_decoded(text);
        if (decoded == text)
            return false;
        text = std::move(decoded);
    }
}

std::string key_in(const header_field& it)
{
    if (it.name == "x-api-key")
        return it.value;
    if (it.name == "authorization" && it.value.starts_with(bearer_prefix))
        return it.value.substr(bearer_prefix.size());
    return {};
}

// Two different lengths, or a length beside chunks, would let one request hide another.
bool has_clear_length(const message_head& head)
{
    const auto lengths = std::count_if(head.fields.begin(), head.fields.end(),
                                       [](const auto& it) { return it.name == "content-length"; });
    const auto encodings =
        std::count_if(head.fields.begin(), head.fields.end(),
                      [](const auto& it) { return it.name == "transfer-encoding"; });
    const std::string* encoding = find_field(head, "transfer-encoding");
    return lengths + encodings <= 1 && (encoding == nullptr || lower(*encoding) == "chunked");
}

std::optional<refusal> find_key(const message_head& head, std::string& key)
{
    for (const header_field& it : head.fields) {
        const std::string found = key_in(it);
        if (found.empty())
            continue;
        if (!key.empty() && key != found)
            return refusal::bad_request;
        key = found;
    }
    if (key.empty())
        return refusal::no_key;
    if (key.size() < shortest_key_bytes)
        return refusal::unknown_key;
    return std::nullopt;
}

} // namespace

result<caller_head, refusal> split_caller_head(message_head head)
{
    for (header_field& it : head.fields)
        it.name = lower(std::move(it.name));
    if (!has_clear_length(head))
        return refusal::bad_request;
    std::string key;
    if (const auto wrong = find_key(head, key))
        return *wrong;
    std::erase_if(head.fields, [](const header_field& it) {
        return is_key_field(it) || is_connection_field(it.name) || it.name == "expect" ||
               it.name.starts_with(internal_prefix);
    });
    const std::string key_text = lower(key);
    const bool leaks = holds_key(head.path, key_text) ||
                       std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& it) {
                           return holds_key(it.value, key_text) || holds_key(it.name, key_text);
                       });
    if (leaks)
        return refusal::bad_request;
    return caller_head{.key = digest_of(key), .clean = std::move(head)};
}

} // namespace jasminebank
