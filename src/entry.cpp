#include "entry.h"

#include "caller_head.h"
#include "log.h"
#include "socket_server.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <thread>

namespace jasminebank {

namespace {

constexpr std::size_t chunk_bytes = 16UL * 1024;
// How often a thread that waits for an answer looks whether its caller is still there.
constexpr duration caller_check_interval = std::chrono::milliseconds(100);
constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;
constexpr int bad_gateway_status = 502;
constexpr int too_many_requests_status = 429;
constexpr int unavailable_status = 503;
constexpr int first_error_status = 500;
// Gates that say honestly that they did not run a request cost little; so many are asked.
constexpr std::size_t most_tries = 24;
// Refusals after which a request rather waits for a slot than asks for another free one.
constexpr std::size_t most_free_tries = 5;
// How long a request that must not be repeated waits for a server that is not suspected: a part of
// its target latency, so that most of it is left for the work.
constexpr duration suspect_pause = std::chrono::milliseconds(40);
constexpr duration shortest_patience = std::chrono::milliseconds(100);

// The caller's head with the names that the HTTP library was kept from acting upon.
message_head head_of(const httplib::Request& req)
{
    message_head out{.method = req.method, .path = req.target, .status = 0, .fields = {}};
    for (const auto& [name, value] : req.headers) {
        // Added by the library itself, not by the caller.
        if (name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" ||
            name == "LOCAL_PORT")
            continue;
        const bool raw = name.starts_with(raw_prefix);
        out.fields.push_back({.name = raw ? name.substr(raw_prefix.size()) : name, .value = value});
    }
    return out;
}

// When a caller may come back after a refusal that names no time itself: soon, since what was full
// or away is mostly back within a moment.
constexpr duration default_retry_after = std::chrono::milliseconds(300);

bool says_when_to_retry(refusal it)
{
    const int status = status_of(it);
    return status == unavailable_status || status == too_many_requests_status;
}

std::optional<std::size_t> length_of(const message_head& head)
{
    const std::string* text = find_field(head, "content-length");
    std::size_t out = 0;
    if (text == nullptr)
        return std::nullopt;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), out);
    if (ec != std::errc{} || end != text->data() + text->size())
        return std::nullopt;
    return out;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

refusal_answer answer_of(const link_error& it)
{
    if (!may_have_run(it))
        return {.reason = refusal::no_backend_server};
    if (it.kind == link_failure::timed_out)
        return {.reason = refusal::deadline, .state = run_state::unknown};
    return {.reason = refusal::backend_server_error, .state = run_state::unknown};
}

} // namespace

// What became of one try at one backend server.
struct entry::attempt {
    std::shared_ptr<link_stream> stream;
    std::optional<message_head> answer;
    std::optional<refusal_answer> refused;
    std::string body;           // of the answer, as far as it was read ahead
    bool body_is_whole = false; // nothing is left to read
    std::optional<double> load; // of the backend server, as its gate told
    bool gate_failed = false;
    bool body_consumed = false;
    bool caller_left = false;
    bool is_hedged = false; // given up for a try elsewhere, which the budget allows
};

// The status must agree with what is known of the request: one that promises that it did not run is
// never given for one that may have run.
void entry::refuse(httplib::Response& res, const refusal_answer& it) const
{
    const int status = status_of(it.reason);
    const bool promises = says_when_to_retry(it.reason);
    res.status = promises && it.state != run_state::not_run && options_.names.status_is_promise
                     ? bad_gateway_status
                     : status;
    res.set_header(std::string(outcome_header), outcome_text(it));
    if (it.state == run_state::not_run && (it.retry_after || promises)) {
        const duration wait = it.retry_after.value_or(default_retry_after);
        const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
        res.set_header("Retry-After",
                       options_.names.retry_after_fractions
                           ? fmt::format("{:.3f}", std::chrono::duration<double>(wait).count())
                           : fmt::format("{}", std::max<long>(whole.count(), 1)));
    }
    res.set_content(fmt::format("{}\n", outcome_text(it)), "text/plain");
}

