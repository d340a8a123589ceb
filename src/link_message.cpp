#include "link_message.h"

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace jasminebank {

const std::string* find_field(const message_head& head, std::string_view name)
{
    for (const header_field& it : head.fields) {
        if (it.name == name)
            return &it.value;
    }
    return nullptr;
}

std::optional<std::size_t> length_of(const message_head& head)
{
    const std::string* text = find_field(head, "content-length");
    std::size_t out = 0;
    if (text == nullptr)
        return std::nullopt;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), out);
    if (ec != std::errc{} || end != text->data() + text->size())
        return std::nullopt;
    return out;
}

static const std::uint8_t* octets(const std::string& text)
{
    return reinterpret_cast<const std::uint8_t*>(text.data());
}

// Checked before sending, because nghttp2 at the peer rejects an invalid request line or status
// without reporting the cause.
static bool is_request_line(const message_head& head)
{
    if (head.method.empty() && head.path.empty())
        return head.status >= 200 && head.status <= 999;
    if (head.method == "CONNECT" || head.path.empty())
        return false;
    if (head.path.front() != '/' && !(head.path == "*" && head.method == "OPTIONS"))
        return false;
    return nghttp2_check_method(octets(head.method), head.method.size()) != 0 &&
           nghttp2_check_path(octets(head.path), head.path.size()) != 0;
}

static bool is_field(const header_field& it)
{
    if (it.name.empty() || it.name.front() == ':')
        return false;
    return nghttp2_check_header_name(octets(it.name), it.name.size()) != 0 &&
           nghttp2_check_header_value_rfc9113(octets(it.value), it.value.size()) != 0;
}

// Counts 32 bytes for each field in addition to its text, as HPACK does, so that both ends compute
// the same size. The fixed part accounts for the four pseudo-headers of a request.
std::size_t size_of(const message_head& head)
{
    std::size_t total = head.method.size() + head.path.size() + 4 * field_overhead_bytes;
    for (const header_field& it : head.fields)
        total += size_of(it);
    return total;
}

bool is_sendable(const message_head& head, std::size_t limit)
{
    const auto& fields = head.fields;
    const auto lengths = std::count_if(fields.begin(), fields.end(), [](const header_field& it) {
        return it.name == "content-length";
    });
    return lengths <= 1 && is_request_line(head) && size_of(head) <= limit &&
           std::all_of(fields.begin(), fields.end(), is_field);
}

bool is_connection_field(std::string_view name)
{
    static constexpr std::array<std::string_view, 6> names{
        "connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

static std::string_view name_of(link_failure it)
{
    switch (it) {
    case link_failure::not_sent:
        return "not sent";
    case link_failure::maybe_sent:
        return "maybe sent";
    case link_failure::peer_reset:
        return "reset by peer";
    case link_failure::timed_out:
        return "timed out";
    case link_failure::closed:
        return "closed";
    }
    return "closed";
}

std::string describe(const link_error& it)
{
    return fmt::format("{} (code {}): {}", name_of(it.kind), it.code, it.reason);
}

} // namespace jasminebank
