#include "link_head_fields.h"

#include <fmt/format.h>

#include <charconv>

namespace jasminebank {

static std::string_view scheme_of(stream_kind it)
{
    return it == stream_kind::control ? "control" : "http";
}

static nghttp2_nv field_of(std::string_view name, std::string_view value)
{
    // nghttp2 copies both texts when the head is submitted; it never writes through these pointers.
    const auto octets = [](std::string_view text) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
    };
    return {octets(name), octets(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

static void append(nghttp2_head& out, const message_head& head)
{
    constexpr int no_content = 204;
    for (const header_field& it : head.fields) {
        // nghttp2 rejects a 204 response that has a content-length field.
        const bool is_forbidden_length = head.status == no_content && it.name == "content-length";
        if (!is_connection_field(it.name) && !is_forbidden_length)
            out.fields.push_back(field_of(it.name, it.value));
    }
}

nghttp2_head request_fields(const message_head& head, stream_kind kind)
{
    nghttp2_head out;
    out.fields.push_back(field_of(":method", head.method));
    out.fields.push_back(field_of(":scheme", scheme_of(kind)));
    out.fields.push_back(field_of(":authority", "link"));
    out.fields.push_back(field_of(":path", head.path));
    append(out, head);
    return out;
}

nghttp2_head answer_fields(const message_head& head)
{
    nghttp2_head out;
    out.texts.push_back(fmt::format("{}", head.status));
    out.fields.push_back(field_of(":status", out.texts.back()));
    append(out, head);
    return out;
}

static bool set_kind(incoming_head& it, std::string_view scheme)
{
    for (stream_kind kind : {stream_kind::request, stream_kind::control}) {
        if (scheme == scheme_of(kind)) {
            it.kind = kind;
            return true;
        }
    }
    return false;
}

bool add_field(incoming_head& it, std::string_view name, std::string_view value)
{
    it.bytes += name.size() + value.size() + field_overhead_bytes;
    if (name == ":method")
        it.head.method = value;
    else if (name == ":path")
        it.head.path = value;
    else if (name == ":scheme")
        return set_kind(it, value);
    else if (name == ":status")
        std::from_chars(value.data(), value.data() + value.size(), it.head.status);
    else if (!name.starts_with(':'))
        it.head.fields.push_back({.name = std::string(name), .value = std::string(value)});
    return true;
}

} // namespace jasminebank
