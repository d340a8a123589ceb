#include "gate.h"

#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <utility>

namespace jasminebank {

constexpr int first_error_status = 500;
// At this suspicion a request will probably fail: waiting ones are refused, so that their entry
// nodes choose another backend server.
constexpr double high_suspicion = 0.7;
// A backend server at or above `high_suspicion` gets a request that must not be repeated only if it
// was sent no other request for this time.
constexpr duration high_suspicion_interval = std::chrono::seconds(1);
// Without an admitted request for this time, one is admitted although it is expected to end late.
constexpr duration estimate_check_interval = std::chrono::seconds(1);
// Above it a server is on probation (`stall_watch_options::suspected_from`).
constexpr double max_reporting_suspicion = 0.5;
constexpr duration hold_log_interval = std::chrono::seconds(1);

// What a refusal tells the entry node about the backend server.
struct refusal_details {
    std::optional<double> load{};
    std::optional<duration> wait{};
    bool trial_due = false;
};

// Responds to the entry node that the request was not run, or that this is unknown.
static void refuse(link_stream& stream, const refusal_answer& it,
                   const refusal_details& details = {})
{
    message_head head{.method = {}, .path = {}, .status = status_of(it.reason), .fields = {}};
    head.fields.push_back({.name = std::string(outcome_field), .value = outcome_text(it)});
    if (details.load)
        head.fields.push_back(
            {.name = std::string(load_field), .value = fmt::format("{:.3f}", *details.load)});
    if (details.wait)
        head.fields.push_back(wait_header(*details.wait));
    if (details.trial_due)
        head.fields.push_back({.name = std::string(trial_field), .value = "due"});
    stream.respond(std::move(head), true);
}

// A backend server without a name of its own is known by its address.
static server_withdrawal withdrawal_of(const std::string& name, const endpoint& address,
                                       incarnation run)
{
    return {.server = id_of<server_name_id>(name.empty() ? to_string(address) : name), .run = run};
}

gate::gate(const gate_options& options, health_service& health, poison_service& poison)
    : options_(options), health_(health), poison_(poison), withdrawn_(options.withdrawn),
      workers_({.max_threads = options.threads, .max_waiting_jobs = options.waiting_requests})
{
}

gate::~gate()
{
    stop();
}

// A restarted backend server gets neither the idle connections, the suspicion nor the limit of the
// earlier run. An announcement that arrives after a newer one is ignored, and one of a run that has
// withdrawn from an earlier run of this node may be from before the withdrawal. If the backend
// server is draining, the requests that wait for it are refused.
announcement_result gate::announce(const announcement& it, time_point now)
{
    deferred_actions out;
    bool changed = false;
    bool is_leaving = false;
    {
        const std::lock_guard lock(mutex_);
        auto [place, is_new] = servers_.try_emplace(it.server.id);
        backend_server& server = place->second;
        const bool is_outdated = it.run < server.run || (it.run == server.run && it.sequence != 0 &&
                                                         it.sequence <= server.sequence);
        if (!is_new && is_outdated)
            return announcement_result::outdated;
        server_record record = it.server;
        record.standing = server.record.standing;
        if (is_new) {
            server.slots = slot_queue(
                {.slots = record.slots,
                 .max_waiting = options_.waiting_requests,
                 .max_waiting_per_organisation = options_.waiting_requests / 4 + 1,
                 .reserve_for_first_rank = options_.service_admission,
                 .returned_first_by_organisation = options_.returned_first_by_organisation});
            server.slots.cold_start().met(now);
        }
        if (server.run != it.run || server.name != it.name) {
            server.idle.clear();
            server.stalls = stall_watch();
            server.notices = notice_record();
            if (withdrawn_.contains(withdrawal_of(it.name, it.server.address, it.run)))
                server.notices.withdrawn();
            collect_actions(server.slots.set_start_rate(std::nullopt, now), out);
        }
        // What waits was admitted for the service that the address had.
        if (!is_new && server.record.service != it.server.service)
            collect_actions(server.slots.refuse_waiting(), out, refusal::no_backend_server);
        server.notices.announced(it.server.draining, it.sequence, now);
        record.draining |= server.notices.is_leaving();
        changed = is_new || server.record != record;
        server.record = record;
        server.run = it.run;
        server.name = it.name;
        server.sequence = it.sequence;
        server.is_lost = false;
        server.last_announced = now;
        is_leaving = record.draining;
        if (is_leaving)
            set_leaving(server, out);
        if (options_.cold_start)
            apply_warm_up(server, it, now, out);
    }
    perform(out);
    if (!changed)
        return announcement_result::unchanged;
    log_event(event::backend_server_changed,
              "name={} address={} service={} run={} sequence={} slots={} draining={} leaving={}",
              it.name, to_string(it.server.address), it.service_name, it.run.value, it.sequence,
              it.server.slots, it.server.draining, is_leaving);
    health_.set_servers(servers());
    return announcement_result::changed;
}

// Nothing: no limit. A service that is not in the configuration, or any before the first
// configuration, may have a rate that this gate does not know of, so none of its requests starts.
std::optional<cold_start_bounds> gate::cold_bounds_of(service_id service) const
{
    if (!options_.cold_start)
        return std::nullopt;
    const service_config* it = config_ == nullptr ? nullptr : find_service(*config_, service);
    if (it == nullptr)
        return cold_start_bounds{};
    if (it->warm_up_rate <= 0)
        return std::nullopt;
    return cold_start_bounds_for(it->warm_up_rate, it->warm_up, *options_.cold_start);
}

static void log_cold_start(backend_server_id server, const cold_start_limit& it, bool assumed,
                           time_point now)
{
    log_event(event::backend_server_cold, "server={:016x} left_ms={:.0f} limit={} assumed={}",
              server.value, as_milliseconds(it.cold_left(now)), it.limit(now).value_or(0), assumed);
}

void gate::apply_warm_up(backend_server& server, const announcement& it, time_point now,
                         deferred_actions& out)
{
    cold_start_limit& limit = server.slots.cold_start();
    const bool was_cold = limit.cold_left(now) > duration::zero();
    limit.set_bounds(cold_bounds_of(it.server.service));
    limit.announced(it.warm_up, now);
    if (limit.is_limited() && !was_cold && it.warm_up > duration::zero())
        log_cold_start(it.server.id, limit, false, now);
    collect_actions(server.slots.tick(now), out);
}

void gate::set_config(const std::shared_ptr<const fleet_config>& config, time_point now)
{
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        config_ = config;
        if (!options_.cold_start)
            return;
        for (auto& [id, server] : servers_) {
            server.slots.cold_start().set_bounds(cold_bounds_of(server.record.service));
            collect_actions(server.slots.tick(now), out);
        }
    }
    perform(out);
}

