#include "fake_backend.h"

#include "log.h"
#include "system_clock.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <charconv>
#include <cmath>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr std::size_t npos = std::string::npos;
constexpr std::uint64_t part_bytes = 16ULL * 1024;
constexpr std::uint64_t max_ms = 3'600'000; // limit of a request's `ms` and deadline
constexpr duration max_hang_time = std::chrono::minutes(5);
constexpr duration max_slot_wait = std::chrono::minutes(5);
constexpr const char* shed_header = "X-Backend-Shed";
constexpr const char* max_rate_header = "X-Backend-Max-Rate";
constexpr const char* leaving_header = "X-Backend-Leaving";
constexpr const char* content_type = "application/octet-stream";

// Computes the digest of a body and searches it for a text while it is received, so that uploads
// are not buffered. Keeps the last bytes to find a text that spans two parts.
class body_scanner {
public:
    explicit body_scanner(std::string text)
        : context_(EVP_MD_CTX_new(), EVP_MD_CTX_free), text_(std::move(text))
    {
        EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
    }

    void update(std::string_view part)
    {
        EVP_DigestUpdate(context_.get(), part.data(), part.size());
        if (text_.empty() || found_)
            return;
        tail_ += part;
        found_ = tail_.find(text_) != std::string::npos;
        if (tail_.size() >= text_.size())
            tail_.erase(0, tail_.size() - text_.size() + 1);
    }

    bool found() const { return found_; }

    digest finish()
    {
        digest out;
        EVP_DigestFinal_ex(context_.get(), out.bytes.data(), nullptr);
        return out;
    }

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
    std::string text_;
    std::string tail_;
    bool found_ = false;
};

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return out;
}

void respond_error(httplib::Response& res, int status, const std::string& why)
{
    res.status = status;
    res.set_content(why + "\n", "text/plain");
}

// Returns an empty string when the body exceeds 64 KiB. Reads the whole body in any case, since
// unread bytes would be parsed as the next request on the connection.
std::string read_control_body(const httplib::ContentReader& reader)
{
    constexpr std::size_t longest = 64ULL * 1024;
    std::string out;
    bool fits = true;
    reader([&](const char* data, std::size_t n) {
        fits = fits && out.size() + n <= longest;
        if (fits)
            out.append(data, n);
        return true;
    });
    return fits ? out : "";
}

std::string connection_limit_response()
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\n{}: 1\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n",
                       shed_header);
}

json to_json(const run_entry& it)
{
    return {{"id", it.id},
            {"runs", it.runs},
            {"organisation", it.organisation},
            {"method", it.method},
            {"mixed", it.mixed}};
}

// Entries that match the parameters: `id` selects one id, `repeated` those with more than one run.
json entries_json(const std::vector<run_entry>& entries, const httplib::Request& req)
{
    const std::string id = req.get_param_value("id");
    const bool repeated = req.has_param("repeated");
    json out = json::array();
    for (const run_entry& it : entries) {
        if ((id.empty() || it.id == id) && (!repeated || it.runs > 1))
            out.push_back(to_json(it));
    }
    return out;
}

std::uint64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

// One request from its arrival to its response.
struct fake_backend::pending_request {
    const httplib::Request& req;
    httplib::Response& res;
    time_point deadline = time_point::max();
    std::uint64_t size = 0;
    std::optional<duration> time{};
    digest body{};
    bool triggers_crash = false;
    request_faults faults{};
};

fake_backend::fake_backend(fake_backend_options options)
    : options_(std::move(options)), account_(options_.account),
      limiter_(options_.slots, options_.waiting),
      server_({.listen = options_.listen,
               .max_connections = options_.connections,
               .overload_response = connection_limit_response()}),
      announcer_({.nodes = options_.nodes, .interval = options_.announce_interval},
                 [this] { return build_announcement(); }),
      random_(options_.seed), incarnation_(wall_milliseconds())
{
    server_.set_payload_max_length(options_.max_body_bytes);
    add_control_routes();
    add_routes();
}

