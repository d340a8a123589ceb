#include "load_generator.h"

#include "log.h"
#include "system_clock.h"

#include <httplib.h>

#include <algorithm>
#include <cassert>
#include <thread>

namespace jasminebank {

namespace {

constexpr std::size_t max_reasons = 64;
constexpr duration connect_timeout = std::chrono::seconds(2);
constexpr duration max_sleep = std::chrono::milliseconds(100);
constexpr std::uint64_t max_logged_wrong_answers = 20;

std::vector<arrival_rate> rates_of(const load_options& it)
{
    double weights = 0;
    for (const load_organisation& organisation : it.organisations)
        weights += organisation.weight;
    std::vector<arrival_rate> out;
    for (const load_organisation& organisation : it.organisations) {
        out.push_back({.per_second = it.rate * organisation.weight / weights,
                       .burst_factor = organisation.burst_factor});
    }
    return out;
}

std::uint64_t wall_nanoseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

// Returns a UUID of version 7. It starts with the time in milliseconds, from which a server
// that stores idempotency keys can compute its age.
std::string make_uuid(std::uint64_t random_high, std::uint64_t random_low)
{
    constexpr std::uint64_t nanoseconds_per_millisecond = 1'000'000;
    const std::uint64_t ms = wall_nanoseconds() / nanoseconds_per_millisecond;
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", (ms >> 16U) & 0xffffffffU,
                       ms & 0xffffU, random_high & 0xfffU,
                       0x8000U | ((random_high >> 12U) & 0x3fffU), random_low & 0xffffffffffffU);
}

// One request, its expected answer, and what has been received of the answer.
struct exchange {
    std::string id;
    std::string organisation;
    answer_body expected;
    std::uint64_t received = 0;
    bool matches = true;
};

// Parsed outcome header, for example "not-run; reason=shed". A missing reason is empty.
struct outcome {
    std::string word;
    std::string reason;
};

outcome parse_outcome(std::string_view text)
{
    constexpr std::string_view mark = "reason=";
    outcome out{.word = std::string(text.substr(0, text.find(';'))), .reason = ""};
    const std::size_t at = text.find(mark);
    if (at != std::string_view::npos) {
        const std::string_view rest = text.substr(at + mark.size());
        out.reason = std::string(rest.substr(0, rest.find_first_of("; ")));
    }
    return out;
}

answer_verdict classify_success(const httplib::Response& answer, const exchange& it,
                                const outcome& reported)
{
    if (reported.word == "not-run")
        return {answer_kind::wrong, "status " + std::to_string(answer.status) + " but not-run"};
    if (answer.get_header_value("X-Request-Id") != it.id)
        return {answer_kind::wrong, "request id"};
    if (answer.get_header_value("X-Organisation") != it.organisation)
        return {answer_kind::wrong, "organisation"};
    if (!it.matches)
        return {answer_kind::wrong, "body"};
    if (it.received != it.expected.size())
        return {answer_kind::wrong, "cut but ended as if whole"};
    return {};
}

// An answer counts as refused only if it states that the request did not run. An answer with the id
// of another request is wrong, whatever its status.
answer_verdict classify_answer(const httplib::Result& answer, const exchange& it)
{
    if (!answer) {
        const httplib::Error error = answer.error();
        const bool connected =
            error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout;
        return {answer_kind::broken, connected ? httplib::to_string(error) : "no connection"};
    }
    const outcome reported = parse_outcome(answer->get_header_value("Jasmine-Outcome"));
    if (answer->status >= 200 && answer->status < 300)
        return classify_success(*answer, it, reported);
    const std::string id = answer->get_header_value("X-Request-Id");
    if (!id.empty() && id != it.id)
        return {answer_kind::wrong, "request id"};
    const std::string status = "status " + std::to_string(answer->status);
    if (reported.word == "not-run")
        return {answer_kind::refused, reported.reason.empty() ? status : reported.reason};
    if (reported.word == "unknown")
        return {answer_kind::unknown, reported.reason.empty() ? status : reported.reason};
    if (reported.word.empty() && answer->has_header("X-Backend-Shed"))
        return {answer_kind::refused, "shed"};
    return {answer_kind::failed, reported.word.empty() ? status + " without outcome" : status};
}

void add_reason(organisation_figures& out, const answer_verdict& it)
{
    if (it.kind == answer_kind::ok)
        return;
    auto entry = std::find_if(out.reasons.begin(), out.reasons.end(), [&](const reason_count& n) {
        return n.kind == it.kind && n.reason == it.reason;
    });
    if (entry == out.reasons.end()) {
        const bool full = out.reasons.size() >= max_reasons;
        if (full && out.reasons.back().reason == "other")
            entry = out.reasons.end() - 1;
        else
            entry = out.reasons.insert(out.reasons.end(),
                                       {.kind = it.kind, .reason = full ? "other" : it.reason});
    }
    ++entry->count;
}

void add_answer(organisation_figures& out, const answer_verdict& it, duration latency)
{
    ++out.sent;
    ++out.counts[static_cast<std::size_t>(it.kind)];
    add_reason(out, it);
    (it.kind == answer_kind::ok ? out.latency : out.other_latency).add(latency);
}

} // namespace

std::string_view name_of(answer_kind it)
{
    static constexpr std::array<std::string_view, answer_kinds> names{
        "ok", "refused", "failed", "unknown", "broken", "wrong"};
    return names[static_cast<std::size_t>(it)];
}

// HTTP client of one caller. Keeps one persistent connection and moves to the next target if
// connecting fails or an answer contains `Connection: close`.
struct load_generator::caller_client {
    caller_client(const load_options& options, std::size_t number)
        : options_(options), target_(number)
    {
        connect();
    }