// Requires the mutex.
void gate::assume_cold(time_point now, deferred_actions& out)
{
    for (auto& [id, server] : servers_) {
        cold_start_limit& limit = server.slots.cold_start();
        if (!limit.is_limited())
            continue;
        limit.assume_cold(now);
        collect_actions(server.slots.tick(now), out);
        log_cold_start(id, limit, true, now);
    }
}

// Gives the requests that wait for the backend server back to their entry nodes.
void gate::set_leaving(backend_server& server, deferred_actions& out)
{
    withdrawn_.add(withdrawal_of(server.name, server.record.address, server.run));
    server.record.draining = true;
    collect_actions(server.slots.refuse_waiting(), out, refusal::stopping);
}

// A run that is not registered is recorded as well: its announcement may be still on its way, and
// this node may have been restarted. If the run is not told, all that have started by now have
// withdrawn. A withdrawal of an earlier run than the registered one changes nothing.
bool gate::withdraw(const std::string& name, const withdrawing_run& withdrawing, time_point now)
{
    deferred_actions out;
    bool found = false;
    const incarnation run = withdrawing.run;
    const bool is_told = run != incarnation{};
    const bool is_known = is_told || withdrawing.latest != incarnation{};
    {
        const std::lock_guard lock(mutex_);
        if (is_told)
            withdrawn_.add({.server = id_of<server_name_id>(name), .run = run});
        for (auto& [id, server] : servers_) {
            if (server.name != name || (is_told && run < server.run))
                continue;
            found = true;
            server.notices.withdrawn();
            server.last_announced = now;
            set_leaving(server, out);
        }
        if (!found && !is_told)
            withdrawn_.add({.server = id_of<server_name_id>(name), .run = withdrawing.latest});
    }
    perform(out);
    log_event(event::backend_server_changed, "name={} run={} latest={} withdrawn registered={}",
              name, run.value, withdrawing.latest.value, found);
    if (found)
        health_.set_servers(servers());
    return found || is_known;
}

