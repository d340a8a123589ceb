#include "backend_call.h"

#include "dispatch.h"
#include "endpoint.h"
#include "link_wire.h"
#include "message_framing.h"
#include "refusal.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace jasminebank {

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(500);
// The HTTP library's timers may fire this much early.
constexpr duration timer_tolerance = std::chrono::milliseconds(5);
constexpr std::size_t body_buffer_bytes = 16UL * 1024;
// The body of a refusal is discarded. It is expected to be a short text; a longer one fails the
// call.
constexpr std::size_t max_shed_body_bytes = 64UL * 1024;
constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;
constexpr int misdirected_status = 421;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// State of one call, used by the HTTP library's callbacks. They all run on the calling thread.
class backend_exchange {
public:
    backend_exchange(std::shared_ptr<link_stream> stream, const connection_ids& ids,
                     const backend_call_options& options)
        : stream_(std::move(stream)), ids_(ids), options_(options)
    {
    }

    httplib::Request request()
    {
        const message_head head = head_for_backend_server(stream_->head(), options_.request,
                                                          options_.names, options_.expected_server);
        httplib::Request out;
        out.method = head.method;
        out.path = head.path;
        bool has_length = false;
        for (const header_field& it : head.fields) {
            if (it.name == "content-length")
                has_length = parse_length(it.value, out.content_length_);
            out.headers.emplace(it.name, it.value);
        }
        if (!stream_->has_no_body() && !(has_length && out.content_length_ == 0))
            add_body(out, has_length);
        else if (adds_zero_length(head.method))
            out.headers.erase("Content-Length");
        out.response_handler = [this](const httplib::Response& res) {
            return on_response_head(res);
        };
        out.content_receiver = [this](const char* data, std::size_t n, std::uint64_t,
                                      std::uint64_t) { return on_response_body(data, n); };
        return out;
    }

    // Forwards the last bytes of the body only if no bytes follow them that may belong to it:
    // otherwise the caller must not see a complete answer. Bytes that arrived along with the end
    // are in the client's buffer, later ones in the socket.
    call_result finish(const httplib::Result& answer, const bounded_client& client,
                       duration service_time)
    {
        has_extra_bytes_ = answer && (client.has_unread_bytes() || client.has_ambiguous_end());
        if (answer && !has_extra_bytes_ && !last_bytes_.empty() &&
            failed(stream_->write(last_bytes_, options_.deadline)))
            caller_disconnected_ = true;
        call_result out{.outcome = classify_outcome(answer),
                        .status = status_,
                        .head_forwarded = head_forwarded_,
                        .fault = client.received_malformed() ? answer_fault::malformed : fault_,
                        .timed_out = boot_now() + timer_tolerance >= options_.deadline,
                        .size_limit_exceeded = size_limit_exceeded_ || client.exceeded_size_limit(),
                        .service_time = service_time,
                        .notice = notice_};
        out.connection_reusable =
            (out.outcome == call_outcome::whole_answer || out.outcome == call_outcome::shed) &&
            !client.has_discarded_bytes() && !closes_connection(answer.value()) &&
            ids_.may_be_kept(id_of_answer(answer.value()));
        if (out.outcome == call_outcome::whole_answer && !ended_with_head_)
            stream_->finish();
        return out;
    }

private:
    bool closes_connection(const httplib::Response& res) const
    {
        const bool ends_with_connection = answer_has_body(stream_->head().method, res.status) &&
                                          !res.has_header("Content-Length") &&
                                          !res.has_header("Transfer-Encoding");
        return lower(res.get_header_value("Connection")) == "close" || ends_with_connection;
    }

