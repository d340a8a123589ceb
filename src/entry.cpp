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
constexpr int no_content_status = 204;
constexpr int not_modified_status = 304;
constexpr int bad_gateway_status = 502;
constexpr int too_many_requests_status = 429;
constexpr int unavailable_status = 503;
// Gates that say honestly that they did not run a request cost little; so many are asked.
constexpr std::size_t most_tries = 24;
// Retries of a service that a node has without any success, where none are shared.
constexpr double own_floor_retries = 2;
// Several round trips between failure domains and the pauses of a busy VM, and a small part of what
// a caller waits.
constexpr duration gate_patience = std::chrono::milliseconds(150);
// After so many gates without an answer it is this node that is cut off. Those of nodes that are
// being stopped are expected to fall silent.
constexpr std::size_t most_silent_gates = 3;
// A retry that all nodes share is asked of another node for at most this long.
constexpr duration shared_retry_patience = std::chrono::milliseconds(60);

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

} // namespace

// What an attempt is made of.
struct entry::attempt_place {
    const admitted_request& request;
    const message_head& head;
    const std::string& body;
    const httplib::ContentReader* reader; // streams the body; nullptr: it is in `body`
    granted_claim* hold;
};

// What became of a request so far.
struct entry::request_progress {
    server_search search;
    refusal_answer last{.reason = refusal::no_backend_server};
    bool may_have_run = false;
    std::size_t arrivals = 0; // at backend servers
    std::size_t silent_gates = 0;
    std::optional<dispatch_attempt> other; // open beside the one that was made last
    std::optional<dispatch_attempt> answered;
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

entry::entry(entry_options options, link_hub& links, router_options routing)
    : options_(std::move(options)), links_(links), self_(routing.self), router_(routing),
      retries_({.share = options_.retry_share,
                .floor_retries = options_.take_shared_retry ? 0 : own_floor_retries})
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
    std::erase_if(gates_heard_,
                  [&](const auto& it) { return directory.find(it.first) == nullptr; });
}

entry::retry_count_table entry::retry_counts() const
{
    const std::lock_guard lock(mutex_);
    return retry_counts_;
}

std::unordered_map<service_id, std::size_t> entry::service_sizes() const
{
    const std::lock_guard lock(mutex_);
    return router_.candidate_counts();
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
    const time_point now = boot_now();
    log_event(event::request_ended,
              "id={} org={} route={} service={} generation={} status={} outcome=\"{}\" ms={:.1f} "
              "ms_left={:.1f}",
              id == nullptr ? "-" : *id,
              request.organisation == nullptr ? "-" : request.organisation->name,
              request.route == nullptr ? "-" : request.route->name,
              request.service == nullptr ? "-" : request.service->name,
              request.config == nullptr ? 0 : request.config->generation, res.status,
              res.get_header_value(std::string(outcome_header)),
              as_milliseconds(now - request.start),
              request.deadline == time_point{} ? 0 : as_milliseconds(request.deadline - now));
}

std::optional<route_choice> entry::choose(const admitted_request& request, const search_step& step)
{
    const std::lock_guard lock(mutex_);
    auto out =
        router_.choose({.service = request.service->id,
                        .idempotent = request.idempotent,
                        .excluded = step.excluded,
                        .bytes = request.body_bytes + answers_.usual_bytes(request.route->id),
                        .examines_all = step.is_thorough},
                       random_(), boot_now());
    if (out)
        router_.started(out->server);
    return out;
}

std::optional<route_choice> entry::choose_next(const admitted_request& request,
                                               server_search& search)
{
    do {
        const search_step step = search.step(boot_now());
        if (step.pause > duration::zero())
            std::this_thread::sleep_for(step.pause);
        if (auto out = choose(request, step))
            return out;
    } while (search.none_found());
    return std::nullopt;
}