// Which backend servers a request has been to, and how it may go to the next. At first it asks only
// for free slots of servers that nobody suspects, which costs a round trip where there is none;
// then it waits for a slot; and only when nothing else is left it goes to one that is suspected.
struct entry::route_search {
    std::vector<backend_server_id> reached; // it may have run there
    std::vector<backend_server_id> full;
    std::vector<backend_server_id> suspected;
    std::size_t refusals = 0;
    bool may_wait = false;
    bool insists = false;
};

entry::entry(entry_options options, link_hub& links, router_options routing)
    : options_(std::move(options)), links_(links), router_(routing),
      retries_({.share = options_.retry_share})
{
}

void entry::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    if (config_ == nullptr || config->generation > config_->generation)
        config_ = std::move(config);
}

std::shared_ptr<const fleet_config> entry::config() const
{
    const std::lock_guard lock(mutex_);
    return config_;
}

void entry::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    router_.update(directory);
    if (options_.fleet_floor_retries > 0)
        retries_.set_floor(options_.fleet_floor_retries / static_cast<double>(std::max<std::size_t>(
                                                              directory.members().size(), 1)));
}

void entry::set_gate_reachable(vm_id gate, bool reachable)
{
    const std::lock_guard lock(mutex_);
    router_.set_reachable(gate, reachable);
}

// Everything is looked up anew for each request, so that a withdrawn key stops on connections that
// are already open, too. What was found stays in `out` for the metrics, also after a refusal.
// A node that may be cut off from news cannot know which keys hold, so this comes before the key.
std::optional<refusal_answer> entry::identify(const caller_head& head, admitted_request& out) const
{
    if (!options_.may_serve())
        return refusal_answer{.reason = refusal::cut_off};
    if (head.key_refusal)
        return refusal_answer{.reason = *head.key_refusal};
    out.organisation = find_key(*out.config, head.key);
    if (out.organisation == nullptr)
        return refusal_answer{.reason = refusal::unknown_key};
    return std::nullopt;
}

std::optional<refusal_answer> entry::admit(const caller_head& head, time_point now,
                                           admitted_request& out)
{
    out.start = now;
    out.config = config();
    if (out.config == nullptr)
        return refusal_answer{.reason = refusal::no_configuration};
    out.route = find_route(*out.config, head.clean.method, path_of(head.clean.path), head.host);
    if (out.route == nullptr)
        return refusal_answer{.reason = refusal::no_route};
    if (!out.route->is_public) {
        if (const auto refused = identify(head, out))
            return refused;
    }
    {
        const std::lock_guard lock(mutex_);
        out.service = find_service(*out.config, pick_service(*out.route, random_()));
    }
    // Backend servers show no key, and the platform tells nothing else of their requests.
    out.is_nested = out.organisation == nullptr && !options_.names.caller_service.empty();
    if (out.organisation != nullptr && !may_use(*out.route, out.organisation->id))
        return refusal_answer{.reason = refusal::not_allowed};
    if (length_of(head.clean).value_or(0) > out.config->most_body_bytes)
        return refusal_answer{.reason = refusal::body_too_large};
    out.idempotent = is_idempotent(*out.route, head.clean.method);
    const duration timeout =
        out.route->timeout > duration::zero() ? out.route->timeout : out.service->timeout;
    out.deadline = now + std::min(timeout, head.time_left.value_or(timeout));
    if (out.deadline <= now)
        return refusal_answer{.reason = refusal::overloaded};
    return hold_to_rate(out);
}

// Comes last, so that no token is spent on a request that is refused for another reason.
std::optional<refusal_answer> entry::hold_to_rate(const admitted_request& request) const
{
    if (request.organisation == nullptr || request.organisation->is_unlimited)
        return std::nullopt;
    const limit_verdict verdict = options_.take_token(request.organisation->id, request.deadline);
    const auto* refused = std::get_if<limit_refused>(&verdict);
    if (refused == nullptr)
        return std::nullopt;
    return refusal_answer{.reason = refused->no_holder ? refusal::overloaded : refusal::over_rate,
                          .retry_after = refused->retry_after};
}

