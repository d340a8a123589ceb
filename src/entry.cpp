#include "entry.h"

#include "config_refusal.h"

#include "answer_writer.h"
#include "caller_head.h"
#include "log.h"
#include "message_framing.h"
#include "socket_server.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <thread>

namespace jasminebank {

namespace {

constexpr int bad_gateway_status = 502;
constexpr int too_many_requests_status = 429;
constexpr int unavailable_status = 503;
// Limit on the servers tried for one request. High, since a refusal by a gate that did not run the
// request is cheap.
constexpr std::size_t max_gate_tries = 24;
// Retries per service that this node allows without a recent success if there are no shared
// retries.
constexpr double local_floor_retries = 2;
// Covers several round trips between failure domains and the pauses of a busy VM, and is short
// compared with a caller's timeout.
constexpr duration gate_probe_timeout = std::chrono::milliseconds(150);
// After this many unresponsive gates, this node itself is assumed to be cut off, and the search
// ends. Gates of stopping nodes are not counted, since they are expected to become unresponsive.
constexpr std::size_t max_unresponsive_gates = 3;
// With less time left than this, a request that no server has run is refused instead of sent to
// another gate: the deadline would pass while it waits there, and its caller would be told that it
// may have run. Gates return requests that wait in vain 120 ms before their deadline.
constexpr duration least_retry_time = std::chrono::milliseconds(250);
// Timeout of a request to another node for a shared retry.
constexpr duration shared_retry_timeout = std::chrono::milliseconds(60);
constexpr duration shortage_log_interval = std::chrono::seconds(1);

// Returns the caller's head. Fields that were renamed with `raw_prefix`, to keep the HTTP library
// from processing them, get their original names back.
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

// Retry delay of refusals that set none. Short, since full or unavailable servers are usually
// available again soon.
constexpr duration default_retry_after = std::chrono::milliseconds(300);

bool is_retriable(refusal it)
{
    const int status = status_of(it);
    return status == unavailable_status || status == too_many_requests_status;
}

std::uint32_t priority_of(const admitted_request& request)
{
    if (request.organisation != nullptr && request.organisation->priority)
        return *request.organisation->priority;
    return request.route->priority;
}

// Whether the request did not run because no backend server had room for it.
bool lacks_capacity(const refusal_answer& it)
{
    return it.state == run_state::not_run &&
           (it.reason == refusal::overloaded || it.reason == refusal::suspect ||
            it.reason == refusal::shed);
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace

// What all attempts of one request share.
struct entry::attempt_context {
    const admitted_request& request;
    const message_head& head;
    const std::string& body;
    const httplib::ContentReader* reader; // streams the body; null if it is in `body`
    granted_claim* hold; // the claim of the request's idempotency key; null if none was claimed
};

// The state of a request after the attempts made so far.
struct entry::request_progress {
    server_search search;
    refusal_answer last_refusal{.reason = refusal::no_backend_server};
    bool may_have_run = false;
    std::size_t servers_reached = 0; // attempts that reached a backend server
    std::size_t unresponsive_gates = 0;
    // A second open attempt, beside the latest one: the original of a hedged request, or a trial.
    std::optional<dispatch_attempt> other;
    std::optional<dispatch_attempt> answered; // the attempt with the best answer so far
};

// If the header names say that a retriable status guarantees that the request did not run, such a
// status is not used for a request that may have run.
void entry::refuse(httplib::Response& res, const refusal_answer& it) const
{
    const int status = status_of(it.reason);
    const bool retriable = is_retriable(it.reason);
    res.status =
        retriable && it.state != run_state::not_run && options_.names.status_guarantees_not_run
            ? bad_gateway_status
            : status;
    res.set_header(std::string(outcome_header), outcome_text(it));
    if (it.state == run_state::not_run && (it.retry_after || retriable)) {
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
    : options_(std::move(options)), links_(links), self_(routing.self), router_(std::move(routing)),
      retry_budget_({.share = options_.retry_share,
                     .floor_retries = options_.take_shared_retry ? 0 : local_floor_retries})
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
    router_.set_region_nodes(directory, boot_now());
    std::erase_if(gate_last_response_,
                  [&](const auto& it) { return directory.find(it.first) == nullptr; });
}

void entry::set_evacuated(std::vector<failure_domain_id> domains)
{
    const std::lock_guard lock(mutex_);
    router_.set_evacuated(std::move(domains));
}

// Why a request that no gate has refused finds no backend server.
refusal entry::reason_without_server(const admitted_request& request) const
{
    const std::lock_guard lock(mutex_);
    return router_.is_evacuated(request.service->id) ? refusal::evacuated
                                                     : refusal::no_backend_server;
}

entry::retry_count_table entry::retry_counts() const
{
    const std::lock_guard lock(mutex_);
    return retry_counts_;
}

std::unordered_map<service_id, std::size_t> entry::backend_server_counts() const
{
    const std::lock_guard lock(mutex_);
    return router_.candidate_counts();
}

void entry::set_gate_reachable(vm_id gate, bool reachable)
{
    const std::lock_guard lock(mutex_);
    router_.set_reachable(gate, reachable);
}

// Everything is looked up again for each request, so that a revoked key is also refused on open
// connections. `out` keeps what was found for the metrics, also after a refusal. A node that may be
// cut off from configuration updates cannot know which keys are valid, so this is checked before
// the key.
std::optional<refusal_answer> entry::authenticate(const caller_head& head,
                                                  admitted_request& out) const
{
    if (!options_.may_serve())
        return refusal_answer{.reason = refusal::cut_off};
    if (head.key_error)
        return refusal_answer{.reason = *head.key_error};
    out.organisation = find_organisation_by_key(*out.config, head.key);
    if (out.organisation == nullptr)
        return refuse_by_config(refusal::unknown_key, options_.is_config_outdated());
    return std::nullopt;
}

std::optional<refusal_answer> entry::admit(const caller_head& head, time_point now,
                                           admitted_request& out)
{
    out.start = now;
    if (!stop_.accepts(now))
        return refusal_answer{.reason = refusal::stopping};
    out.config = config();
    if (out.config == nullptr)
        return refusal_answer{.reason = refusal::no_configuration};
    out.route =
        find_route(*out.config, head.sanitised.method, path_of(head.sanitised.path), head.host);
    if (out.route == nullptr)
        return refuse_by_config(refusal::no_route, options_.is_config_outdated());
    if (!out.route->is_public) {
        if (const auto refused = authenticate(head, out))
            return refused;
    }
    {
        const std::lock_guard lock(mutex_);
        out.service = find_service(*out.config, pick_service(*out.route, random_()));
    }
    // Backend servers send no key, and the platform marks their requests in no other way: on a
    // platform, a request without an organisation is taken to come from a backend server.
    out.is_nested = out.organisation == nullptr && !options_.names.caller_service.empty();
    if (out.organisation != nullptr && !may_use(*out.route, out.organisation->id))
        return refuse_by_config(refusal::not_allowed, options_.is_config_outdated());
    if (length_of(head.sanitised).value_or(0) > out.config->max_body_bytes)
        return refusal_answer{.reason = refusal::body_too_large};
    out.idempotent = is_idempotent(*out.route, head.sanitised.method);
    const duration timeout =
        out.route->timeout > duration::zero() ? out.route->timeout : out.service->timeout;
    out.deadline = now + std::min(timeout, head.time_left.value_or(timeout));
    if (out.deadline <= now)
        return refusal_answer{.reason = refusal::overloaded};
    static const std::vector<region_id> unrestricted;
    out.regions = intersect_regions(
        out.route->regions, out.organisation == nullptr ? unrestricted : out.organisation->regions);
    if (const auto refused = check_regions(out))
        return refused;
    out.room_refused = check_room(out);
    if (out.room_refused)
        return std::nullopt;
    return check_rate_limit(out);
}

// Refuses a restricted request that no server may serve before its body is read, and before a token
// is taken.
std::optional<refusal_answer> entry::check_regions(const admitted_request& request) const
{
    if (!request.regions)
        return std::nullopt;
    if (request.regions->empty())
        return refusal_answer{.reason = refusal::no_region};
    const std::lock_guard lock(mutex_);
    const bool is_served = router_.has_server({.service = request.service->id,
                                               .idempotent = request.idempotent,
                                               .regions = &request.regions},
                                              boot_now());
    return is_served ? std::nullopt
                     : std::optional(refusal_answer{.reason = refusal::no_backend_server});
}

// The deadline is that of the caller, since a caller's patience depends on it.
room_request entry::room_request_of(const admitted_request& request) const
{
    return {.service = request.service->id,
            .organisation =
                request.organisation == nullptr ? organisation_id{} : request.organisation->id,
            .rank = queue_rank({.priority = priority_of(request), .is_nested = request.is_nested}),
            .is_nested = request.is_nested,
            .is_returned = request.is_returned,
            .start = request.start,
            .deadline = request.deadline,
            .target = request.route->target_latency,
            .expected_service = estimates_.least_service_time(request.route->id)};
}

std::vector<backend_server_id> entry::usable_servers(const admitted_request& request,
                                                     time_point now) const
{
    return router_.usable_servers({.service = request.service->id,
                                   .idempotent = request.idempotent,
                                   .regions = &request.regions},
                                  now);
}

// Returns whether no backend server can start the request in time, as far as their gates have said
// recently.
std::optional<room_refusal> entry::check_room(const admitted_request& request)
{
    if (!options_.service_admission)
        return std::nullopt;
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    return room_.refuse_on_arrival(room_request_of(request), usable_servers(request, now),
                                   random_(), now);
}

// The number of names is bounded by the configuration. The event is logged once a second for each
// service.
refusal_answer entry::refuse_for_room(const admitted_request& request, const room_refusal& it)
{
    const refusal_answer out{.reason = refusal::overloaded, .retry_after = it.retry_after};
    const std::string& service = request.service->name;
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    const std::uint64_t total = ++arrival_refusals_[{service, std::string(name_of(it.cause))}];
    const auto logged = shortage_logged_.find(service);
    if (logged != shortage_logged_.end() && now - logged->second < shortage_log_interval)
        return out;
    shortage_logged_[service] = now;
    log_event(event::service_short, "service={} cause={} retry_after_ms={:.0f} refused={}", service,
              name_of(it.cause), as_milliseconds(it.retry_after), total);
    return out;
}

// Called when the fingerprint is known. A request that returns goes before new ones, so it may
// start in time although a new one could not. The token of a request that was to be refused is
// taken here.
std::optional<refusal_answer> entry::admit_returned(admitted_request& request)
{
    if (!options_.service_admission)
        return std::nullopt;
    {
        const std::lock_guard lock(mutex_);
        request.is_returned =
            options_.marks_returned && returned_.take(request.fingerprint, boot_now());
    }
    if (!request.room_refused)
        return std::nullopt;
    if (request.is_returned)
        request.room_refused = check_room(request);
    if (!request.room_refused)
        return check_rate_limit(request);
    return refuse_for_room(request, *request.room_refused);
}

// The caller may return until its deadline.
void entry::remember_refused(const admitted_request& request, const refusal_answer& it)
{
    if (!options_.service_admission || !it.retry_after || it.state != run_state::not_run)
        return;
    const std::lock_guard lock(mutex_);
    returned_.refused(request.fingerprint, request.deadline, boot_now());
}

std::uint64_t entry::returned_count() const
{
    const std::lock_guard lock(mutex_);
    return returned_.returned();
}

// Spreads the callers that gates have refused for lack of capacity.
void entry::set_retry_after(const admitted_request& request, refusal_answer& it)
{
    if (!options_.service_admission || !lacks_capacity(it) || it.retry_after)
        return;
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    it.retry_after =
        room_.retry_after(room_request_of(request), usable_servers(request, now), random_(), now);
}

entry::arrival_refusal_table entry::arrival_refusals() const
{
    const std::lock_guard lock(mutex_);
    return arrival_refusals_;
}

// Called last, so that no token is spent on a request that is refused for another reason.
std::optional<refusal_answer> entry::check_rate_limit(const admitted_request& request) const
{
    if (request.organisation == nullptr || request.organisation->is_unlimited)
        return std::nullopt;
    const limit_verdict verdict = options_.take_token(request.organisation->id, request.deadline);
    const auto* refused = std::get_if<limit_refused>(&verdict);
    if (refused == nullptr)
        return std::nullopt;
    return refusal_answer{.reason =
                              refused->no_holder ? refusal::limits_unavailable : refusal::over_rate,
                          .retry_after = refused->retry_after};
}

// If the body is not read, the connection is closed, since the bytes of the body would be parsed as
// the next request.
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

// The names in the metrics come from the configuration, never from the caller, so their number is
// bounded.
void entry::serve(const caller_head& head, httplib::Response& res,
                  const httplib::ContentReader* reader)
{
    const time_point start = boot_now();
    admitted_request request;
    if (const auto refused = admit(head, start, request)) {
        if (length_of(head.sanitised) != std::size_t{0})
            socket_server::close_after_answer(res);
        refuse(res, *refused);
    }
    else {
        forward(request, head.sanitised, res, reader);
    }
    const auto outcome = parse_outcome(res.get_header_value(std::string(outcome_header)));
    if (request.is_nested && options_.service_admission)
        options_.on_nested_ended(outcome && lacks_capacity(*outcome));
    metrics_.add({.organisation = request.organisation == nullptr ? "" : request.organisation->name,
                  .service = request.service == nullptr ? "" : request.service->name,
                  .outcome = outcome ? name_of(outcome->reason) : name_of(run_state::ran),
                  .latency = boot_now() - start});
    log_request_end(head, request, res);
}

// Logs one line for each request, with the values that decided its outcome.
void entry::log_request_end(const caller_head& head, const admitted_request& request,
                            const httplib::Response& res)
{
    const std::string* id = find_field(head.sanitised, options_.names.request_id);
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

std::optional<route_choice> entry::choose_server(const admitted_request& request,
                                                 const search_step& step)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    auto out = router_.choose(route_request_of(request, step, now), random_(), now);
    if (out)
        router_.started(out->server);
    if (router_.crossing() != nullptr)
        log_crossing_changes(*request.config);
    return out;
}

// A body of unknown size may take as much of a link between regions as the largest one.
route_request entry::route_request_of(const admitted_request& request, const search_step& step,
                                      time_point now)
{
    route_request out{.service = request.service->id,
                      .idempotent = request.idempotent,
                      .excluded = step.excluded,
                      .full = step.full,
                      .bytes = request.body_bytes + estimates_.expected_bytes(request.route->id),
                      .examines_all = step.consider_all_servers,
                      .regions = &request.regions};
    if (router_.crossing() == nullptr)
        return out;
    if (request.is_length_unknown)
        out.bytes += request.config->max_body_bytes;
    const duration target = request.route->target_latency;
    out.service_time = service_times_.expected_latency(target);
    if (target > duration::zero())
        out.target = std::max(request.start + target - now, duration(1));
    out.time_left = request.deadline - now;
    return out;
}

void entry::log_crossing_changes(const fleet_config& config)
{
    for (const crossing_change& it : router_.crossing()->take_changes()) {
        const auto service = std::ranges::find(config.services, it.service, &service_config::id);
        log_event(it.starts ? event::crossing_started : event::crossing_stopped,
                  "service={} reach={}",
                  service == config.services.end() ? "unknown" : service->name, name_of(it.reach));
    }
}

std::string entry::crossing_metrics()
{
    const std::lock_guard lock(mutex_);
    crossing_policy* it = router_.crossing();
    return it == nullptr ? std::string() : crossing_text(it->counts(), it->link_bytes(boot_now()));
}

// Corrects what was taken from the link between regions, once the size of the answer is known.
void entry::settle_crossing(const admitted_request& request, const dispatch_attempt& it,
                            time_point now)
{
    crossing_policy* policy = router_.crossing();
    if (policy == nullptr || it.choice.reach != crossing_reach::other_region)
        return;
    if (request.is_length_unknown)
        return;
    const std::size_t answer =
        it.answer ? std::max(length_of(*it.answer).value_or(0), it.body.size()) : 0;
    policy->settle(it.choice.expected_bytes, request.body_bytes + answer, now);
}

// Returns the capacity of the link that was taken for a request which was not sent.
void entry::settle_unsent(const route_choice& choice)
{
    const std::lock_guard lock(mutex_);
    crossing_policy* policy = router_.crossing();
    if (policy != nullptr && choice.reach == crossing_reach::other_region)
        policy->settle(choice.expected_bytes, 0, boot_now());
}

// Chooses the server for the next attempt. When no server fits, the search goes on to its next
// stage: servers with a free slot, then waiting for a slot, then suspected servers as well.
std::optional<route_choice> entry::choose_next_server(const admitted_request& request,
                                                      server_search& search)
{
    do {
        const search_step step = search.step(boot_now());
        if (step.pause > duration::zero())
            std::this_thread::sleep_for(step.pause);
        if (auto out = choose_server(request, step))
            return out;
    } while (search.advance_stage());
    return std::nullopt;
}

// Claims the idempotency key of a request that must run at most once. Returns false when the
// request must not be sent; `res` then has the refusal. The key is claimed after a buffered body
// has been received, so that a slow caller does not hold the claim, and before anything is sent.
// The wait for the claim ends at the request's deadline, or at the answer deadline of a planned
// stop if that is earlier. A granted claim is stored in `hold`.
bool entry::claim_idempotency_key(admitted_request& request, const message_head& head,
                                  const std::string& body, httplib::Response& res,
                                  std::unique_ptr<granted_claim>& hold)
{
    if (options_.once == nullptr || request.idempotent || request.organisation == nullptr)
        return true;
    auto identity = read_keyed_request(head, request.organisation->id, body);
    if (failed(identity)) {
        refuse(res, {.reason = error_of(identity)});
        return false;
    }
    if (!value_of(identity))
        return true;
    value_of(identity)->key.regions = request.regions.value_or(std::vector<region_id>{});
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

// Why the caller's body is incomplete: it is read until the deadline only.
refusal entry::body_failure_reason(const admitted_request& request)
{
    return boot_now() >= request.deadline ? refusal::deadline : refusal::bad_request;
}

// Small bodies are buffered before the dispatch: a slow caller then occupies no slot of a backend
// server, and the request can be sent to another one. Larger bodies are streamed and sent only
// once.
void entry::forward(admitted_request& request, const message_head& head, httplib::Response& res,
                    const httplib::ContentReader* reader)
{
    const auto length = length_of(head);
    // A body is streamed as well if there is no memory to buffer it.
    buffer_reservation memory;
    if (reader != nullptr && length && *length <= options_.buffered_body_bytes)
        memory = buffer_reservation(options_.buffers, *length);
    const bool buffered = reader == nullptr || length == std::size_t{0} || !memory.is_empty();
    if (!buffered && request.room_refused) {
        socket_server::close_after_answer(res);
        refuse(res, refuse_for_room(request, *request.room_refused));
        return;
    }
    socket_server::set_request_read_deadline(request.deadline);
    std::string body;
    if (buffered && reader != nullptr && *length > 0) {
        const bool whole = (*reader)([&body](const char* data, std::size_t n) {
            body.append(data, n);
            return true;
        });
        if (!whole) {
            socket_server::close_after_answer(res);
            refuse(res, {.reason = body_failure_reason(request)});
            return;
        }
        if (!stop_.accepts(boot_now())) {
            refuse(res, {.reason = refusal::stopping});
            return;
        }
    }
    const organisation_id owner =
        request.organisation == nullptr ? organisation_id{} : request.organisation->id;
    request.body_bytes = length.value_or(0);
    request.is_length_unknown = reader != nullptr && !length;
    request.fingerprint = fingerprint_of(owner, request.route->id, head.method,
                                         head.path + '\n' + to_hex(digest_of(body)));
    if (const duration wait = options_.poison_time_left(request.fingerprint);
        wait > duration::zero()) {
        if (!buffered)
            socket_server::close_after_answer(res);
        refuse(res, {.reason = refusal::poison, .retry_after = wait});
        return;
    }
    // A streamed body is not part of the fingerprint, so such requests are not recognised.
    if (buffered) {
        if (const auto refused = admit_returned(request)) {
            remember_refused(request, *refused);
            refuse(res, *refused);
            return;
        }
    }
    std::unique_ptr<granted_claim> hold;
    if (!claim_idempotency_key(request, head, body, res, hold)) {
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
    if (buffered)
        remember_refused(request, *refused);
    refuse(res, *refused);
}

// Tries backend servers in turn, as long as the last refusal guarantees that the request did not
// run or the request is idempotent. Returns nothing when an answer was delivered. The outcome for
// the idempotency key is recorded as soon as the status is known, even if the body is truncated
// later.
std::optional<refusal_answer> entry::try_servers(const admitted_request& request,
                                                 const message_head& head, const std::string& body,
                                                 const httplib::ContentReader* reader,
                                                 granted_claim* hold, httplib::Response& res)
{
    const attempt_context context{
        .request = request, .head = head, .body = body, .reader = reader, .hold = hold};
    request_progress progress{.search =
                                  server_search({.idempotent = request.idempotent,
                                                 .is_streamed = reader != nullptr,
                                                 .target_latency = request.route->target_latency,
                                                 .start = request.start,
                                                 .is_nested = request.is_nested})};
    const answer_limit limit(request.deadline, stop_);
    const auto may_try = [&](std::size_t n) {
        const duration least_time = n == 0 ? duration::zero() : least_retry_time;
        return progress.servers_reached < request.route->attempts &&
               progress.unresponsive_gates < max_unresponsive_gates &&
               boot_now() + least_time < limit.until();
    };
    for (std::size_t n = 0; n < max_gate_tries && may_try(n); ++n) {
        if (hold != nullptr && boot_now() >= hold->deadline()) {
            progress.last_refusal = {.reason = refusal::deadline};
            break;
        }
        const auto choice = choose_next_server(request, progress.search);
        if (!choice && n == 0)
            progress.last_refusal.reason = reason_without_server(request);
        if (!choice)
            break;
        if (const gate_state gate = check_gate(request, *choice); gate != gate_state::ready) {
            const bool is_full = gate == gate_state::full;
            settle_unsent(*choice);
            progress.unresponsive_gates += choice->is_leaving || is_full ? 0 : 1;
            progress.search.on_refused(choice->server,
                                       is_full ? refusal::overloaded : refusal::no_backend_server);
            continue;
        }
        dispatch_attempt it = open_attempt(context, progress.search, *choice, false);
        await_attempt(context, progress, it);
        if (it.body_consumed && it.refused)
            socket_server::close_after_answer(res);
        if (!handle_result(context, progress, it))
            break;
    }
    finish_other_attempt(context, progress);
    // An error reported by a backend server takes precedence over a refusal by the fleet.
    if (progress.answered) {
        deliver(request, *progress.answered, head, res);
        return std::nullopt;
    }
    // The request may have run in an earlier attempt, even if the last one did not run it.
    if (progress.may_have_run)
        progress.last_refusal.state = run_state::unknown;
    set_retry_after(request, progress.last_refusal);
    return progress.last_refusal;
}

std::optional<reported_notice> entry::notice_of(backend_server_id server) const
{
    const std::lock_guard lock(mutex_);
    return notices_.find(server);
}

dispatch_attempt entry::open_attempt(const attempt_context& context, const server_search& search,
                                     const route_choice& choice, bool is_trial)
{
    const admitted_request& request = context.request;
    const answer_limit limit(request.deadline, stop_);
    message_head head = context.head;
    write_dispatch(
        {.server = choice.server,
         .gate_run = choice.gate_run,
         .route = request.route->id,
         .service = request.service->id,
         .organisation = request.organisation == nullptr ? "" : request.organisation->name,
         .caller_service = options_.local_service(),
         .priority = priority_of(request),
         .is_nested = request.is_nested,
         .is_returned = request.is_returned,
         .target_latency = request.route->target_latency,
         .time_left = limit.until() - boot_now(),
         .idempotent = request.idempotent,
         .may_queue = search.may_queue() && !is_trial,
         .allow_suspected = search.allows_suspected() && !is_trial,
         .is_trial = is_trial,
         .fingerprint = request.fingerprint,
         .notice = notice_of(choice.server)},
        head);
    const bool is_streamed = context.reader != nullptr;
    dispatch_attempt it{.choice = choice,
                        .start = boot_now(),
                        .may_queue = search.may_queue() && !is_trial,
                        .body_consumed = is_streamed};
    it.stream =
        links_.open(choice.gate_link, std::move(head), context.body.empty() && !is_streamed);
    if (!context.body.empty()) {
        if (write_body(*it.stream, context.body, limit))
            it.stream->finish();
    }
    if (is_streamed && !stream_body(*context.reader, *it.stream, limit)) {
        it.caller_left = true;
        it.refused = {.reason = body_failure_reason(request), .state = run_state::unknown};
    }
    return it;
}

// Bytes sent to a node that has just crashed or become unreachable are lost without an error, so a
// gate without a recent response is probed first. Its response says whether the server has room: no
// body is sent to another region without that.
entry::gate_state entry::check_gate(const admitted_request& request, const route_choice& choice)
{
    const duration liveness_window = request.idempotent
                                         ? options_.gate_liveness_window_if_idempotent
                                         : options_.gate_liveness_window;
    {
        const std::lock_guard lock(mutex_);
        const auto last_response = gate_last_response_.find(choice.gate);
        const bool is_recent = !choice.needs_probe && last_response != gate_last_response_.end() &&
                               boot_now() - last_response->second < liveness_window;
        if (is_recent || choice.gate == self_)
            return gate_state::ready;
    }
    const time_point sent = boot_now();
    const bool is_far = choice.reach == crossing_reach::other_region;
    const auto probe = probe_gate(links_, choice.gate_link, gate_probe_timeout,
                                  is_far ? std::optional(choice.server) : std::nullopt);
    if (!probe && !choice.is_leaving)
        options_.on_gate_failed(choice.gate);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    if (probe) {
        gate_last_response_[choice.gate] = now;
        if (router_.crossing() != nullptr)
            router_.crossing()->add_round_trip(choice.reach, now - sent);
        if (!is_far || probe->load.value_or(0) < 1)
            return gate_state::ready;
        router_.finished(choice.server, probe->load, now);
        return gate_state::full;
    }
    router_.finished(choice.server, std::nullopt, now);
    if (choice.is_leaving)
        router_.gate_closed(choice.gate, choice.gate_run);
    else
        router_.gate_failed(choice.gate, now);
    return gate_state::silent;
}

// Time at which an idempotent request is also sent to another server, because it takes longer than
// expected; `time_point::max()` if it is not hedged.
time_point entry::hedge_time(const admitted_request& request, const request_progress& progress,
                             const dispatch_attempt& it) const
{
    const bool may_hedge = options_.hedge_after > 0 && request.idempotent && !it.body_consumed &&
                           !it.hedge_requested && !progress.other &&
                           progress.servers_reached + 2 <= request.route->attempts;
    if (!may_hedge)
        return time_point::max();
    const std::lock_guard lock(mutex_);
    const auto delay = std::chrono::duration_cast<duration>(
        options_.hedge_after * estimates_.expected_latency(request.route->target_latency));
    const bool is_in_time = delay > duration::zero() && it.start + 2 * delay < request.deadline;
    return is_in_time ? it.start + delay : time_point::max();
}

// Waits until the attempt has ended. If it is late and the retry budget allows a second attempt, it
// is moved to `progress.other`, where it stays open while the next attempt begins; `it` is then
// empty.
void entry::await_attempt(const attempt_context& context, request_progress& progress,
                          dispatch_attempt& it)
{
    const answer_limit limit(context.request.deadline, stop_);
    while (!it.refused) {
        const time_point due = hedge_time(context.request, progress, it);
        dispatch_attempt* other = progress.other ? &*progress.other : nullptr;
        const wait_result end = wait_for_either(it, other, limit, due);
        if (end == wait_result::own_ready ||
            (end == wait_result::timed_out && boot_now() >= limit.until())) {
            receive_answer(it, options_.buffered_answer_bytes, options_.buffers, limit);
            return;
        }
        if (end == wait_result::timed_out) {
            it.hedge_requested = true;
            if (!request_retry(context, "late"))
                continue;
            ++progress.servers_reached;
            progress.search.on_reached(it.choice.server);
            progress.other = std::exchange(it, {});
            return;
        }
        if (end == wait_result::other_ready) {
            finish_other_attempt(context, progress);
            if (!progress.answered || !is_successful(*progress.answered))
                continue;
            it.stream->reset(reset_reason::cancelled);
            return;
        }
        it.stream->reset(reset_reason::cancelled);
        it.refused = {.reason = refusal::caller_left, .state = run_state::unknown};
    }
}

// Sends the request as a trial to a suspected server whose gate has requested one. A server is
// suspected while its gate assumes that it is failing; a trial is a real request that shows whether
// the server has recovered. The request is sent to another server as well, so that the caller does
// not depend on the suspected one. No trial goes to another region: its bytes would not be counted
// against the link's share, and entries near the server make trials too.
void entry::open_trial(const attempt_context& context, request_progress& progress,
                       const dispatch_attempt& refused)
{
    const admitted_request& request = context.request;
    if (!refused.trial_requested || !request.idempotent || context.reader != nullptr ||
        progress.other || refused.choice.reach == crossing_reach::other_region ||
        progress.servers_reached + 2 > request.route->attempts || !request_retry(context, "trial"))
        return;
    {
        const std::lock_guard lock(mutex_);
        router_.started(refused.choice.server);
    }
    progress.other = open_attempt(context, progress.search, refused.choice, true);
    ++progress.servers_reached;
}

// Ends the other attempt and records its result. Waits for the result, unless there is a successful
// answer already.
void entry::finish_other_attempt(const attempt_context& context, request_progress& progress)
{
    if (!progress.other)
        return;
    dispatch_attempt it = std::move(*progress.other);
    progress.other.reset();
    const bool is_needed = !progress.answered || !is_successful(*progress.answered);
    const answer_limit limit(context.request.deadline, stop_);
    if (is_needed && wait_for_either(it, nullptr, limit) != wait_result::caller_left)
        receive_answer(it, options_.buffered_answer_bytes, options_.buffers, limit);
    record_attempt_end(context, it);
    // A backend server that refused the request under load (`shed`) was reached too.
    const bool reached_server = !it.refused || it.refused->state != run_state::not_run ||
                                it.refused->reason == refusal::shed;
    progress.may_have_run |= reached_server;
    progress.servers_reached -= reached_server ? 0 : 1;
    if (!is_needed)
        return;
    if (it.answer) {
        update_estimate(context.request, it);
        if (!progress.answered || is_successful(it))
            progress.answered = std::move(it);
    }
    else if (it.refused && reached_server) {
        progress.last_refusal = *it.refused;
    }
}

// Records the result of an attempt. Returns whether another attempt may follow.
bool entry::handle_result(const attempt_context& context, request_progress& progress,
                          dispatch_attempt& it)
{
    if (it.stream == nullptr)
        return true;
    const admitted_request& request = context.request;
    record_attempt_end(context, it);
    if (progress.answered && is_successful(*progress.answered))
        return false;
    if (context.hold != nullptr && it.answer_status)
        context.hold->on_executed(*it.answer_status);
    if (it.answer) {
        update_estimate(request, it);
        ++progress.servers_reached;
        progress.search.on_reached(it.choice.server);
        progress.may_have_run = true;
        progress.answered = std::move(it);
        return !is_successful(*progress.answered) && request.idempotent &&
               !progress.answered->body_consumed && !progress.other &&
               request_retry(context, "error");
    }
    progress.last_refusal = *it.refused;
    const bool reached_server = progress.last_refusal.state != run_state::not_run;
    const bool is_first_possible_run = reached_server && !progress.may_have_run;
    progress.may_have_run |= reached_server;
    progress.servers_reached +=
        reached_server || progress.last_refusal.reason == refusal::shed ? 1 : 0;
    progress.search.on_refused(it.choice.server, progress.last_refusal.reason);
    if (it.body_consumed || it.caller_left || (reached_server && progress.other))
        return false;
    open_trial(context, progress, it);
    if (progress.last_refusal.reason == refusal::overloaded && !progress.may_have_run &&
        !progress.other) {
        if (const auto refused = check_room(request)) {
            progress.last_refusal = refuse_for_room(request, *refused);
            return false;
        }
    }
    const bool again = may_try_elsewhere(progress.last_refusal) ||
                       (request.idempotent && is_first_possible_run &&
                        progress.last_refusal.reason == refusal::backend_server_error);
    return again && may_retry(context, progress);
}

// A retry after a refusal by a gate is free, since no backend server had the request. Other retries
// reach a backend server once more and are charged to the retry budget of the service, which all
// nodes share.
bool entry::may_retry(const attempt_context& context, const request_progress& progress)
{
    const refusal_answer& last = progress.last_refusal;
    const bool is_free = last.state == run_state::not_run && last.reason != refusal::shed;
    return is_free ? progress.search.may_continue(boot_now()) : request_retry(context, "failed");
}

// Uses this node's own budget, earned by its successes, before the shared retries.
bool entry::request_retry(const attempt_context& context, std::string_view cause)
{
    const admitted_request& request = context.request;
    const time_point now = boot_now();
    retry_decision decision = retry_decision::over_budget;
    {
        const std::lock_guard lock(mutex_);
        decision = retry_budget_.request_retry(
            {.organisation = {}, .service = request.service->id, .deadline = request.deadline},
            now);
    }
    bool is_shared = false;
    if (decision == retry_decision::over_budget && options_.take_shared_retry)
        is_shared = options_.take_shared_retry(
            request.service->id, std::min(request.deadline, now + shared_retry_timeout));
    const bool granted = is_shared || decision == retry_decision::granted;
    {
        const std::lock_guard lock(mutex_);
        retry_count& counted = retry_counts_[std::string(cause)];
        ++(granted ? counted.granted : counted.denied);
    }
    const std::string* id = find_field(context.head, options_.names.request_id);
    log_event(event::retry_decided, "id={} service={} cause={} granted={} shared={} ms_left={:.0f}",
              id == nullptr ? "-" : *id, request.service->name, cause, granted, is_shared,
              as_milliseconds(request.deadline - now));
    return granted;
}

void entry::update_estimate(const admitted_request& request, const dispatch_attempt& it)
{
    if (!is_successful(it))
        return;
    const std::lock_guard lock(mutex_);
    const duration latency = boot_now() - it.start;
    const duration target = request.route->target_latency;
    estimates_.add_sample(request.route->id, target, latency, it.body.size());
    if (it.load.value_or(0) <= 1)
        service_times_.add_sample(request.route->id, target, latency, it.body.size());
    if (!it.may_queue)
        estimates_.add_service_time(request.route->id, latency);
}

void entry::record_attempt_end(const attempt_context& context, const dispatch_attempt& it)
{
    if (it.refused && !it.gate_responded && !it.caller_left) {
        const std::string* id = find_field(context.head, options_.names.request_id);
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
    if (it.gate_responded)
        gate_last_response_[it.choice.gate] = now;
    if (it.answer_status)
        notices_.store(it.choice.server, it.notice);
    if (it.gate_failed)
        router_.gate_failed(it.choice.gate, now);
    const room_request known = room_request_of(context.request);
    if (it.wait && options_.service_admission)
        room_.reported(it.choice.server, known, *it.wait, now);
    router_.finished(it.choice.server, it.load, now);
    settle_crossing(context.request, it, now);
    if (it.refused && it.refused->reason == refusal::suspect)
        router_.refused(it.choice.server, true, it.load, now);
    else if (it.refused && it.refused->reason == refusal::overloaded)
        router_.refused(it.choice.server, false, it.load, now);
    else if (it.refused && it.refused->reason == refusal::evacuated)
        router_.gate_evacuated(it.choice.gate, now);
    else if (it.refused && it.refused->reason == refusal::stopping)
        router_.gate_closed(it.choice.gate, it.choice.gate_run);
}

// Forwards the answer's body as it arrives. A failure closes the caller's connection, so that the
// caller can't mistake a truncated body for a complete one.
void entry::deliver(const admitted_request& request, dispatch_attempt& it, const message_head& head,
                    httplib::Response& res)
{
    const message_head& answer = *it.answer;
    if (!is_server_error(answer)) {
        const std::lock_guard lock(mutex_);
        retry_budget_.on_success({}, request.service->id, boot_now());
    }
    res.status = answer.status;
    const std::string* type = find_field(answer, "content-type");
    for (const header_field& field : answer.fields) {
        const bool is_internal = field.name.starts_with(internal_prefix);
        if (!is_internal && field.name != "content-length" && field.name != "content-type")
            res.headers.emplace(field.name, field.value);
    }
    res.set_header(std::string(outcome_header), std::string(name_of(run_state::ran)));
    const bool bodiless = !answer_has_body(head.method, answer.status);
    auto length = length_of(answer);
    if (it.body_is_whole && !bodiless)
        length = it.body.size();
    const answer_writer write =
        make_answer_writer(it, length.has_value(), answer_limit(request.deadline, stop_));
    const std::string content_type = type == nullptr ? "" : *type;
    if (bodiless) {
        // The HTTP library would write a body after the head of a 304.
        if (length)
            res.set_header("Content-Length", std::to_string(*length));
        if (type != nullptr)
            res.set_header("Content-Type", *type);
    }
    else if (length == std::size_t{0}) {
        // The HTTP library sends no length for an empty content provider, and the caller would wait
        // for a body.
        res.set_content("", content_type);
    }
    else if (length) {
        res.set_content_provider(
            *length, content_type,
            [write](std::size_t, std::size_t, httplib::DataSink& sink) { return write(sink); });
    }
    else {
        res.set_chunked_content_provider(
            content_type, [write](std::size_t, httplib::DataSink& sink) { return write(sink); });
    }
    if (type == nullptr)
        res.headers.erase("Content-Type");
}

} // namespace jasminebank