void gate::restore_withdrawals(const std::vector<server_withdrawal>& withdrawn)
{
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        if (!withdrawn_.merge(withdrawn))
            return;
        records_changed_ = true;
        for (auto& [id, server] : servers_) {
            if (server.record.draining ||
                !withdrawn_.contains(withdrawal_of(server.name, server.record.address, server.run)))
                continue;
            server.notices.withdrawn();
            set_leaving(server, out);
        }
    }
    perform(out);
}

std::vector<server_withdrawal> gate::withdrawals() const
{
    const std::lock_guard lock(mutex_);
    return withdrawn_.entries();
}

// Admits no requests until the next announcement. Other nodes receive the record with `draining`
// set.
void gate::mark_lost(const pending_request& it, call_outcome outcome)
{
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        const auto found = servers_.find(it.request.server);
        if (found == servers_.end() || found->second.is_lost)
            return;
        found->second.is_lost = true;
        found->second.record.draining = true;
        collect_actions(found->second.slots.refuse_waiting(), out, refusal::no_backend_server);
        records_changed_ = true;
    }
    log_event(event::backend_server_lost, "address={} cause={}", it.request.server.value,
              outcome == call_outcome::misdirected ? "another backend server has the address"
                                                   : "nothing accepts connections at the address");
    perform(out);
}

bool gate::tick(time_point now)
{
    deferred_actions out;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [id, server] : servers_) {
            collect_actions(server.slots.tick(now), out);
            // Another backend server is more likely to answer these requests.
            if (server.slots.waiting() > 0 && server.stalls.suspicion(now) >= high_suspicion)
                collect_actions(server.slots.refuse_waiting(), out, refusal::suspect);
            std::erase_if(server.idle, [&](const idle_connection& it) {
                return now - it.since > options_.backend_idle;
            });
        }
        changed = std::exchange(records_changed_, false);
        changed |= std::erase_if(servers_, [&](const auto& it) {
                       const backend_server& server = it.second;
                       return server.slots.running() + server.slots.waiting() == 0 &&
                              now - server.last_announced > options_.announcement_ttl;
                   }) > 0;
    }
    perform(out);
    if (changed)
        health_.set_servers(servers());
    return changed;
}

bool gate::set_standing(backend_server_id server, server_standing standing)
{
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return false;
    it->second.record.standing = standing;
    return true;
}

std::vector<server_record> gate::servers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<server_record> out;
    out.reserve(servers_.size());
    for (const auto& [id, server] : servers_)
        out.push_back(server.record);
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return out;
}

// Running and waiting requests per slot, or starts per start that a cold server takes if that is
// more, plus the probability that the next request fails. A server whose limits allow no request
// now counts as full at least. Not less than 0, without an upper limit.
double gate::load_factor(const backend_server& it)
{
    const time_point now = boot_now();
    const double busy = std::max(static_cast<double>(it.slots.running() + it.slots.waiting()) /
                                     std::max<std::uint32_t>(it.record.slots, 1),
                                 it.slots.cold_start().cold_load(now));
    const bool is_full = busy < 1 && !it.slots.may_start(now);
    return (is_full ? 1 : busy) + it.stalls.suspicion(now);
}

