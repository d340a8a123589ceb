#include "caller_head.h"

#include "dispatch.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <string_view>

namespace jasminebank {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t min_key_bytes = 16;
// The maximum head size of a link, less space for the fields that the entry adds.
constexpr std::size_t max_head_bytes = 28UL * 1024;
// Fields that can contain an API key; never forwarded, whatever their value is.
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

// Percent-decodes until the text no longer changes, since a backend server may decode more than
// once.
bool contains_key(std::string text, const std::string& key)
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

std::string key_of_field(const header_field& it)
{
    if (it.name == "x-api-key")
        return it.value;
    if (it.name == "authorization" && it.value.starts_with(bearer_prefix))
        return it.value.substr(bearer_prefix.size());
    return {};
}

// Several lengths, or a length together with chunked encoding, would allow request smuggling.
bool has_unambiguous_length(const message_head& head)
{
    const auto lengths = std::count_if(head.fields.begin(), head.fields.end(),
                                       [](const auto& it) { return it.name == "content-length"; });
    const auto encodings =
        std::count_if(head.fields.begin(), head.fields.end(),
                      [](const auto& it) { return it.name == "transfer-encoding"; });
    const std::string* encoding = find_field(head, "transfer-encoding");
    return lengths + encodings <= 1 && (encoding == nullptr || lower(*encoding) == "chunked");
}

// The HTTP library does not read the body of a request with such a method.
bool has_unread_body(const message_head& head)
{
    constexpr std::array<std::string_view, 3> bodiless_methods{"GET", "HEAD", "OPTIONS"};
    const std::string* length = find_field(head, "content-length");
    const bool has_body =
        (length != nullptr && *length != "0") || find_field(head, "transfer-encoding") != nullptr;
    return has_body && std::find(bodiless_methods.begin(), bodiless_methods.end(), head.method) !=
                           bodiless_methods.end();
}

std::optional<refusal> extract_key(const message_head& head, std::string& key)
{
    for (const header_field& it : head.fields) {
        const std::string found = key_of_field(it);
        if (found.empty())
            continue;
        if (!key.empty() && key != found)
            return refusal::bad_request;
        key = found;
    }
    if (key.empty())
        return refusal::no_key;
    if (key.size() < min_key_bytes)
        return refusal::unknown_key;
    return std::nullopt;
}

bool contains_key(const message_head& head, const std::string& key)
{
    return contains_key(head.path, key) ||
           std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& it) {
               return contains_key(it.value, key) || contains_key(it.name, key);
           });
}

// Names listed in the `Connection` field: hop-by-hop fields, which are not forwarded.
std::vector<std::string> connection_fields_of(const message_head& head)
{
    std::vector<std::string> out;
    const std::string* text = find_field(head, "connection");
    for (std::size_t from = 0; text != nullptr && from < text->size();) {
        const std::size_t end = std::min(text->find(',', from), text->size());
        std::string name = lower(text->substr(from, end - from));
        std::erase_if(name, [](unsigned char c) { return std::isspace(c) != 0; });
        out.push_back(std::move(name));
        from = end + 1;
    }
    return out;
}

bool is_set_by_fleet(const std::string& name, const header_names& names)
{
    return !name.empty() &&
           (name == names.caller_deadline || name == names.deadline || name == names.organisation ||
            name == names.caller_service || name == names.expected_server || name == names.not_run);
}

std::string host_of(const message_head& head)
{
    const std::string* text = find_field(head, "host");
    return text == nullptr ? std::string() : lower(text->substr(0, text->find(':')));
}

std::optional<duration> timeout_of(const message_head& head, const header_names& names)
{
    const std::string* text = find_field(head, names.caller_deadline);
    std::uint32_t n = 0;
    if (text == nullptr)
        return std::nullopt;
    const char* last = text->data() + text->size();
    const auto [end, ec] = std::from_chars(text->data(), last, n);
    if (ec != std::errc{} || end != last)
        return std::nullopt;
    return std::chrono::milliseconds(n);
}

} // namespace

result<caller_head, refusal> split_caller_head(message_head head, const header_names& names)
{
    for (header_field& it : head.fields)
        it.name = lower(std::move(it.name));
    if (!has_unambiguous_length(head) || has_unread_body(head))
        return refusal::bad_request;
    std::string key;
    caller_head out;
    out.key_error = extract_key(head, key);
    if (out.key_error == refusal::bad_request)
        return refusal::bad_request;
    out.host = host_of(head);
    out.time_left = timeout_of(head, names);
    const std::vector<std::string> connection_fields = connection_fields_of(head);
    std::erase_if(head.fields, [&](const header_field& it) {
        return is_key_field(it) || is_connection_field(it.name) || it.name == "expect" ||
               it.name.starts_with(internal_prefix) || is_set_by_fleet(it.name, names) ||
               std::find(connection_fields.begin(), connection_fields.end(), it.name) !=
                   connection_fields.end();
    });
    if (key.size() >= min_key_bytes && contains_key(head, lower(key)))
        return refusal::bad_request;
    if (!is_sendable(head, max_head_bytes))
        return refusal::bad_request;
    out.key = digest_of(key);
    out.sanitised = std::move(head);
    return out;
}

} // namespace jasminebank