// A body that nobody will read ends the connection, since its bytes would be taken for the next
// request.
void entry::handle(const httplib::Request& req, httplib::Response& res,
                   const httplib::ContentReader* reader)
{
    const auto head = split_caller_head(head_of(req), options_.names);
    if (failed(head)) {
        socket_server::close_after_answer(res);
        refuse(res, {.reason = error_of(head)});
        return;
    }
    serve(value_of(head), res, reader);
}

// Names for the metrics come from the configuration, never from the caller, so their number is
// bounded by it.
void entry::serve(const caller_head& head, httplib::Response& res,
                  const httplib::ContentReader* reader)
{
    const time_point start = boot_now();
    admitted_request request;
    if (const auto refused = admit(head, start, request)) {
        if (length_of(head.clean) != std::size_t{0})
            socket_server::close_after_answer(res);
        refuse(res, *refused);
    }
    else {
        forward(request, head.clean, res, reader);
    }
    const auto outcome = parse_outcome(res.get_header_value(std::string(outcome_header)));
    metrics_.add({.organisation = request.organisation == nullptr ? "" : request.organisation->name,
                  .service = request.service == nullptr ? "" : request.service->name,
                  .outcome = outcome ? name_of(outcome->reason) : name_of(run_state::ran),
                  .latency = boot_now() - start});
    note_end(head, request, res);
}

// One line for each request, with what decided it.
void entry::note_end(const caller_head& head, const admitted_request& request,
                     const httplib::Response& res)
{
    const std::string* id = find_field(head.clean, options_.names.request_id);
    log_event(event::request_ended,
              "id={} org={} route={} service={} generation={} status={} outcome=\"{}\" ms={:.1f}",
              id == nullptr ? "-" : *id,
              request.organisation == nullptr ? "-" : request.organisation->name,
              request.route == nullptr ? "-" : request.route->name,
              request.service == nullptr ? "-" : request.service->name,
              request.config == nullptr ? 0 : request.config->generation, res.status,
              res.get_header_value(std::string(outcome_header)),
              std::chrono::duration<double, std::milli>(boot_now() - request.start).count());
}

std::optional<route_choice> entry::choose(const admitted_request& request,
                                          const std::vector<backend_server_id>& tried,
                                          bool is_thorough)
{
    const std::lock_guard lock(mutex_);
    auto out = router_.choose({.service = request.service->id,
                               .idempotent = request.idempotent,
                               .tried = tried,
                               .is_thorough = is_thorough},
                              random_(), boot_now());
    if (out)
        router_.started(out->server);
    return out;
}

// Claims the idempotency key of a request that must run at most once. False when the request must
// not be sent: the answer is then written. The claim comes after the body, so that a slow caller
// does not hold it, and before anything is sent.
bool entry::claim_key(admitted_request& request, const message_head& head, const std::string& body,
                      httplib::Response& res, std::unique_ptr<once_hold>& hold)
{
    if (options_.once == nullptr || request.idempotent || request.organisation == nullptr)
        return true;
    const auto identity = once_identity(head, request.organisation->id, body);
    if (failed(identity)) {
        refuse(res, {.reason = error_of(identity)});
        return false;
    }
    if (!value_of(identity))
        return true;
    once_ticket ticket = options_.once->claim(*value_of(identity), request.deadline);
    if (std::holds_alternative<once_granted>(ticket.answer)) {
        request.deadline = std::min(request.deadline, ticket.deadline);
        hold = std::make_unique<once_hold>(*options_.once, std::move(ticket));
        return true;
    }
    if (const auto* done = std::get_if<once_done>(&ticket.answer))
        res.set_header(std::string(first_status_header), fmt::format("{}", done->status));
    refuse(res, refusal_of(ticket.answer));
    return false;
}