fake_backend::~fake_backend()
{
    server_.abort_connections();
    stop();
}

bool fake_backend::start()
{
    started_ = boot_now();
    if (!server_.start())
        return false;
    announcer_.start();
    return true;
}

void fake_backend::drain()
{
    if (draining_.exchange(true))
        return;
    log_event(event::backend_draining, "{} at {}", options_.service, to_string(address()));
    announcer_.announce_now();
}

// Keeps serving for `drain_time` after the announcement, since nodes still send requests until the
// draining state has reached them.
void fake_backend::shut_down(duration drain_time, duration grace)
{
    drain();
    std::this_thread::sleep_for(drain_time);
    const bool idle = limiter_.wait_until_idle(grace);
    announcer_.stop();
    announcer_.announce_final();
    if (!idle)
        server_.abort_connections();
    stop();
}

void fake_backend::stop()
{
    announcer_.stop();
    server_.stop_gracefully();
}

void fake_backend::crash()
{
    if (crashed_.exchange(true))
        return;
    server_.abort_connections();
    announcer_.request_stop();
    log_event(event::backend_crashed, "{} at {}", options_.service, to_string(address()));
    if (options_.on_crash)
        options_.on_crash();
}

void fake_backend::set_mode(const backend_mode& mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

server_announcement fake_backend::build_announcement()
{
    return {.service = options_.service,
            .address = server_.address(),
            .slots = options_.slots,
            .draining = draining_,
            .load = reported_load(),
            .incarnation = incarnation_,
            .warm_up = std::max(started_ + options_.cold_time - boot_now(), duration::zero())};
}

// Updates health and load unless the last update is more recent than the mode's report_lag. The
// caller holds mutex_.
void fake_backend::refresh_report()
{
    const time_point now = boot_now();
    if (report_time_ != time_point{} && now - report_time_ < mode_.report_lag)
        return;
    report_time_ = now;
    load_ = mode_.fixed_load >= 0 ? mode_.fixed_load : limiter_.load();
    healthy_ = !mode_.honest_health || (!draining_ && !has_active_faults(mode_, now));
}

double fake_backend::reported_load()
{
    const std::lock_guard lock(mutex_);
    refresh_report();
    return load_;
}

bool fake_backend::reported_health()
{
    const std::lock_guard lock(mutex_);
    refresh_report();
    return healthy_;
}

void fake_backend::add_control_routes()
{
    server_.Get("/health", [this](const httplib::Request&, httplib::Response& res) {
        const bool healthy = reported_health();
        res.status = healthy ? 200 : 503;
        res.set_content(healthy ? "ok\n" : "bad\n", "text/plain");
    });
    server_.Get("/load", [this](const httplib::Request&, httplib::Response& res) {
        const json it{{"load", reported_load()},
                      {"running", limiter_.running()},
                      {"draining", draining_.load()}};
        res.set_content(it.dump(), "application/json");
    });
    server_.Post("/control/mode", [this](const httplib::Request&, httplib::Response& res,
                                         const httplib::ContentReader& reader) {
        const auto mode = parse_mode(read_control_body(reader));
        if (failed(mode))
            return respond_error(res, 400,
                                 error_of(mode).field + ": allowed: " + error_of(mode).allowed);
        set_mode(value_of(mode));
    });
    server_.Post("/control/drain", [this](const httplib::Request&, httplib::Response&,
                                          const httplib::ContentReader& reader) {
        read_control_body(reader);
        drain();
    });
    server_.Get("/control/account", [this](const httplib::Request& req, httplib::Response& res) {
        const run_report report = account_.report();
        const json it{{"runs", report.runs},
                      {"complete", report.complete},
                      {"shed", shed_.load()},
                      {"cancelled", cancelled_.load()},
                      {"expired", expired_.load()},
                      {"requests", entries_json(report.by_request, req)},
                      {"keys", entries_json(report.by_idempotency_key, req)}};
        res.set_content(it.dump(), "application/json");
    });
    server_.Get("/control/seen", [this](const httplib::Request& req, httplib::Response& res) {
        if (req.get_param_value("text").empty())
            return respond_error(res, 400, "text: allowed: a non-empty text to search for");
        const line_search_result report = account_.find_lines(req.get_param_value("text"));
        const json it{{"count", report.lines}, {"complete", report.complete}};
        res.set_content(it.dump(), "application/json");
    });
}

void fake_backend::add_routes()
{
    const auto plain = [this](const httplib::Request& req, httplib::Response& res) {
        handle(req, res, nullptr);
    };
    const auto with_body = [this](const httplib::Request& req, httplib::Response& res,
                                  const httplib::ContentReader& reader) {
        handle(req, res, &reader);
    };
    server_.Get(".*", plain).Options(".*", plain).Delete(".*", plain);
    server_.Post(".*", with_body).Put(".*", with_body).Patch(".*", with_body);
    server_.Delete(".*", with_body);
}

// Says in the answer what the mode names of the work that this server takes.
void fake_backend::add_notice(httplib::Response& res)
{
    const std::lock_guard lock(mutex_);
    if (mode_.max_rate >= 0)
        res.set_header(max_rate_header, fmt::format("{:g}", mode_.max_rate));
    if (mode_.leaving)
        res.set_header(leaving_header, "1");
}

// Runs the request in a slot, or sheds it with a response that says that it did not run. The slot
// is released once the request has run; sending the response body needs none.
void fake_backend::handle(const httplib::Request& req, httplib::Response& res,
                          const httplib::ContentReader* reader)
{
    pending_request it{.req = req, .res = res};
    add_notice(res);
    if (!read_request(it, reader))
        return;
    const duration max_wait =
        it.deadline == time_point::max() ? max_slot_wait : it.deadline - boot_now();
    const slot_result slot = limiter_.acquire(std::max(max_wait, duration::zero()));
    if (slot == slot_result::shed) {
        ++shed_;
        res.set_header(shed_header, "1");
        return respond_error(res, 503, "all slots are taken");
    }
    if (slot == slot_result::expired) {
        ++expired_;
        return respond_error(res, 504, "the deadline passed before the request ran");
    }
    run(it);
    limiter_.release();
}

// Records the headers, reads the whole body and validates the parameters. On an error it sets the
// response and returns false.
bool fake_backend::read_request(pending_request& it, const httplib::ContentReader* reader)
{
    const time_point arrival = boot_now();
    account_.record_line("target", it.req.target);
    for (const auto& [name, value] : it.req.headers)
        account_.record_line(name, value);
    std::string crash_text;
    {
        const std::lock_guard lock(mutex_);
        crash_text = mode_.crash_text;
    }
    body_scanner scanner(crash_text);
    for (const auto& [name, value] : it.req.headers)
        it.triggers_crash =
            it.triggers_crash || (!crash_text.empty() && value.find(crash_text) != npos);
    const auto update = [&](const char* data, std::size_t n) {
        scanner.update({data, n});
        return true;
    };
    if (reader != nullptr && !(*reader)(update)) {
        it.res.set_header("Connection", "close");
        respond_error(it.res, it.res.status > 0 ? it.res.status : 400,
                      "the body could not be read");
        return false;
    }
    it.triggers_crash = it.triggers_crash || scanner.found();
    it.body = scanner.finish();
    const auto size =
        parse_number(it.req.has_param("size") ? it.req.get_param_value("size")
                                              : std::to_string(options_.answer_bytes));
    const std::string deadline = it.req.get_header_value("Jasmine-Deadline-Ms");
    const auto left = parse_number(deadline.empty() ? "0" : deadline);
    const auto time =
        parse_number(it.req.has_param("ms") ? it.req.get_param_value("ms") : std::string("0"));
    if (!size || *size > options_.max_answer_bytes || !left || !time || *time > max_ms) {
        respond_error(it.res, 400,
                      "size, ms or Jasmine-Deadline-Ms is not a number or exceeds its limit");
        return false;
    }
    it.size = *size;
    if (it.req.has_param("ms"))
        it.time = std::chrono::milliseconds(*time);
    if (!deadline.empty())
        it.deadline = arrival + std::chrono::milliseconds(std::min(*left, max_ms));
    return true;
}

// The noise factor is log-normal with mean 1. The first `cold_requests` requests and those within
// `cold_time` after the start are slower by `cold_factor`.
duration fake_backend::draw_service_time(const request_faults& faults)
{
    const double sigma = options_.service_noise;
    double factor = faults.slow_factor;
    if (sigma > 0)
        factor *= std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(random_);
    const bool cold =
        started_requests_++ < options_.cold_requests || boot_now() - started_ < options_.cold_time;
    if (cold)
        factor *= options_.cold_factor;
    return std::chrono::duration_cast<duration>(options_.service_time * factor);
}

// Waits for the service time and sets the response. Ends early when the caller disconnects or the
// deadline passes.
void fake_backend::run(pending_request& it)
{
    if (socket_server::peer_disconnected()) {
        ++cancelled_;
        return;
    }
    account_.count_run(it.req.get_header_value("X-Request-Id"),
                       it.req.get_header_value("Idempotency-Key"),
                       it.req.get_header_value("Jasmine-Organisation"), it.req.method);
    if (it.triggers_crash)
        return crash();
    duration time{};
    {
        const std::lock_guard lock(mutex_);
        it.faults = draw_faults(mode_, boot_now(), random_);
        time = it.faults.hang ? max_hang_time : it.time.value_or(draw_service_time(it.faults));
    }
    const duration left =
        it.deadline == time_point::max() ? duration::max() : it.deadline - boot_now();
    if (socket_server::wait_for_disconnect(std::max(std::min(time, left), duration::zero()))) {
        ++cancelled_;
        return;
    }
    if (left < time) {
        ++expired_;
        return respond_error(it.res, 504, "the deadline passed while the request ran");
    }
    if (it.faults.hang)
        return socket_server::abort_connection();
    answer(it);
}

// Sets the response, with the faults drawn for the request. cpp-httplib sends all bytes of the
// content provider, even beyond Content-Length, and closes the connection when the provider returns
// false.
void fake_backend::answer(pending_request& it)
{
    const std::string id = it.req.get_header_value("X-Request-Id");
    it.res.set_header("X-Request-Id", id);
    it.res.set_header("X-Organisation", it.req.get_header_value("Jasmine-Organisation"));
    if (it.faults.error)
        return respond_error(it.res, 500, "internal error");
    const answer_body body(it.faults.wrong_body ? id + "-other" : id, it.size, it.body);
    const bool truncate = it.faults.truncate;
    const auto write_part = [body, truncate](std::size_t offset, httplib::DataSink& sink) {
        if (truncate && offset >= body.size() / 2)
            return false;
        const std::uint64_t end = truncate ? body.size() / 2 : body.size();
        const std::string part = body.part(offset, std::min(part_bytes, end - offset));
        return sink.write(part.data(), part.size());
    };
    if (it.req.has_param("chunked")) {
        it.res.set_chunked_content_provider(
            content_type, [body, write_part](std::size_t offset, httplib::DataSink& sink) {
                if (offset < body.size())
                    return write_part(offset, sink);
                sink.done();
                return true;
            });
        return;
    }
    const std::uint64_t length = it.faults.wrong_length ? it.size - it.size / 4 : it.size;
    if (length == 0)
        return it.res.set_content("", content_type);
    it.res.set_content_provider(
        length, content_type,
        [body, write_part, length](std::size_t offset, std::size_t, httplib::DataSink& sink) {
            if (body.size() == length)
                return write_part(offset, sink);
            const std::string whole = body.part(0, body.size());
            return sink.write(whole.data(), whole.size());
        });
}

} // namespace jasminebank
