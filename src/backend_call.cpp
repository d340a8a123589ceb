#include "backend_call.h"

#include "dispatch.h"
#include "endpoint.h"
#include "link_wire.h"
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
// The library's timers may fire this much early.
constexpr duration deadline_slack = std::chrono::milliseconds(5);
constexpr std::size_t chunk_bytes = 16UL * 1024;
// Of a refusal's body, which nobody reads: a page of text, not a transfer.
constexpr std::size_t most_shed_bytes = 64UL * 1024;
constexpr int first_success_status = 200;
constexpr int no_content_status = 204;
constexpr int first_redirect_status = 300;
constexpr int not_modified_status = 304;
constexpr int misdirected_status = 421;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// State of one call, shared by the library's callbacks, all of which run on the calling thread.
class backend_exchange {
public:
    backend_exchange(std::shared_ptr<link_stream> stream, const backend_call_options& options)
        : stream_(std::move(stream)), options_(options)
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
        out.response_handler = [this](const httplib::Response& res) { return take_head(res); };
        out.content_receiver = [this](const char* data, std::size_t n, std::uint64_t,
                                      std::uint64_t) { return pass_on(data, n); };
        return out;
    }

    // The held end of the answer goes on only if nothing more came than was announced.
    call_result finish(const httplib::Result& answer, const bounded_client& client,
                       duration service_time)
    {
        surplus_ = answer && client.has_unread_bytes();
        if (answer && !surplus_ && !held_.empty() &&
            failed(stream_->write(held_, options_.deadline)))
            caller_left_ = true;
        call_result out{.end = end_of(answer),
                        .status = status_,
                        .answered = answered_,
                        .timed_out = boot_now() + deadline_slack >= options_.deadline,
                        .over_bound = over_bound_ || client.was_over_bound(),
                        .service_time = service_time};
        out.may_reuse = (out.end == call_end::whole_answer || out.end == call_end::shed) &&
                        !client.dropped_bytes() && !ends_connection(answer.value());
        if (out.end == call_end::whole_answer && !answer_ended_)
            stream_->finish();
        return out;
    }