// Returns why the request is refused, or nothing if it is admitted. Everything that keeps a request
// from a backend server is checked here, since the entry node's view may be out of date.
std::optional<refusal> gate::admit(const dispatch& request, time_point now)
{
    const auto it = servers_.find(request.server);
    if (stopping_ || request.gate_run != options_.run)
        return refusal::stopping;
    if (evacuation_.is_evacuated) {
        ++evacuation_.refused;
        return refusal::evacuated;
    }
    if (it == servers_.end() || it->second.is_lost)
        return refusal::no_backend_server;
    const server_record& record = it->second.record;
    if (record.service != request.service)
        return refusal::no_backend_server;
    if (record.draining)
        return refusal::stopping;
    if (record.standing == server_standing::held_out)
        return refusal::no_backend_server;
    if (!health_.admits(request.server, request.idempotent))
        return refusal::overloaded;
    backend_server& server = it->second;
    // Only a run can correct the estimate, so one request per interval is admitted all the same.
    if (request.time_left < least_service_time(server, request) &&
        now - server.last_admitted < estimate_check_interval)
        return refusal::no_time;
    if (!request.may_queue && !server.slots.may_start(now, queue_rank(request)))
        return refusal::overloaded;
    if (!request.allow_suspected && !server.stalls.admits(request.is_trial, now))
        return refusal::suspect;
    // No other backend server is left for this request. One request is still admitted per
    // `high_suspicion_interval`, because only a request can show that the server has recovered.
    const bool is_throttled = request.allow_suspected && !request.idempotent &&
                              server.stalls.suspicion(now) >= high_suspicion &&
                              now - server.last_admitted < high_suspicion_interval;
    if (is_throttled)
        return refusal::suspect;
    if (holds_work(request, now))
        return refusal::overloaded;
    server.last_admitted = now;
    return std::nullopt;
}

static request_evidence classify_evidence(const call_result& it)
{
    switch (it.outcome) {
    case call_outcome::whole_answer:
        return it.status >= first_error_status ? request_evidence::failed
                                               : request_evidence::answered;
    case call_outcome::cut_answer:
        return request_evidence::failed;
    case call_outcome::no_answer:
        return it.timed_out ? request_evidence::inconclusive : request_evidence::failed;
    case call_outcome::not_connected:
    case call_outcome::shed:
    case call_outcome::caller_left:
    case call_outcome::misdirected:
        break;
    }
    return request_evidence::inconclusive;
}

// A run that nine of ten times takes longer than its caller has left is not worth its slot. Zero:
// no run is refused for this.
duration gate::least_service_time(const backend_server& server, const dispatch& request) const
{
    if (!options_.service_admission)
        return duration::zero();
    return server.stalls.least_service_time(request.route).value_or(duration::zero());
}

// The event is logged once a second.
bool gate::holds_work(const dispatch& request, time_point now)
{
    if (!options_.service_admission || request.is_nested ||
        pressure_.admits_new_work(request.route, now))
        return false;
    ++held_;
    if (now - hold_logged_ >= hold_log_interval) {
        hold_logged_ = now;
        log_event(event::work_held, "server={:016x} route={:016x} nested_refused={:.2f} held={}",
                  request.server.value, request.route.value, pressure_.refused_share(now), held_);
    }
    return true;
}

void gate::nested_ended(bool refused, time_point now)
{
    const std::lock_guard lock(mutex_);
    pressure_.ended(refused, now);
}

std::uint64_t gate::held_count() const
{
    const std::lock_guard lock(mutex_);
    return held_;
}

// Requests of a route that is held back do not wait for a slot here either. A request that did not
// run, or whose caller left, says nothing about the nested requests.
void gate::record_run(const pending_request& it, const call_result& result, time_point now,
                      deferred_actions& out)
{
    const bool has_run = result.outcome == call_outcome::whole_answer ||
                         result.outcome == call_outcome::cut_answer ||
                         result.outcome == call_outcome::no_answer;
    if (!options_.service_admission || it.request.is_nested || !has_run)
        return;
    const route_id route = it.request.route;
    pressure_.run_ended(route, classify_evidence(result) != request_evidence::answered, now);
    if (!pressure_.holds(route, now))
        return;
    std::vector<std::pair<backend_server_id, request_id>> waiting;
    for (const auto& [id, other] : pending_) {
        if (!other.request.is_nested && other.request.route == route)
            waiting.emplace_back(other.request.server, id);
    }
    for (const auto& [server, id] : waiting)
        collect_actions(servers_.at(server).slots.refuse_waiting(id), out);
}

std::vector<server_load> gate::loads(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<server_load> out;
    for (const auto& [id, server] : servers_)
        out.push_back(current_load(id, now));
    return out;
}

std::string gate::answer_probe(std::string_view payload) const
{
    constexpr int hexadecimal = 16;
    std::uint64_t id = 0;
    const auto [end, ec] =
        std::from_chars(payload.data(), payload.data() + payload.size(), id, hexadecimal);
    if (ec != std::errc{})
        return "-";
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(backend_server_id{id});
    return it == servers_.end() ? "-" : fmt::format("{:.3f}", load_factor(it->second));
}