    static bool parse_length(const std::string& text, std::size_t& out)
    {
        const char* last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, out);
        return ec == std::errc{} && end == last;
    }

    // Whether the HTTP library adds a length to a request without a body.
    static bool adds_zero_length(const std::string& method)
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

    void add_body(httplib::Request& out, bool has_length)
    {
        out.is_chunked_content_provider_ = !has_length;
        if (!has_length)
            out.headers.emplace("Transfer-Encoding", "chunked");
        out.content_provider_ = [this](std::size_t, std::size_t, httplib::DataSink& sink) {
            std::array<char, body_buffer_bytes> buf{};
            const auto n = stream_->read(buf, options_.deadline);
            if (failed(n)) {
                caller_disconnected_ = true;
                return false;
            }
            if (value_of(n) > 0)
                return sink.write(buf.data(), value_of(n));
            sink.done();
            return true;
        };
    }

    // Returns whether to go on reading. A refusal with proof that the request did not run is not
    // forwarded, because another backend server may run the request. The call fails on an answer
    // that may belong to another request, on a status that claims without proof that the request
    // did not run, and on a success without the success mark.
    bool on_response_head(const httplib::Response& res)
    {
        if (!ids_.is_own(id_of_answer(res))) {
            fault_ = answer_fault::foreign;
            return false;
        }
        status_ = res.status;
        const bool proves_not_run = res.has_header(options_.names.not_run);
        misdirected_ = res.status == misdirected_status && !options_.expected_server.empty();
        if (!misdirected_)
            notice_ = notice_of(res);
        if (proves_not_run || misdirected_) {
            shed_ = true;
            return true;
        }
        if (options_.names.status_guarantees_not_run && claims_not_executed(res.status))
            return false;
        const bool is_success =
            res.status >= first_success_status && res.status < first_redirect_status;
        if (is_success && !options_.names.success_mark.empty() &&
            !res.has_header(options_.names.success_mark))
            return false;
        const bool bodiless = !answer_has_body(stream_->head().method, res.status);
        message_head head{.method = {}, .path = {}, .status = res.status, .fields = {}};
        for (const auto& [name, value] : res.headers) {
            std::string field = lower(name);
            if (!is_connection_field(field) && !field.starts_with(internal_prefix))
                head.fields.push_back({.name = std::move(field), .value = value});
        }
        head.fields.push_back({.name = std::string(outcome_field), .value = "ran"});
        head.fields.push_back(
            {.name = std::string(load_field), .value = fmt::format("{:.3f}", options_.load)});
        if (const auto wait = options_.wait ? options_.wait() : std::nullopt)
            head.fields.push_back(wait_header(*wait));
        if (notice_ && *notice_ != server_notice{})
            head.fields.push_back(
                {.name = std::string(notice_field),
                 .value = encode_notice({.notice = *notice_, .run = options_.server_run})});
        ended_with_head_ = bodiless;
        if (!parse_length(res.get_header_value("Content-Length"), content_bytes_left_))
            content_bytes_left_ = std::string::npos;
        head_forwarded_ = !failed(stream_->respond(std::move(head), bodiless));
        return head_forwarded_;
    }

    // Null if the answer has none.
    const std::string* id_of_answer(const httplib::Response& res) const
    {
        const auto it = res.headers.find(options_.names.request_id);
        return it == res.headers.end() ? nullptr : &it->second;
    }

    std::optional<server_notice> notice_of(const httplib::Response& res) const
    {
        const auto value_of = [&](const std::string& name) {
            const auto it = res.headers.find(name);
            return it == res.headers.end() ? std::nullopt
                                           : std::optional<std::string_view>(it->second);
        };
        return parse_notice(value_of(options_.names.max_rate), value_of(options_.names.leaving));
    }

    static bool claims_not_executed(int status)
    {
        return status == 408 || status == misdirected_status || status == 429 || status == 503;
    }

    bool on_response_body(const char* data, std::size_t n)
    {
        if (shed_) {
            shed_body_bytes_ += n;
            size_limit_exceeded_ = shed_body_bytes_ > max_shed_body_bytes;
            return !size_limit_exceeded_;
        }
        if (content_bytes_left_ != std::string::npos)
            content_bytes_left_ -= n;
        if (content_bytes_left_ == 0) {
            last_bytes_.assign(data, n);
            return true;
        }
        if (failed(stream_->write({data, n}, options_.deadline))) {
            caller_disconnected_ = true;
            return false;
        }
        return true;
    }

    call_outcome classify_outcome(const httplib::Result& answer) const
    {
        if (caller_disconnected_ || stream_->is_cancelled())
            return call_outcome::caller_left;
        if (has_extra_bytes_)
            return call_outcome::cut_answer;
        if (answer && misdirected_)
            return call_outcome::misdirected;
        if (answer)
            return shed_ ? call_outcome::shed : call_outcome::whole_answer;
        const httplib::Error ec = answer.error();
        if (ec == httplib::Error::Connection || ec == httplib::Error::ConnectionTimeout)
            return call_outcome::not_connected;
        return status_ != 0 ? call_outcome::cut_answer : call_outcome::no_answer;
    }

    std::shared_ptr<link_stream> stream_;
    const connection_ids& ids_; // of the connection
    backend_call_options options_;
    int status_ = 0;
    bool shed_ = false;
    bool misdirected_ = false;
    bool head_forwarded_ = false;
    bool ended_with_head_ = false;
    bool has_extra_bytes_ = false;
    bool size_limit_exceeded_ = false;
    answer_fault fault_ = answer_fault::none;
    std::optional<server_notice> notice_;
    std::size_t shed_body_bytes_ = 0;
    std::size_t content_bytes_left_ = std::string::npos; // of Content-Length; npos: none given
    std::string last_bytes_; // received, not yet forwarded; see `finish`
    bool caller_disconnected_ = false;
};

} // namespace

// Only connects: even a harmless request might be executed and counted by the backend server.
bool accepts_connections(const endpoint& address)
{
    const int fd = start_connect(address);
    if (fd < 0)
        return false;
    pollfd it{.fd = fd, .events = POLLOUT, .revents = 0};
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(connect_timeout);
    int error = 0;
    socklen_t n = sizeof error;
    const bool connected = poll(&it, 1, static_cast<int>(wait.count())) > 0 &&
                           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && error == 0;
    close(fd);
    return connected;
}

backend_connection::backend_connection(const endpoint& address) : client(address)
{
    client.set_connection_timeout(connect_timeout);
    client.set_url_encode(false);
    client.set_follow_location(false);
}

std::shared_ptr<backend_connection> make_backend_connection(const endpoint& address)
{
    return std::make_shared<backend_connection>(address);
}

// On cancellation by the caller the connection is shut down, which ends any wait of the library.
call_result call_backend(const std::shared_ptr<backend_connection>& connection,
                         const std::shared_ptr<link_stream>& stream,
                         const backend_call_options& options)
{
    const time_point start = boot_now();
    connection->ids.sent(find_field(stream->head(), options.names.request_id));
    backend_exchange exchange(stream, connection->ids, options);
    stream->on_cancel([connection] { connection->client.stop(); });
    const httplib::Result answer =
        connection->client.send_until(exchange.request(), options.deadline);
    stream->on_cancel({});
    return exchange.finish(answer, connection->client, boot_now() - start);
}

} // namespace jasminebank
