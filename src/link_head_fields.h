#pragma once

// Conversion of message heads to and from the header fields of nghttp2.

#include "link_message.h"

#include <nghttp2/nghttp2.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// What a stream carries. Sent as the `:scheme` field, which clients of the proxy cannot set.
enum class stream_kind : std::uint8_t { request, control };

/// The fields of one head. `fields` points into `texts`, which this object owns, and into the
/// message head that it was made from.
struct nghttp2_head {
    std::vector<nghttp2_nv> fields;
    std::deque<std::string> texts;
};

/// The fields of a request head. `head` must outlive the result.
nghttp2_head request_fields(const message_head& head, stream_kind kind);

/// The fields of a response head. `head` must outlive the result.
nghttp2_head answer_fields(const message_head& head);

/// A head of which some fields have been received.
struct incoming_head {
    message_head head;
    stream_kind kind = stream_kind::request;
    std::size_t bytes = 0;
};

/// Adds one received field. False when `:scheme` has an unknown value.
bool add_field(incoming_head& it, std::string_view name, std::string_view value);

} // namespace jasminebank