    // Sends one request and classifies its answer. `random` seeds the request id and the
    // idempotency key.
    answer_verdict send(sent_request& it, std::uint64_t random)
    {
        const std::string id = make_uuid(random, mix(random, 1));
        it.id = id;
        const std::string body =
            answer_body(id, options_.body_bytes, {}).part(0, options_.body_bytes);
        const load_organisation& from = options_.organisations[it.organisation];
        exchange pending{.id = id,
                         .organisation = from.name,
                         .expected = answer_body(id, options_.answer_bytes, digest_of(body))};
        httplib::Request req = make_request(from, id, body);
        if (options_.idempotency)
            req.set_header("Idempotency-Key", make_uuid(mix(random, 2), mix(random, 3)));
        req.content_receiver = [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t) {
            pending.matches =
                pending.matches && pending.expected.matches(pending.received, {data, n});
            pending.received += n;
            return true;
        };
        const httplib::Result answer = client_->send(req);
        answer_verdict out = classify_answer(answer, pending);
        it.kind = out.kind;
        if (out.reason == "no connection" ||
            (answer && answer->get_header_value("Connection") == "close"))
            connect();
        return out;
    }

private:
    void connect()
    {
        const endpoint& to = options_.targets[target_++ % options_.targets.size()];
        client_ = std::make_unique<httplib::Client>(to.host, to.port);
        client_->set_keep_alive(true);
        client_->set_tcp_nodelay(true);
        client_->set_decompress(false);
        client_->set_connection_timeout(connect_timeout);
        client_->set_read_timeout(options_.timeout);
        client_->set_write_timeout(options_.timeout);
    }

    httplib::Request make_request(const load_organisation& from, const std::string& id,
                                  const std::string& body) const
    {
        httplib::Request out;
        out.method = options_.method;
        out.path = fmt::format("{}{}size={}{}", options_.path,
                               options_.path.find('?') == std::string::npos ? '?' : '&',
                               options_.answer_bytes, options_.chunked ? "&chunked=1" : "");
        out.body = body;
        out.set_header("X-Request-Id", id);
        if (options_.direct)
            out.set_header("Jasmine-Organisation", from.name);
        else
            out.set_header("Authorization", "Bearer " + from.key);
        return out;
    }

    const load_options& options_;
    std::size_t target_;
    std::unique_ptr<httplib::Client> client_;
};

load_generator::load_generator(load_options options)
    : options_(std::move(options)), schedule_(rates_of(options_), options_.run_time, options_.seed),
      id_seed_(mix(options_.seed, wall_nanoseconds()))
{
    assert(!options_.targets.empty() && !options_.organisations.empty());
    for (const load_organisation& it : options_.organisations)
        report_.organisations.push_back({.name = it.name});
    report_.total.name = "all";
}

load_generator::~load_generator() = default;

void load_generator::stop()
{
    stopping_ = true;
}

load_report load_generator::run()
{
    start_ = boot_now();
    const std::size_t callers =
        options_.closed_loop > 0 ? options_.closed_loop : options_.connections;
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < callers; ++n)
        threads.emplace_back([this, n] { run_caller(n); });
    for (std::thread& it : threads)
        it.join();
    const std::lock_guard lock(mutex_);
    report_.run_time = boot_now() - start_;
    return report_;
}

// Open loop: returns the next arrival of the schedule. Closed loop: returns an arrival that is due
// now; each caller always sends for the same organisation.
std::optional<arrival> load_generator::next_arrival(std::size_t caller)
{
    const std::lock_guard lock(mutex_);
    if (options_.closed_loop == 0)
        return schedule_.next();
    const duration at = boot_now() - start_;
    if (at >= options_.run_time)
        return std::nullopt;
    return arrival{.at = at,
                   .organisation = caller % options_.organisations.size(),
                   .number = closed_loop_count_++};
}

// Latency is measured from the scheduled time even if no connection was free then, because a real
// caller would have waited as well.
void load_generator::run_caller(std::size_t caller)
{
    caller_client it(options_, caller);
    while (!stopping_) {
        const auto next = next_arrival(caller);
        if (!next)
            return;
        const time_point due = start_ + next->at;
        while (!stopping_ && boot_now() < due)
            std::this_thread::sleep_for(std::min<duration>(due - boot_now(), max_sleep));
        const duration lag = boot_now() - due;
        if (stopping_)
            return;
        if (lag > options_.timeout) {
            const std::lock_guard lock(mutex_);
            ++report_.unsent;
            continue;
        }
        sent_request sent{.id = "", .organisation = next->organisation};
        const answer_verdict result = it.send(sent, mix(id_seed_, next->number));
        record(sent, result, boot_now() - due, lag);
    }
}

void load_generator::record(const sent_request& it, const answer_verdict& result, duration latency,
                            duration lag)
{
    const std::lock_guard lock(mutex_);
    add_answer(report_.organisations[it.organisation], result, latency);
    add_answer(report_.total, result, latency);
    report_.worst_lag = std::max(report_.worst_lag, lag);
    if (report_.requests.size() < options_.max_recorded_requests)
        report_.requests.push_back(it);
    else
        report_.requests_complete = false;
    if (result.kind == answer_kind::wrong &&
        report_.total.count(answer_kind::wrong) <= max_logged_wrong_answers) {
        log_event(event::answer_wrong, "{} of {}: {}", it.id,
                  options_.organisations[it.organisation].name, result.reason);
    }
}

} // namespace jasminebank