// A server that is suspected to hang or fail tells nothing about the capacity of its service: its
// slots are held by requests that do not end.
std::optional<duration> gate::reported_wait(backend_server_id server, const dispatch& request,
                                            time_point now, std::size_t ending) const
{
    const auto it = servers_.find(server);
    if (!options_.service_admission || it == servers_.end() ||
        it->second.stalls.suspicion(now) >= max_reporting_suspicion ||
        (!request.is_nested && pressure_.holds(request.route, now)))
        return std::nullopt;
    return it->second.slots.expected_wait(
        {.request = {},
         .organisation = id_of<organisation_id>(request.organisation),
         .deadline = {},
         .rank = queue_rank(request),
         .is_returned = request.is_returned},
        now, ending);
}

server_load gate::current_load(backend_server_id server, time_point now) const
{
    server_load out{.server = server};
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return out;
    out.running = it->second.slots.running();
    out.waiting = it->second.slots.waiting();
    out.suspicion = it->second.stalls.suspicion(now);
    out.cold_left = it->second.slots.cold_start().cold_left(now);
    out.start_limit = it->second.slots.cold_start().limit(now);
    return out;
}

void gate::collect_actions(const slot_actions& actions, deferred_actions& out, refusal reason)
{
    for (const slot_action& action : actions) {
        if (const auto* start = std::get_if<start_request>(&action)) {
            out.started.push_back(start->request);
            continue;
        }
        const auto& refused = std::get<refuse_request>(action);
        const auto it = pending_.find(refused.request);
        if (it == pending_.end())
            continue;
        const time_point now = boot_now();
        out.refused.push_back(
            {.stream = std::move(it->second.stream),
             .reason = refused.reason == slot_refusal::deadline ? refusal::overloaded : reason,
             .load_now = current_load(it->second.request.server, now),
             .waited = now - it->second.accepted,
             .wait_now = reported_wait(it->second.request.server, it->second.request, now)});
        pending_.erase(it);
    }
}

// A waiting request has sent nothing to the backend server, so refusing it as not run is correct.
void gate::perform(const deferred_actions& it)
{
    for (const refused_stream& refused : it.refused) {
        refuse(*refused.stream, {.reason = refused.reason}, {.wait = refused.wait_now});
        log_refusal(*refused.stream, refused.load_now, name_of(refused.reason), refused.waited);
    }
    for (const request_id id : it.started) {
        if (workers_.submit([this, id] { run(id); }))
            continue;
        pending_request not_started;
        {
            const std::lock_guard lock(mutex_);
            not_started = pending_.at(id);
        }
        finish(id, not_started, nullptr, {.outcome = call_outcome::not_connected});
    }
}

void gate::accept(const std::shared_ptr<link_stream>& stream)
{
    const auto request = read_dispatch(stream->head());
    if (!request) {
        refuse(*stream, {.reason = refusal::bad_request});
        return;
    }
    const time_point now = boot_now();
    deferred_actions out;
    std::optional<refusal> reason;
    refusal_details details;
    server_load load_now;
    request_id id;
    {
        const std::lock_guard lock(mutex_);
        id = request_id{next_request_++};
    }
    // Registered before the request is queued: as soon as it is, a worker may start it and replace
    // this callback.
    stream->on_cancel([this, id] { cancel(id); });
    {
        const std::lock_guard lock(mutex_);
        apply_report(*request, out);
        reason = admit(*request, now);
        if (const auto it = servers_.find(request->server); reason && it != servers_.end()) {
            details.load = load_factor(it->second);
            details.wait = reported_wait(request->server, *request, now);
            load_now = current_load(request->server, now);
            details.trial_due = reason == refusal::suspect && it->second.stalls.is_trial_due(now);
        }
        if (!reason) {
            const time_point deadline = now + request->time_left;
            pending_.emplace(id, pending_request{.stream = stream,
                                                 .request = *request,
                                                 .deadline = deadline,
                                                 .accepted = now});
            backend_server& server = servers_.at(request->server);
            const duration least = least_service_time(server, *request);
            collect_actions(
                server.slots.enqueue(
                    {.request = id,
                     .organisation = id_of<organisation_id>(request->organisation),
                     .deadline = std::min(latest_start(*request, now, deadline), deadline - least),
                     .rank = queue_rank(*request),
                     .soft_deadline = request->target_latency > duration::zero()
                                          ? now + request->target_latency
                                          : time_point::max(),
                     .is_returned = request->is_returned},
                    now),
                out);
        }
    }
    if (reason) {
        refuse(*stream, {.reason = *reason}, details);
        log_refusal(*stream, load_now, name_of(*reason), duration::zero());
    }
    perform(out);
}