private:
    static bool ends_connection(const httplib::Response& res)
    {
        return lower(res.get_header_value("Connection")) == "close" ||
               (!res.has_header("Content-Length") && !res.has_header("Transfer-Encoding"));
    }

    static bool parse_length(const std::string& text, std::size_t& out)
    {
        const char* last = text.data() + text.size();
        const auto [end, ec] = std::from_chars(text.data(), last, out);
        return ec == std::errc{} && end == last;
    }

    void add_body(httplib::Request& out, bool has_length)
    {
        out.is_chunked_content_provider_ = !has_length;
        if (!has_length)
            out.headers.emplace("Transfer-Encoding", "chunked");
        out.content_provider_ = [this](std::size_t, std::size_t, httplib::DataSink& sink) {
            std::array<char, chunk_bytes> buf{};
            const auto n = stream_->read(buf, options_.deadline);
            if (failed(n)) {
                caller_left_ = true;
                return false;
            }
            if (value_of(n) > 0)
                return sink.write(buf.data(), value_of(n));
            sink.done();
            return true;
        };
    }

    // An honest shed is kept back, since another backend server may take the request. So is an
    // answer to another request, and one whose status promises what nobody has shown.
    bool take_head(const httplib::Response& res)
    {
        if (is_stray(res))
            return false;
        status_ = res.status;
        const bool proved = res.has_header(options_.names.not_run);
        misdirected_ = res.status == misdirected_status && !options_.expected_server.empty();
        if (proved || misdirected_) {
            shed_ = true;
            return true;
        }
        if (options_.names.status_guarantees_not_run && is_promise(res.status))
            return false;
        const bool is_success =
            res.status >= first_success_status && res.status < first_redirect_status;
        if (is_success && !options_.names.success_mark.empty() &&
            !res.has_header(options_.names.success_mark))
            return false;
        const bool bodiless = stream_->head().method == "HEAD" || res.status == no_content_status ||
                              res.status == not_modified_status;
        message_head head{.method = {}, .path = {}, .status = res.status, .fields = {}};
        for (const auto& [name, value] : res.headers) {
            std::string field = lower(name);
            if (!is_connection_field(field) && !field.starts_with(internal_prefix))
                head.fields.push_back({.name = std::move(field), .value = value});
        }
        head.fields.push_back({.name = std::string(outcome_field), .value = "ran"});
        head.fields.push_back(
            {.name = std::string(load_field), .value = fmt::format("{:.3f}", options_.load)});
        answer_ended_ = bodiless;
        if (!parse_length(res.get_header_value("Content-Length"), left_))
            left_ = std::string::npos;
        answered_ = !failed(stream_->respond(std::move(head), bodiless));
        return answered_;
    }

    // A late answer to an earlier request on the same connection.
    bool is_stray(const httplib::Response& res) const
    {
        const std::string* asked = find_field(stream_->head(), options_.names.request_id);
        return asked != nullptr && res.has_header(options_.names.request_id) &&
               res.get_header_value(options_.names.request_id) != *asked;
    }

    static bool is_promise(int status)
    {
        return status == 408 || status == misdirected_status || status == 429 || status == 503;
    }

    bool pass_on(const char* data, std::size_t n)
    {
        if (shed_) {
            shed_bytes_ += n;
            over_bound_ = shed_bytes_ > most_shed_bytes;
            return !over_bound_;
        }
        if (left_ != std::string::npos)
            left_ -= n;
        if (left_ == 0) {
            held_.assign(data, n);
            return true;
        }
        if (failed(stream_->write({data, n}, options_.deadline))) {
            caller_left_ = true;
            return false;
        }
        return true;
    }

    call_end end_of(const httplib::Result& answer) const
    {
        if (caller_left_ || stream_->is_cancelled())
            return call_end::caller_left;
        if (surplus_)
            return call_end::cut_answer;
        if (answer && misdirected_)
            return call_end::misdirected;
        if (answer)
            return shed_ ? call_end::shed : call_end::whole_answer;
        const httplib::Error ec = answer.error();
        if (ec == httplib::Error::Connection || ec == httplib::Error::ConnectionTimeout)
            return call_end::not_connected;
        return status_ != 0 ? call_end::cut_answer : call_end::no_answer;
    }

    std::shared_ptr<link_stream> stream_;
    backend_call_options options_;
    int status_ = 0;
    bool shed_ = false;
    bool misdirected_ = false;
    bool answered_ = false;
    bool answer_ended_ = false;
    bool surplus_ = false;
    bool over_bound_ = false;
    std::size_t shed_bytes_ = 0;
    std::size_t left_ = std::string::npos; // of the announced length
    std::string held_;                     // the last bytes of the announced length
    bool caller_left_ = false;
};

} // namespace

// A bare connection: a request, however harmless, might be run and counted as one.
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

std::shared_ptr<bounded_client> connect_backend(const endpoint& address)
{
    auto out = std::make_shared<bounded_client>(address);
    out->set_connection_timeout(connect_timeout);
    out->set_url_encode(false);
    out->set_follow_location(false);
    return out;
}

// The caller's cancellation shuts the connection down, which ends whatever the library waits for.
call_result call_backend(const std::shared_ptr<bounded_client>& client,
                         const std::shared_ptr<link_stream>& stream,
                         const backend_call_options& options)
{
    const time_point start = boot_now();
    backend_exchange exchange(stream, options);
    stream->on_cancel([client] { client->stop(); });
    const httplib::Result answer = client->send_until(exchange.request(), options.deadline);
    stream->on_cancel({});
    return exchange.finish(answer, *client, boot_now() - start);
}

} // namespace jasminebank