// Small bodies are read whole first: a slow caller then holds no slot of a backend server, and the
// request may be tried again elsewhere. Longer ones are streamed and get one try.
void entry::forward(admitted_request& request, const message_head& head, httplib::Response& res,
                    const httplib::ContentReader* reader)
{
    const auto length = length_of(head);
    const bool buffered = reader == nullptr || (length && *length <= options_.buffered_body_bytes);
    std::string body;
    if (buffered && reader != nullptr && *length > 0) {
        const bool whole = (*reader)([&body](const char* data, std::size_t n) {
            body.append(data, n);
            return true;
        });
        if (!whole) {
            socket_server::close_after_answer(res);
            refuse(res, {.reason = refusal::bad_request});
            return;
        }
    }
    const organisation_id owner =
        request.organisation == nullptr ? organisation_id{} : request.organisation->id;
    request.body_bytes = length.value_or(0);
    request.fingerprint = fingerprint_of(owner, request.route->id, head.method,
                                         head.path + '\n' + to_hex(digest_of(body)));
    if (const duration wait = options_.poisoned_for(request.fingerprint); wait > duration::zero()) {
        if (!buffered)
            socket_server::close_after_answer(res);
        refuse(res, {.reason = refusal::poison, .retry_after = wait});
        return;
    }
    std::unique_ptr<once_hold> hold;
    if (!claim_key(request, head, body, res, hold)) {
        if (!buffered)
            socket_server::close_after_answer(res);
        return;
    }
    const auto refused =
        try_servers(request, head, body, buffered ? nullptr : reader, hold.get(), res);
    if (!refused)
        return;
    if (hold != nullptr)
        hold->refused(refused->state);
    refuse(res, *refused);
}

// True when the answer is a failure of the backend server that another one may not share.
static bool is_server_failure(const message_head& answer)
{
    return answer.status >= first_error_status;
}

std::optional<route_choice> entry::choose_next(const admitted_request& request,
                                               route_search& search)
{
    std::vector<backend_server_id> out = search.reached;
    out.insert(out.end(), search.suspected.begin(), search.suspected.end());
    if (!search.may_wait) {
        std::vector<backend_server_id> all = out;
        all.insert(all.end(), search.full.begin(), search.full.end());
        if (search.refusals < most_free_tries) {
            if (auto choice = choose(request, all))
                return choice;
        }
        search.may_wait = true;
    }
    if (auto choice = choose(request, out))
        return choice;
    return choose_suspected(request, search);
}

// All that are left are suspected. An idempotent request goes to the one that is least so, as it
// may be tried again. Another first waits a little for one to come back, and then leaves it to the
// gate of the least suspected whether there is any hope.
std::optional<route_choice> entry::choose_suspected(const admitted_request& request,
                                                    route_search& search)
{
    const duration patience =
        std::max<duration>(request.route->target_latency / 4, shortest_patience);
    const bool may_pause = !request.idempotent && !search.suspected.empty() && !search.insists &&
                           boot_now() + suspect_pause - request.start <= patience;
    if (may_pause) {
        std::this_thread::sleep_for(suspect_pause);
        search.suspected.clear();
        search.full.clear();
        return choose(request, search.reached);
    }
    search.insists = true;
    return choose(request, search.reached, true);
}

// Tries backend servers in turn while the last refusal proves that the request did not run, or the
// request is idempotent. Nothing when an answer was delivered. A run is settled as soon as its
// status is known, whatever becomes of the body.
std::optional<refusal_answer> entry::try_servers(const admitted_request& request,
                                                 const message_head& head, const std::string& body,
                                                 const httplib::ContentReader* reader,
                                                 once_hold* hold, httplib::Response& res)
{
    route_search search;
    // A body that is streamed can be sent only once, so it waits where it comes first.
    search.may_wait = reader != nullptr;
    search.insists = reader != nullptr;
    refusal_answer last{.reason = refusal::no_backend_server};
    bool may_have_run = false;
    std::size_t arrivals = 0;
    attempt answered;
    for (std::size_t n = 0; n < most_tries && arrivals < request.route->attempts; ++n) {
        if (hold != nullptr && boot_now() >= hold->deadline()) {
            last = {.reason = refusal::deadline};
            break;
        }
        const auto choice = choose_next(request, search);
        if (!choice)
            break;
        attempt it = try_once(request, *choice, search, head, body, reader);
        if (it.answer) {
            if (hold != nullptr)
                hold->ran(it.answer->status);
            read_small_answer(it, request.deadline);
            learn_size(request, it.body.size());
        }
        finished(*choice, it);
        if (it.answer) {
            ++arrivals;
            search.reached.push_back(choice->server);
            const bool keep =
                !request.idempotent || !is_server_failure(*it.answer) || it.body_consumed ||
                !may_retry(request,
                           {.reason = refusal::backend_server_error, .state = run_state::ran});
            answered = std::move(it);
            if (keep)
                break;
            may_have_run = true;
            continue;
        }
        last = *it.refused;
        if (it.body_consumed)
            socket_server::close_after_answer(res);
        ++search.refusals;
        if (last.reason == refusal::overloaded && !search.may_wait)
            search.full.push_back(choice->server);
        else if (last.reason == refusal::suspect && !search.insists)
            search.suspected.push_back(choice->server);
        else
            search.reached.push_back(choice->server);
        arrivals += last.state != run_state::not_run || last.reason == refusal::shed ? 1 : 0;
        const bool first_loss = last.state != run_state::not_run && !may_have_run;
        may_have_run |= last.state != run_state::not_run;
        const bool again =
            may_try_elsewhere(last) || it.is_hedged ||
            (request.idempotent && first_loss && last.reason == refusal::backend_server_error);
        if (!again || it.body_consumed || it.caller_left ||
            (!it.is_hedged && !may_retry(request, last)))
            break;
    }
    // The failure that a backend server itself reported is told rather than one of ours.
    if (answered.answer) {
        deliver(request, answered, head, res);
        return std::nullopt;
    }
    // What an earlier try may have run, a later refusal does not undo.
    if (may_have_run)
        last.state = run_state::unknown;
    return last;
}