// Called when the caller cancels a request. Only a waiting request is removed here; one that has a
// slot is ended by its worker, even if the worker has not begun.
void gate::cancel(request_id id)
{
    deferred_actions out;
    pending_request gone;
    server_load load_now;
    const time_point now = boot_now();
    {
        const std::lock_guard lock(mutex_);
        const auto it = pending_.find(id);
        if (it == pending_.end())
            return;
        slot_queue& slots = servers_.at(it->second.request.server).slots;
        if (!slots.cancel(id))
            return;
        gone = std::move(it->second);
        pending_.erase(it);
        collect_actions(slots.tick(now), out);
        load_now = current_load(gone.request.server, now);
    }
    log_refusal(*gone.stream, load_now, "caller_left", now - gone.accepted);
    perform(out);
}

// Takes the idle connection that was used last among those that may carry the request.
std::shared_ptr<backend_connection> gate::acquire_connection(backend_server& server,
                                                             const message_head& head) const
{
    const std::string* id = find_field(head, options_.names.request_id);
    for (auto it = server.idle.end(); it != server.idle.begin();) {
        --it;
        if (!it->connection->ids.may_send(id))
            continue;
        std::shared_ptr<backend_connection> out = std::move(it->connection);
        it = server.idle.erase(it);
        if (!out->client.has_unread_bytes())
            return out;
    }
    return make_backend_connection(server.record.address);
}

static request_outcome classify_outcome(const call_result& it, bool past_deadline)
{
    switch (it.outcome) {
    case call_outcome::whole_answer:
        return it.status >= first_error_status ? request_outcome::error_status
                                               : request_outcome::ok;
    case call_outcome::not_connected:
    case call_outcome::misdirected:
        return request_outcome::connection_refused;
    case call_outcome::shed:
        return request_outcome::shed;
    case call_outcome::cut_answer:
        return request_outcome::bad_length;
    case call_outcome::no_answer:
        return past_deadline ? request_outcome::hung : request_outcome::bad_length;
    case call_outcome::caller_left:
        break;
    }
    return request_outcome::deadline_or_cancelled;
}

// Only a failed connection and a refusal with proof show that the request did not run.
static void respond_to_failure(link_stream& stream, const call_result& result, bool past_deadline)
{
    switch (result.outcome) {
    case call_outcome::whole_answer:
        break;
    case call_outcome::not_connected:
    case call_outcome::misdirected:
        refuse(stream, {.reason = refusal::no_backend_server});
        break;
    case call_outcome::shed:
        refuse(stream, {.reason = refusal::shed});
        break;
    case call_outcome::caller_left:
    case call_outcome::cut_answer:
    case call_outcome::no_answer:
        if (result.head_forwarded)
            stream.reset(reset_reason::internal_error);
        else
            refuse(stream,
                   {.reason = past_deadline ? refusal::deadline : refusal::backend_server_error,
                    .state = run_state::unknown});
        break;
    }
}

// Whether the connection broke before the deadline, so that the server may have died.
static bool has_broken(const call_result& it)
{
    return !it.timed_out &&
           (it.outcome == call_outcome::no_answer || it.outcome == call_outcome::cut_answer);
}

// For a connection that broke. True if the backend server no longer accepts any: it died while it
// ran the request. The death is reported against the request's fingerprint; a second death makes
// the request count as poison.
bool gate::detect_death(const pending_request& it)
{
    if (accepts_connections(it.address))
        return false;
    poison_.on_server_crash(it.request.fingerprint, it.request.server, it.server_run);
    return true;
}

static std::string_view name_of(call_outcome it)
{
    static constexpr std::array<std::string_view, 7> names{
        "whole_answer", "not_connected", "shed",       "cut_answer",
        "no_answer",    "caller_left",   "misdirected"};
    return names.at(static_cast<std::size_t>(it));
}

