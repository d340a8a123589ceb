#pragma once

// Adapts the C callbacks of nghttp2 to member functions of `link_session`.

#include "link_session.h"

#include <nghttp2/nghttp2.h>

namespace jasminebank {

/// The callbacks, whose `user_data` is the `link_session`, and the nghttp2 options of all sessions.
struct session_callbacks {
    static const nghttp2_session_callbacks* table();
    static const nghttp2_option* options();
    /// The data provider through which nghttp2 reads the body of a stream.
    static nghttp2_data_provider body();

private:
    static link_session& of(void* user_data) { return *static_cast<link_session*>(user_data); }
    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t, void* user_data);
    static int data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream_id,
                          const std::uint8_t* data, std::size_t n, void* user_data);
    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int before_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data);
    static int frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int, void* user_data);
    static int stream_closed(nghttp2_session*, std::int32_t stream_id, std::uint32_t code,
                             void* user_data);
    static ssize_t read_body(nghttp2_session*, std::int32_t stream_id, std::uint8_t* buf,
                             std::size_t n, std::uint32_t* flags, nghttp2_data_source*,
                             void* user_data);
};

} // namespace jasminebank