// A refusal by a gate costs its backend server nothing; what reaches a backend server once more
// comes out of the budget of the service, which all nodes share.
bool entry::may_retry(const admitted_request& request, const refusal_answer& last)
{
    const time_point now = boot_now();
    const bool is_free = last.state == run_state::not_run && last.reason != refusal::shed;
    if (is_free)
        return now < request.deadline;
    const std::lock_guard lock(mutex_);
    return retries_.ask(
               {.organisation = {}, .service = request.service->id, .deadline = request.deadline},
               now) == retry_decision::granted;
}

void entry::finished(const route_choice& choice, const attempt& it)
{
    if (it.gate_failed)
        options_.on_gate_failed(choice.gate);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    if (it.gate_failed)
        router_.gate_failed(choice.gate, now);
    router_.finished(choice.server, it.load, now);
    if (it.refused && it.refused->reason == refusal::suspect)
        router_.refused(choice.server, true, it.load, now);
    else if (it.refused && it.refused->reason == refusal::overloaded)
        router_.refused(choice.server, false, it.load, now);
}

// Streams the caller's body. False when the caller broke it off or the gate takes no more; the
// gate's answer, if there is one, tells which.
static bool pump(const httplib::ContentReader& reader, link_stream& stream, duration timeout)
{
    bool gate_left = false;
    const bool whole = reader([&](const char* data, std::size_t n) {
        gate_left = failed(stream.write({data, n}, boot_now() + timeout));
        return !gate_left;
    });
    if (whole)
        stream.finish();
    else if (!gate_left)
        stream.reset(reset_reason::cancelled);
    return whole || gate_left;
}

static std::optional<double> load_of(const message_head& answer)
{
    const std::string* text = find_field(answer, load_field);
    double out = 0;
    if (text == nullptr)
        return std::nullopt;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), out);
    return ec == std::errc{} ? std::optional(out) : std::nullopt;
}

static std::uint32_t priority_of(const admitted_request& request)
{
    if (request.organisation != nullptr && request.organisation->priority)
        return *request.organisation->priority;
    return request.route->priority;
}

// Waits for the answer's head in short steps, to notice a caller that has left.
static result<message_head, link_error> wait_for_head(link_stream& stream, time_point deadline,
                                                      bool& caller_left)
{
    while (true) {
        const time_point step = std::min(deadline, boot_now() + caller_check_interval);
        auto out = stream.read_head(step);
        if (!failed(out) || error_of(out).kind != link_failure::timed_out || step == deadline)
            return out;
        caller_left = socket_server::peer_left();
        if (caller_left) {
            stream.reset(reset_reason::cancelled);
            return out;
        }
    }
}

