#include "bounded_client.h"

#include "system_clock.h"

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace jasminebank {

constexpr int first_final_status = 200;

// True also for no bytes, and for the first bytes of a status line.
static bool begins_answer(std::string_view bytes)
{
    constexpr std::string_view version = "HTTP/1.";
    const std::size_t n = std::min(bytes.size(), version.size());
    return bytes.substr(0, n) == version.substr(0, n);
}

bounded_client::bounded_client(const endpoint& server) : ClientImpl(server.host, server.port)
{
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_decompress(false);
}

httplib::Result bounded_client::send_until(httplib::Request request, time_point deadline)
{
    deadline_ = deadline;
    answer_kind_ = request.method == "HEAD" ? message_kind::answer_to_head : message_kind::answer;
    size_limit_exceeded_ = false;
    has_discarded_bytes_ = false;
    has_ambiguous_end_ = false;
    is_whole_ = false;
    received_malformed_ = false;
    has_ended_with_head_ = false;
    const std::string method = request.method;
    const httplib::ResponseHandler on_response_head = std::move(request.response_handler);
    bool has_seen_head = false;
    request.response_handler = [&](const httplib::Response& res) {
        has_seen_head = true;
        current_stream_->end_head();
        // The library takes interim answers other than 100 as final.
        if (res.status < first_final_status || (on_response_head && !on_response_head(res)))
            return false;
        // The library would wait for the body of a 304 until the deadline.
        has_ended_with_head_ = !answer_has_body(method, res.status);
        return !has_ended_with_head_;
    };
    httplib::Result out = send(request);
    if (out && !is_whole_)
        return {nullptr, httplib::Error::Read};
    // The library calls the handler only before a body.
    const bool must_call = out && !has_seen_head && on_response_head;
    if (must_call && !on_response_head(*out))
        return {nullptr, httplib::Error::Canceled};
    return out;
}

// Replaces the library's own stream, which restarts its timeout with each read and does not report
// bytes that it read after the end of the answer.
bool bounded_client::process_socket(const Socket& socket,
                                    std::function<bool(httplib::Stream& strm)> callback)
{
    socket_stream stream(socket.sock, duration::max(), deadline_);
    stream.begin_message(answer_kind_, deadline_, max_answer_head_bytes, max_status_line_bytes);
    current_stream_ = &stream;
    const bool good = callback(stream) || has_ended_with_head_;
    current_stream_ = nullptr;
    size_limit_exceeded_ = stream.exceeded_size_limit();
    has_discarded_bytes_ = stream.has_buffered();
    has_ambiguous_end_ = !begins_answer(stream.buffered());
    is_whole_ = stream.framing().is_whole();
    received_malformed_ = stream.framing().is_malformed();
    return good;
}

bool bounded_client::has_unread_bytes() const
{
    const socket_t sock = socket();
    char byte = 0;
    return sock != INVALID_SOCKET && recv(sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace jasminebank