// Claims the idempotency key of a request that must run at most once. False when the request must
// not be sent: the answer is then written. The claim comes after the body, so that a slow caller
// does not hold it, and before anything is sent.
bool entry::claim_key(admitted_request& request, const message_head& head, const std::string& body,
                      httplib::Response& res, std::unique_ptr<granted_claim>& hold)
{
    if (options_.once == nullptr || request.idempotent || request.organisation == nullptr)
        return true;
    const auto identity = read_keyed_request(head, request.organisation->id, body);
    if (failed(identity)) {
        refuse(res, {.reason = error_of(identity)});
        return false;
    }
    if (!value_of(identity))
        return true;
    claim_result ticket =
        options_.once->claim(*value_of(identity), answer_limit(request.deadline, stop_).until());
    if (std::holds_alternative<claim_granted>(ticket.answer)) {
        request.deadline = std::min(request.deadline, ticket.deadline);
        hold = std::make_unique<granted_claim>(*options_.once, std::move(ticket));
        return true;
    }
    if (const auto* done = std::get_if<claim_executed>(&ticket.answer))
        res.set_header(std::string(first_status_header), fmt::format("{}", done->status));
    refuse(res, refusal_of(ticket.answer));
    return false;
}

// Why a body did not come whole: nothing of it is read after the deadline.
refusal entry::broken_body(const admitted_request& request)
{
    return boot_now() >= request.deadline ? refusal::deadline : refusal::bad_request;
}