// Reads an answer ahead, up to the bound: one that breaks off there is a failed try, and no caller
// has seen a part of it.
void entry::read_small_answer(attempt& it, time_point deadline) const
{
    std::array<char, chunk_bytes> buf{};
    while (it.body.size() < options_.buffered_answer_bytes) {
        const auto n = it.stream->read(buf, deadline);
        if (failed(n)) {
            it.refused = {.reason = error_of(n).kind == link_failure::timed_out
                                        ? refusal::deadline
                                        : refusal::backend_server_error,
                          .state = run_state::unknown};
            it.answer.reset();
            return;
        }
        if (value_of(n) == 0) {
            it.body_is_whole = true;
            return;
        }
        it.body.append(buf.data(), value_of(n));
    }
}

// Usual time of answers to requests with this target latency, in seconds. Before there is a sample,
// a target is taken for four times of it.
static double usual_seconds(const std::map<duration, double>& known, duration target)
{
    constexpr double target_to_usual = 4;
    const auto it = known.find(target);
    return it != known.end() ? it->second
                             : std::chrono::duration<double>(target).count() / target_to_usual;
}

std::size_t entry::expected_answer_bytes(route_id route) const
{
    const auto it = answer_bytes_.find(route);
    return it == answer_bytes_.end() ? 0 : static_cast<std::size_t>(it->second);
}

void entry::learn_size(const admitted_request& request, std::size_t bytes)
{
    constexpr double weight = 0.1;
    constexpr std::size_t most_routes = 4096;
    const std::lock_guard lock(mutex_);
    if (answer_bytes_.size() >= most_routes && !answer_bytes_.contains(request.route->id))
        return;
    double& known = answer_bytes_[request.route->id];
    known += weight * (static_cast<double>(bytes) - known);
}

duration entry::hedge_delay(const admitted_request& request) const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        options_.hedge_after * usual_seconds(answer_seconds_, request.route->target_latency)));
}

void entry::learn_time(const admitted_request& request, duration took)
{
    constexpr double weight = 0.05;
    constexpr std::size_t most_targets = 64;
    const std::lock_guard lock(mutex_);
    const duration target = request.route->target_latency;
    if (answer_seconds_.size() >= most_targets && !answer_seconds_.contains(target))
        return;
    const double usual = usual_seconds(answer_seconds_, target);
    answer_seconds_[target] =
        usual + weight * (std::chrono::duration<double>(took).count() - usual);
}

// Waits for the answer's head. An idempotent request that is late for its kind is given up for a
// try elsewhere, if the budget has room for it.
result<message_head, link_error> entry::wait_for_answer(const admitted_request& request,
                                                        attempt& it, bool may_hedge,
                                                        time_point deadline)
{
    const time_point start = boot_now();
    const duration delay = hedge_delay(request);
    const bool hedges =
        may_hedge && request.idempotent && delay > duration::zero() && start + 2 * delay < deadline;
    if (!hedges)
        return wait_for_head(*it.stream, deadline, it.caller_left);
    auto out = wait_for_head(*it.stream, start + delay, it.caller_left);
    if (!failed(out)) {
        learn_time(request, boot_now() - start);
        return out;
    }
    if (error_of(out).kind != link_failure::timed_out || it.caller_left)
        return out;
    it.is_hedged =
        may_retry(request, {.reason = refusal::backend_server_error, .state = run_state::unknown});
    if (!it.is_hedged)
        return wait_for_head(*it.stream, deadline, it.caller_left);
    it.stream->reset(reset_reason::cancelled);
    return out;
}

