#pragma once

// Heads of messages as nghttp2 takes and gives them.

#include "link_message.h"

#include <nghttp2/nghttp2.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// What a stream carries. It travels as `:scheme`, which no caller of ours can set.
enum class stream_kind : std::uint8_t { request, control };

/// The fields of one head. The object owns the texts; `fields` points into them and into the head.
struct nghttp2_head {
    std::vector<nghttp2_nv> fields;
    std::deque<std::string> texts;
};

/// Fields of a request. `head` must outlive the result.
nghttp2_head request_fields(const message_head& head, stream_kind kind);

/// Fields of an answer. `head` must outlive the result.
nghttp2_head answer_fields(const message_head& head);

/// A head while its fields arrive.
struct incoming_head {
    message_head head;
    stream_kind kind = stream_kind::request;
    std::size_t bytes = 0;
};

/// Adds one received field. False when the head is malformed for a link.
bool add_field(incoming_head& it, std::string_view name, std::string_view value);

} // namespace jasminebank
