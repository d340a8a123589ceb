#include "session_callbacks.h"

#include <string_view>

namespace jasminebank {

/// By default nghttp2 closes a connection whose peer resets more than 33 streams per second. Under
/// overload, callers legitimately cancel more than that; the limit on open streams bounds the load
/// instead.
constexpr std::uint64_t stream_reset_limit = 1'000'000;

static std::string_view text_of(const std::uint8_t* data, std::size_t n)
{
    return {reinterpret_cast<const char*>(data), n};
}

int session_callbacks::begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    of(user_data).on_stream_begun(*frame);
    return 0;
}

int session_callbacks::header(nghttp2_session*, const nghttp2_frame* frame,
                              const std::uint8_t* name, std::size_t name_length,
                              const std::uint8_t* value, std::size_t value_length, std::uint8_t,
                              void* user_data)
{
    return of(user_data).on_field(*frame, text_of(name, name_length), text_of(value, value_length));
}

int session_callbacks::data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream_id,
                                  const std::uint8_t* data, std::size_t n, void* user_data)
{
    of(user_data).on_data(stream_id, text_of(data, n));
    return 0;
}

int session_callbacks::frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    of(user_data).on_frame(*frame);
    return 0;
}

int session_callbacks::before_frame_sent(nghttp2_session*, const nghttp2_frame* frame,
                                         void* user_data)
{
    of(user_data).on_before_frame_sent(*frame);
    return 0;
}

int session_callbacks::frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
{
    of(user_data).on_frame_sent(*frame);
    return 0;
}

int session_callbacks::frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int,
                                      void* user_data)
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        of(user_data).on_stream_closed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    return 0;
}

int session_callbacks::stream_closed(nghttp2_session*, std::int32_t stream_id, std::uint32_t code,
                                     void* user_data)
{
    of(user_data).on_stream_closed(stream_id, code);
    return 0;
}

ssize_t session_callbacks::read_body(nghttp2_session*, std::int32_t stream_id, std::uint8_t* buf,
                                     std::size_t n, std::uint32_t* flags, nghttp2_data_source*,
                                     void* user_data)
{
    return of(user_data).take_output(stream_id, {reinterpret_cast<char*>(buf), n}, *flags);
}

nghttp2_data_provider session_callbacks::body()
{
    return {.source = {}, .read_callback = read_body};
}

const nghttp2_session_callbacks* session_callbacks::table()
{
    static nghttp2_session_callbacks* const it = [] {
        nghttp2_session_callbacks* out = nullptr;
        nghttp2_session_callbacks_new(&out);
        nghttp2_session_callbacks_set_on_begin_headers_callback(out, begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(out, header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(out, data_chunk);
        nghttp2_session_callbacks_set_on_frame_recv_callback(out, frame_received);
        nghttp2_session_callbacks_set_before_frame_send_callback(out, before_frame_sent);
        nghttp2_session_callbacks_set_on_frame_send_callback(out, frame_sent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(out, frame_not_sent);
        nghttp2_session_callbacks_set_on_stream_close_callback(out, stream_closed);
        return out;
    }();
    return it;
}

// Automatic window updates are off: windows are replenished explicitly as readers consume bytes.
const nghttp2_option* session_callbacks::options()
{
    static nghttp2_option* const it = [] {
        nghttp2_option* out = nullptr;
        nghttp2_option_new(&out);
        nghttp2_option_set_no_auto_window_update(out, 1);
        nghttp2_option_set_no_closed_streams(out, 1);
        nghttp2_option_set_stream_reset_rate_limit(out, stream_reset_limit, stream_reset_limit);
        return out;
    }();
    return it;
}

} // namespace jasminebank