static std::string_view name_of(answer_fault it)
{
    static constexpr std::array<std::string_view, 3> names{"none", "foreign", "malformed"};
    return names.at(static_cast<std::size_t>(it));
}

void gate::log_refusal(const link_stream& stream, const server_load& load_now,
                       std::string_view reason, duration waited) const
{
    const std::string* id = find_field(stream.head(), options_.names.request_id);
    log_event(event::dispatch_refused,
              "id={} from={} server={:016x} reason={} waited_ms={:.1f} running={} waiting={} "
              "suspicion={:.2f}{}",
              id == nullptr ? "-" : *id, stream.peer().vm_name, load_now.server.value, reason,
              as_milliseconds(waited), load_now.running, load_now.waiting, load_now.suspicion,
              load_now.start_limit ? fmt::format(" start_limit={}", *load_now.start_limit) : "");
}

static std::string text_of_rate(std::optional<double> it)
{
    return it ? fmt::format("{:g}", *it) : "-";
}

void gate::log_dispatch_end(const pending_request& it, const call_result& result,
                            bool past_deadline) const
{
    const std::string* id = find_field(it.stream->head(), options_.names.request_id);
    log_event(event::dispatch_ended,
              "id={} from={} server={:016x} end={} status={} fault={} past_deadline={} "
              "over_bound={} "
              "waited_ms={:.1f} ms={:.1f} suspicion={:.2f} idempotent={} may_wait={} insists={} "
              "max_rate={} leaving={}",
              id == nullptr ? "-" : *id, it.stream->peer().vm_name, it.request.server.value,
              name_of(result.outcome), result.status, name_of(result.fault), past_deadline,
              result.size_limit_exceeded, as_milliseconds(it.started - it.accepted),
              as_milliseconds(result.service_time), it.suspicion, it.request.idempotent,
              it.request.may_queue, it.request.allow_suspected,
              text_of_rate(result.notice ? result.notice->max_rate : std::nullopt),
              result.notice && result.notice->is_leaving);
}

void gate::run(request_id id)
{
    pending_request it;
    std::shared_ptr<backend_connection> connection;
    double load = 0;
    std::string name;
    bool is_given_back = false;
    {
        const std::lock_guard lock(mutex_);
        it = pending_.at(id);
        backend_server& server = servers_.at(it.request.server);
        // A worker may take up a started request late; nothing has been sent yet.
        is_given_back = evacuation_.is_evacuated || server.record.service != it.request.service;
        connection = acquire_connection(server, it.stream->head());
        name = server.name;
        it.server_run = server.run;
        it.address = server.record.address;
        load = load_factor(server);
    }
    it.stream->on_cancel({});
    if (is_given_back || it.stream->is_cancelled()) {
        finish(id, it, nullptr, {.outcome = call_outcome::not_connected});
        return;
    }
    it.started = boot_now();
    it.request.time_left = it.deadline - it.started;
    if (it.request.time_left <= duration::zero()) {
        finish(id, it, nullptr, {.outcome = call_outcome::not_connected});
        return;
    }
    health_.started(id, it.request.server);
    {
        const std::lock_guard lock(mutex_);
        backend_server& server = servers_.at(it.request.server);
        it.suspicion = server.stalls.suspicion(it.started);
        server.stalls.started(id, it.request.route, it.request.target_latency, boot_now());
    }
    const call_result result = call_backend(connection, it.stream,
                                            {.deadline = it.deadline,
                                             .load = load,
                                             .wait = [&] { return wait_after(it.request); },
                                             .names = options_.names,
                                             .request = it.request,
                                             .expected_server = name,
                                             .server_run = it.server_run});
    if (result.outcome == call_outcome::not_connected ||
        result.outcome == call_outcome::misdirected)
        mark_lost(it, result.outcome);
    const bool past_deadline = result.timed_out;
    log_dispatch_end(it, result, past_deadline);
    apply_answer(it, result);
    const bool died = has_broken(result) && detect_death(it);
    health_.finished({.request = id,
                      .outcome = classify_outcome(result, past_deadline),
                      .suspected_poison = died});
    finish(id, it, std::move(connection), result);
    if (has_broken(result) && !died) {
        std::this_thread::sleep_for(options_.second_death_check);
        detect_death(it);
    }
}