// Small bodies are read whole first: a slow caller then holds no slot of a backend server, and the
// request may be tried again elsewhere. Longer ones are streamed and get one try.
void entry::forward(admitted_request& request, const message_head& head, httplib::Response& res,
                    const httplib::ContentReader* reader)
{
    const auto length = length_of(head);
    const bool buffered = reader == nullptr || (length && *length <= options_.buffered_body_bytes);
    socket_server::end_reading_at(request.deadline);
    std::string body;
    if (buffered && reader != nullptr && *length > 0) {
        const bool whole = (*reader)([&body](const char* data, std::size_t n) {
            body.append(data, n);
            return true;
        });
        if (!whole) {
            socket_server::close_after_answer(res);
            refuse(res, {.reason = broken_body(request)});
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
    std::unique_ptr<granted_claim> hold;
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
        hold->on_refused(refused->state);
    refuse(res, *refused);
}

// Tries backend servers in turn while the last refusal proves that the request did not run, or the
// request is idempotent. Nothing when an answer was delivered. A run is settled as soon as its
// status is known, whatever becomes of the body.
std::optional<refusal_answer> entry::try_servers(const admitted_request& request,
                                                 const message_head& head, const std::string& body,
                                                 const httplib::ContentReader* reader,
                                                 granted_claim* hold, httplib::Response& res)
{
    const attempt_place place{
        .request = request, .head = head, .body = body, .reader = reader, .hold = hold};
    request_progress progress{.search = server_search({.idempotent = request.idempotent,
                                                       .is_streamed = reader != nullptr,
                                                       .target = request.route->target_latency,
                                                       .start = request.start,
                                                       .is_nested = request.is_nested})};
    const answer_limit limit(request.deadline, stop_);
    const auto may_try = [&] {
        return progress.arrivals < request.route->attempts &&
               progress.silent_gates < most_silent_gates && boot_now() < limit.until();
    };
    for (std::size_t n = 0; n < most_tries && may_try(); ++n) {
        if (hold != nullptr && boot_now() >= hold->deadline()) {
            progress.last = {.reason = refusal::deadline};
            break;
        }
        const auto choice = choose_next(request, progress.search);
        if (!choice)
            break;
        if (!is_gate_there(request, *choice)) {
            progress.silent_gates += choice->is_leaving ? 0 : 1;
            progress.search.refused(choice->server, refusal::no_backend_server);
            continue;
        }
        dispatch_attempt it = open_attempt(place, progress.search, *choice, false);
        run_attempt(place, progress, it);
        if (it.body_consumed && it.refused)
            socket_server::close_after_answer(res);
        if (!take_result(place, progress, it))
            break;
    }
    take_other(place, progress);
    // The failure that a backend server itself reported is told rather than one of ours.
    if (progress.answered) {
        deliver(request, *progress.answered, head, res);
        return std::nullopt;
    }
    // What an earlier try may have run, a later refusal does not undo.
    if (progress.may_have_run)
        progress.last.state = run_state::unknown;
    return progress.last;
}

static std::uint32_t priority_of(const admitted_request& request)
{
    if (request.organisation != nullptr && request.organisation->priority)
        return *request.organisation->priority;
    return request.route->priority;
}

dispatch_attempt entry::open_attempt(const attempt_place& place, const server_search& search,
                                     const route_choice& choice, bool is_trial)
{
    const admitted_request& request = place.request;
    const answer_limit limit(request.deadline, stop_);
    message_head head = place.head;
    write_dispatch(
        {.server = choice.server,
         .gate_run = choice.gate_run,
         .route = request.route->id,
         .service = request.service->id,
         .organisation = request.organisation == nullptr ? "" : request.organisation->name,
         .caller_service = options_.local_service(),
         .priority = priority_of(request),
         .is_nested = request.is_nested,
         .target = request.route->target_latency,
         .time_left = limit.until() - boot_now(),
         .idempotent = request.idempotent,
         .may_wait = search.may_wait() && !is_trial,
         .insists = search.insists() && !is_trial,
         .is_trial = is_trial,
         .fingerprint = request.fingerprint},
        head);
    const bool is_streamed = place.reader != nullptr;
    dispatch_attempt it{.choice = choice, .start = boot_now(), .body_consumed = is_streamed};
    it.stream = links_.open(choice.gate_link, std::move(head), place.body.empty() && !is_streamed);
    if (!place.body.empty()) {
        if (write_body(*it.stream, place.body, limit))
            it.stream->finish();
    }
    if (is_streamed && !pump_body(*place.reader, *it.stream, request.service->timeout, stop_)) {
        it.caller_left = true;
        it.refused = {.reason = broken_body(request), .state = run_state::unknown};
    }
    return it;
}

// Bytes that go to a node which died or was cut off a moment ago vanish without a word, so a gate
// that was not heard lately is asked first.
bool entry::is_gate_there(const admitted_request& request, const route_choice& choice)
{
    const duration memory =
        request.idempotent ? options_.gate_memory_if_idempotent : options_.gate_memory;
    {
        const std::lock_guard lock(mutex_);
        const auto heard = gates_heard_.find(choice.gate);
        const bool is_recent = heard != gates_heard_.end() && boot_now() - heard->second < memory;
        if (is_recent || choice.gate == self_)
            return true;
    }
    const bool answers = gate_answers(links_, choice.gate_link, gate_patience);
    if (!answers && !choice.is_leaving)
        options_.on_gate_failed(choice.gate);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    if (answers) {
        gates_heard_[choice.gate] = now;
        return true;
    }
    router_.finished(choice.server, std::nullopt, now);
    if (choice.is_leaving)
        router_.gate_closed(choice.gate, choice.gate_run);
    else
        router_.gate_failed(choice.gate, now);
    return false;
}

// When an idempotent request that is late for its kind is also sent to another server.
time_point entry::hedge_time(const admitted_request& request, const request_progress& progress,
                             const dispatch_attempt& it) const
{
    const bool may_hedge = options_.hedge_after > 0 && request.idempotent && !it.body_consumed &&
                           !it.hedge_asked && !progress.other &&
                           progress.arrivals + 2 <= request.route->attempts;
    if (!may_hedge)
        return time_point::max();
    const std::lock_guard lock(mutex_);
    const auto delay = std::chrono::duration_cast<duration>(
        options_.hedge_after * answers_.usual_time(request.route->target_latency));
    const bool is_in_time = delay > duration::zero() && it.start + 2 * delay < request.deadline;
    return is_in_time ? it.start + delay : time_point::max();
}

// Waits until the attempt has ended. One that is late stays open as `other` while the next one
// begins, if the budget has room for it; `it` is empty then.
void entry::run_attempt(const attempt_place& place, request_progress& progress,
                        dispatch_attempt& it)
{
    const answer_limit limit(place.reader == nullptr ? place.request.deadline
                                                     : boot_now() + place.request.service->timeout,
                             stop_);
    while (!it.refused) {
        const time_point due = hedge_time(place.request, progress, it);
        dispatch_attempt* other = progress.other ? &*progress.other : nullptr;
        const wait_end end = wait_for_either(it, other, limit, due);
        if (end == wait_end::own || (end == wait_end::due && boot_now() >= limit.until())) {
            settle_attempt(it, options_.buffered_answer_bytes, limit);
            return;
        }
        if (end == wait_end::due) {
            it.hedge_asked = true;
            if (!ask_retry(place, "late"))
                continue;
            ++progress.arrivals;
            progress.search.reached(it.choice.server);
            progress.other = std::exchange(it, {});
            return;
        }
        if (end == wait_end::other) {
            take_other(place, progress);
            if (!progress.answered || !is_good(*progress.answered))
                continue;
            it.stream->reset(reset_reason::cancelled);
            return;
        }
        it.stream->reset(reset_reason::cancelled);
        it.refused = {.reason = refusal::caller_left, .state = run_state::unknown};
    }
}

// The gate of a suspected server would like to learn whether it is well: it gets the request while
// another attempt is on its way, so that the caller need not wait for it.
void entry::open_trial(const attempt_place& place, request_progress& progress,
                       const dispatch_attempt& refused)
{
    const admitted_request& request = place.request;
    if (!refused.trial_due || !request.idempotent || place.reader != nullptr || progress.other ||
        progress.arrivals + 2 > request.route->attempts || !ask_retry(place, "trial"))
        return;
    {
        const std::lock_guard lock(mutex_);
        router_.started(refused.choice.server);
    }
    progress.other = open_attempt(place, progress.search, refused.choice, true);
    ++progress.arrivals;
}

// Takes what became of the other attempt, for which it waits unless there is a good answer already.
void entry::take_other(const attempt_place& place, request_progress& progress)
{
    if (!progress.other)
        return;
    dispatch_attempt it = std::move(*progress.other);
    progress.other.reset();
    const bool is_needed = !progress.answered || !is_good(*progress.answered);
    const answer_limit limit(place.request.deadline, stop_);
    if (is_needed && wait_for_either(it, nullptr, limit) != wait_end::caller_left)
        settle_attempt(it, options_.buffered_answer_bytes, limit);
    finished(place, it);
    const bool has_arrived = !it.refused || it.refused->state != run_state::not_run ||
                             it.refused->reason == refusal::shed;
    progress.may_have_run |= has_arrived;
    progress.arrivals -= has_arrived ? 0 : 1;
    if (!is_needed)
        return;
    if (it.answer) {
        learn(place.request, it);
        if (!progress.answered || is_good(it))
            progress.answered = std::move(it);
    }
    else if (it.refused && has_arrived) {
        progress.last = *it.refused;
    }
}

// Takes what became of an attempt. True when another one may follow.
bool entry::take_result(const attempt_place& place, request_progress& progress,
                        dispatch_attempt& it)
{
    if (it.stream == nullptr)
        return true;
    const admitted_request& request = place.request;
    finished(place, it);
    if (progress.answered && is_good(*progress.answered))
        return false;
    if (place.hold != nullptr && it.ran_status)
        place.hold->on_executed(*it.ran_status);
    if (it.answer) {
        learn(request, it);
        ++progress.arrivals;
        progress.search.reached(it.choice.server);
        progress.may_have_run = true;
        progress.answered = std::move(it);
        return !is_good(*progress.answered) && request.idempotent &&
               !progress.answered->body_consumed && !progress.other && ask_retry(place, "error");
    }
    progress.last = *it.refused;
    const bool has_arrived = progress.last.state != run_state::not_run;
    const bool is_first_loss = has_arrived && !progress.may_have_run;
    progress.may_have_run |= has_arrived;
    progress.arrivals += has_arrived || progress.last.reason == refusal::shed ? 1 : 0;
    progress.search.refused(it.choice.server, progress.last.reason);
    if (it.body_consumed || it.caller_left || (has_arrived && progress.other))
        return false;
    open_trial(place, progress, it);
    const bool again =
        may_try_elsewhere(progress.last) || (request.idempotent && is_first_loss &&
                                             progress.last.reason == refusal::backend_server_error);
    return again && may_retry(place, progress);
}

// A refusal by a gate costs its backend server nothing; what reaches a backend server once more
// comes out of the budget of the service, which all nodes share.
bool entry::may_retry(const attempt_place& place, const request_progress& progress)
{
    const refusal_answer& last = progress.last;
    const bool is_free = last.state == run_state::not_run && last.reason != refusal::shed;
    return is_free ? progress.search.may_go_on(boot_now()) : ask_retry(place, "failed");
}

// What this node has earned by its own successes goes first.
bool entry::ask_retry(const attempt_place& place, std::string_view cause)
{
    const admitted_request& request = place.request;
    const time_point now = boot_now();
    retry_decision decision = retry_decision::over_budget;
    {
        const std::lock_guard lock(mutex_);
        decision = retries_.request_retry(
            {.organisation = {}, .service = request.service->id, .deadline = request.deadline},
            now);
    }
    bool is_shared = false;
    if (decision == retry_decision::over_budget && options_.take_shared_retry)
        is_shared = options_.take_shared_retry(
            request.service->id, std::min(request.deadline, now + shared_retry_patience));
    const bool granted = is_shared || decision == retry_decision::granted;
    {
        const std::lock_guard lock(mutex_);
        retry_count& counted = retry_counts_[std::string(cause)];
        ++(granted ? counted.granted : counted.denied);
    }
    const std::string* id = find_field(place.head, options_.names.request_id);
    log_event(event::retry_decided, "id={} service={} cause={} granted={} shared={} ms_left={:.0f}",
              id == nullptr ? "-" : *id, request.service->name, cause, granted, is_shared,
              as_milliseconds(request.deadline - now));
    return granted;
}

void entry::learn(const admitted_request& request, const dispatch_attempt& it)
{
    if (!is_good(it))
        return;
    const std::lock_guard lock(mutex_);
    answers_.learn(request.route->id, request.route->target_latency, boot_now() - it.start,
                   it.body.size());
}

void entry::finished(const attempt_place& place, const dispatch_attempt& it)
{
    if (it.refused && !it.gate_heard && !it.caller_left) {
        const std::string* id = find_field(place.head, options_.names.request_id);
        log_event(event::attempt_lost,
                  "id={} server={:016x} gate={:016x} error={} gate_failed={} ms={:.1f}",
                  id == nullptr ? "-" : *id, it.choice.server.value, it.choice.gate.value,
                  name_of(it.refused->reason), it.gate_failed,
                  as_milliseconds(boot_now() - it.start));
    }
    if (it.gate_failed)
        options_.on_gate_failed(it.choice.gate);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    if (it.gate_heard)
        gates_heard_[it.choice.gate] = now;
    if (it.gate_failed)
        router_.gate_failed(it.choice.gate, now);
    router_.finished(it.choice.server, it.load, now);
    if (it.refused && it.refused->reason == refusal::suspect)
        router_.refused(it.choice.server, true, it.load, now);
    else if (it.refused && it.refused->reason == refusal::overloaded)
        router_.refused(it.choice.server, false, it.load, now);
    else if (it.refused && it.refused->reason == refusal::stopping)
        router_.gate_closed(it.choice.gate, it.choice.gate_run);
}

// Passes the body on as it comes. Any failure on the way breaks the caller's connection, so that a
// part is never taken for the whole.
void entry::deliver(const admitted_request& request, const dispatch_attempt& it,
                    const message_head& head, httplib::Response& res)
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