entry::attempt entry::try_once(const admitted_request& request, const route_choice& choice,
                               const route_search& search, const message_head& head,
                               const std::string& body, const httplib::ContentReader* reader)
{
    message_head out = head;
    write_dispatch(
        {.server = choice.server,
         .gate_run = choice.gate_run,
         .route = request.route->id,
         .service = request.service->id,
         .organisation = request.organisation == nullptr ? "" : request.organisation->name,
         .caller_service = options_.local_service(),
         .priority = priority_of(request),
         .target = request.route->target_latency,
         .time_left = request.deadline - boot_now(),
         .idempotent = request.idempotent,
         .may_wait = search.may_wait,
         .insists = search.insists,
         .fingerprint = request.fingerprint},
        out);
    attempt it;
    it.body_consumed = reader != nullptr;
    it.stream = links_.open(choice.gate_link, std::move(out), body.empty() && reader == nullptr);
    if (!body.empty()) {
        if (!failed(it.stream->write(body, request.deadline)))
            it.stream->finish();
    }
    if (reader != nullptr && !pump(*reader, *it.stream, request.service->timeout)) {
        it.caller_left = true;
        it.refused = {.reason = refusal::bad_request, .state = run_state::unknown};
        return it;
    }
    const time_point deadline =
        reader == nullptr ? request.deadline : boot_now() + request.service->timeout;
    const bool may_hedge = reader == nullptr && search.reached.size() + 1 < request.route->attempts;
    auto answer = wait_for_answer(request, it, may_hedge, deadline);
    if (failed(answer)) {
        it.refused = answer_of(error_of(answer));
        // A deadline that passes, or a caller that leaves, says nothing about the gate.
        it.gate_failed = error_of(answer).kind == link_failure::not_sent ||
                         error_of(answer).kind == link_failure::maybe_sent;
        return it;
    }
    it.load = load_of(value_of(answer));
    const std::string* outcome = find_field(value_of(answer), outcome_field);
    if (outcome == nullptr || *outcome != name_of(run_state::ran)) {
        it.refused = outcome == nullptr ? std::nullopt : parse_outcome(*outcome);
        if (!it.refused)
            it.refused = {.reason = refusal::backend_server_error, .state = run_state::unknown};
        return it;
    }
    it.answer = std::move(value_of(answer));
    return it;
}

// Passes the body on as it comes. Any failure on the way breaks the caller's connection, so that a
// part is never taken for the whole.
void entry::deliver(const admitted_request& request, const attempt& it, const message_head& head,
                    httplib::Response& res)
{
    const message_head& answer = *it.answer;
    if (!is_server_failure(answer)) {
        const std::lock_guard lock(mutex_);
        retries_.on_success({}, request.service->id, boot_now());
    }
    res.status = answer.status;
    const std::string* type = find_field(answer, "content-type");
    for (const header_field& field : answer.fields) {
        const bool ours = field.name.starts_with(internal_prefix);
        if (!ours && field.name != "content-length" && field.name != "content-type")
            res.headers.emplace(field.name, field.value);
    }
    res.set_header(std::string(outcome_header), std::string(name_of(run_state::ran)));
    const bool bodiless = head.method == "HEAD" || answer.status == no_content_status ||
                          answer.status == not_modified_status;
    auto length = length_of(answer);
    if (it.body_is_whole && !bodiless)
        length = it.body.size();
    // What was read ahead goes first, then the rest as it comes.
    auto ahead = std::make_shared<std::string>(it.body);
    const auto pass_on = [stream = it.stream, timeout = request.service->timeout, length, ahead,
                          whole = it.body_is_whole](std::size_t, httplib::DataSink& sink) {
        if (!ahead->empty()) {
            const std::string first = std::exchange(*ahead, {});
            sink.write(first.data(), first.size());
            return true;
        }
        if (whole) {
            sink.done();
            return true;
        }
        std::array<char, chunk_bytes> buf{};
        const auto n = stream->read(buf, boot_now() + timeout);
        if (failed(n) || (value_of(n) == 0 && length))
            return false;
        if (value_of(n) == 0)
            sink.done();
        else
            sink.write(buf.data(), value_of(n));
        return true;
    };
    const std::string content_type = type == nullptr ? "" : *type;
    if (length == std::size_t{0} && !bodiless) {
        // The library tells no length for a provider of nothing, and the caller would wait.
        res.set_content("", content_type);
    }
    else if (length) {
        res.set_content_provider(
            *length, content_type,
            [pass_on](std::size_t offset, std::size_t, httplib::DataSink& sink) {
                return pass_on(offset, sink);
            });
    }
    else if (!bodiless) {
        res.set_chunked_content_provider(content_type, pass_on);
    }
    if (type == nullptr)
        res.headers.erase("Content-Type");
}

} // namespace jasminebank