// The answering request still holds its slot.
std::optional<duration> gate::wait_after(const dispatch& request) const
{
    const std::lock_guard lock(mutex_);
    return reported_wait(request.server, request, boot_now(), 1);
}

// The notice is applied before the answer's slot is given to the next request.
void gate::apply_answer(const pending_request& it, const call_result& result)
{
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        const auto found = servers_.find(it.request.server);
        if (!result.notice || found == servers_.end() || found->second.run != it.server_run)
            return;
        backend_server& server = found->second;
        const std::optional<double> before = server.notices.max_rate();
        server.notices.answered(*result.notice, it.started, boot_now());
        apply_notices(server, before, out);
    }
    perform(out);
}

// After a restart this gate has no answer of its own yet: what an entry node was told holds until
// then.
void gate::apply_report(const dispatch& request, deferred_actions& out)
{
    const auto found = servers_.find(request.server);
    if (!request.notice || found == servers_.end() || found->second.run != request.notice->run)
        return;
    const std::optional<double> before = found->second.notices.max_rate();
    found->second.notices.reported(request.notice->notice);
    apply_notices(found->second, before, out);
}

// Puts into force what the notices say: the rate, if it is no longer `before`, and whether the
// server leaves, which `tick` publishes.
void gate::apply_notices(backend_server& server, std::optional<double> before,
                         deferred_actions& out)
{
    const std::optional<double> max_rate = server.notices.max_rate();
    if (max_rate != before)
        collect_actions(server.slots.set_start_rate(max_rate, boot_now()), out);
    if (server.notices.is_leaving() && !server.record.draining) {
        set_leaving(server, out);
        records_changed_ = true;
        log_event(event::backend_server_changed, "name={} leaving", server.name);
    }
    if (max_rate == before)
        return;
    log_event(event::backend_server_limited, "server={:016x} max_rate={}", server.record.id.value,
              text_of_rate(max_rate));
}

// A connection whose answer was not read to its end is closed: the rest of that answer must never
// reach another caller.
void gate::finish(request_id id, const pending_request& it,
                  std::shared_ptr<backend_connection> connection, const call_result& result)
{
    respond_to_failure(*it.stream, result, result.timed_out);
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = boot_now();
        backend_server& server = servers_.at(it.request.server);
        server.stalls.ended(id, classify_evidence(result), now);
        if (result.connection_reusable && connection != nullptr &&
            server.idle.size() < server.record.slots)
            server.idle.push_back({.connection = std::move(connection), .since = now});
        pending_.erase(id);
        record_run(it, result, now, out);
        collect_actions(server.slots.finished(id, now), out);
    }
    perform(out);
}

void gate::set_evacuated(bool evacuated, time_point now)
{
    deferred_actions out;
    std::size_t running = 0;
    {
        const std::lock_guard lock(mutex_);
        if (evacuated == evacuation_.is_evacuated)
            return;
        if (evacuated)
            begin_evacuation(out);
        else
            end_evacuation(now, out);
        for (const auto& [id, server] : servers_)
            running += server.slots.running();
    }
    log_event(event::gate_evacuation_changed, "evacuated={} returned={} running={}", evacuated,
              out.refused.size(), running);
    perform(out);
}

// Requires the mutex. Backend servers in other failure domains can still take what waits here.
void gate::begin_evacuation(deferred_actions& out)
{
    evacuation_.is_evacuated = true;
    for (auto& [id, server] : servers_)
        collect_actions(server.slots.refuse_waiting(), out, refusal::evacuated);
    evacuation_.refused += out.refused.size();
}

// Requires the mutex. The backend servers got no requests during the evacuation, so they may be
// cold; the next announcement of each decides again.
void gate::end_evacuation(time_point now, deferred_actions& out)
{
    evacuation_.is_evacuated = false;
    assume_cold(now, out);
}

gate::evacuation_report gate::evacuation() const
{
    const std::lock_guard lock(mutex_);
    return evacuation_;
}

// Waiting requests are refused at once, so that they can still run elsewhere.
void gate::close()
{
    deferred_actions out;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (auto& [id, server] : servers_)
            collect_actions(server.slots.refuse_waiting(), out, refusal::stopping);
    }
    perform(out);
}

void gate::stop()
{
    close();
    workers_.stop();
}

} // namespace jasminebank
