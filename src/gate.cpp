#include "gate.h"

#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace jasminebank {

constexpr int first_error_status = 500;
// From here on a request is more likely lost than not, and one that waits goes elsewhere.
constexpr double hopeless_suspicion = 0.7;
// A server that all suspect gets a request that must not be repeated this often.
constexpr duration hopeless_pause = std::chrono::seconds(1);

// Tells the entry node that this gate did not run the request, or does not know.
static void refuse(link_stream& stream, const refusal_answer& it,
                   std::optional<double> load = std::nullopt, bool trial_due = false)
{
    message_head head{.method = {}, .path = {}, .status = status_of(it.reason), .fields = {}};
    head.fields.push_back({.name = std::string(outcome_field), .value = outcome_text(it)});
    if (load)
        head.fields.push_back(
            {.name = std::string(load_field), .value = fmt::format("{:.3f}", *load)});
    if (trial_due)
        head.fields.push_back({.name = std::string(trial_field), .value = "due"});
    stream.respond(std::move(head), true);
}

gate::gate(const gate_options& options, health_service& health, poison_service& poison)
    : options_(options), health_(health), poison_(poison),
      workers_({.threads = options.threads, .waiting = options.waiting_requests})
{
}

gate::~gate()
{
    stop();
}

// Another incarnation of a backend server inherits nothing but the address. A late announcement of
// an earlier run, or one that was overtaken, says nothing about now. One that leaves takes no
// request that still waits for it.
announcement_end gate::announce(const announcement& it, time_point now)
{
    outcome out;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        auto [place, fresh] = servers_.try_emplace(it.server.id);
        backend_server& server = place->second;
        const bool overtaken = it.run < server.run || (it.run == server.run && it.sequence != 0 &&
                                                       it.sequence <= server.sequence);
        if (!fresh && overtaken)
            return announcement_end::late;
        server_record record = it.server;
        record.standing = server.record.standing;
        if (fresh) {
            server.slots = slot_queue({.slots = record.slots,
                                       .max_waiting = options_.waiting_requests,
                                       .max_waiting_for_one = options_.waiting_requests / 4 + 1});
        }
        if (server.run != it.run || server.name != it.name) {
            server.idle.clear();
            server.stalls = stall_watch();
        }
        changed = fresh || server.record != record;
        server.record = record;
        server.run = it.run;
        server.name = it.name;
        server.sequence = it.sequence;
        server.is_lost = false;
        server.last_heard = now;
        if (record.draining)
            sort_actions(server.slots.refuse_waiting(), out, refusal::stopping);
    }
    perform(out);
    if (!changed)
        return announcement_end::taken;
    log_event(event::backend_server_changed,
              "name={} address={} service={} run={} sequence={} slots={} draining={}", it.name,
              to_string(it.server.address), it.service_name, it.run.value, it.sequence,
              it.server.slots, it.server.draining);
    health_.set_servers(servers());
    return announcement_end::changed;
}

bool gate::withdraw(const std::string& name, time_point now)
{
    outcome out;
    bool found = false;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [id, server] : servers_) {
            if (server.name != name)
                continue;
            found = true;
            server.record.draining = true;
            server.last_heard = now;
            sort_actions(server.slots.refuse_waiting(), out, refusal::stopping);
        }
    }
    perform(out);
    if (found) {
        log_event(event::backend_server_changed, "name={} withdrawn", name);
        health_.set_servers(servers());
    }
    return found;
}

// Kept out until it announces itself again; the others learn of it with the record.
void gate::note_lost(const pending_request& it, call_end end)
{
    outcome out;
    {
        const std::lock_guard lock(mutex_);
        const auto found = servers_.find(it.request.server);
        if (found == servers_.end() || found->second.is_lost)
            return;
        found->second.is_lost = true;
        found->second.record.draining = true;
        sort_actions(found->second.slots.refuse_waiting(), out, refusal::no_backend_server);
        lost_ = true;
    }
    log_event(event::backend_server_lost, "address={} cause={}", it.request.server.value,
              end == call_end::misdirected ? "another one has the address" : "nothing listens");
    perform(out);
}

bool gate::tick(time_point now)
{
    outcome out;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [id, server] : servers_) {
            sort_actions(server.slots.tick(now), out);
            // What waits here is better off elsewhere.
            if (server.slots.waiting() > 0 && server.stalls.suspicion(now) >= hopeless_suspicion)
                sort_actions(server.slots.refuse_waiting(), out, refusal::suspect);
            std::erase_if(server.idle, [&](const idle_connection& it) {
                return now - it.since > options_.backend_idle;
            });
        }
        changed = std::exchange(lost_, false);
        changed |= std::erase_if(servers_, [&](const auto& it) {
                       const backend_server& server = it.second;
                       return server.slots.running() + server.slots.waiting() == 0 &&
                              now - server.last_heard > options_.announcement_ttl;
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

// Share of the slots that are taken or waited for, and the probability that it hangs: from 0 up.
double gate::load_of(const backend_server& it)
{
    const double busy = static_cast<double>(it.slots.running() + it.slots.waiting());
    return busy / std::max<std::uint32_t>(it.record.slots, 1) + it.stalls.suspicion(boot_now());
}

// Everything that keeps a request from a backend server is looked at here, at the door: the news of
// it may not have reached the entry node yet.
std::optional<refusal> gate::check(const dispatch& request, time_point now)
{
    const auto it = servers_.find(request.server);
    if (stopping_ || request.gate_run != options_.run)
        return refusal::stopping;
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
    if (!request.may_queue && server.slots.running() >= record.slots)
        return refusal::overloaded;
    if (!request.allow_suspected && !server.stalls.admits(request.is_trial, now))
        return refusal::suspect;
    // Nobody else wants it either; without a request now and then, the server could not show that
    // it is well again.
    const bool is_hopeless = request.allow_suspected && !request.idempotent &&
                             server.stalls.suspicion(now) >= hopeless_suspicion &&
                             now - server.last_admitted < hopeless_pause;
    if (is_hopeless)
        return refusal::suspect;
    server.last_admitted = now;
    return std::nullopt;
}

std::vector<server_load> gate::loads(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<server_load> out;
    for (const auto& [id, server] : servers_)
        out.push_back(look_at(id, now));
    return out;
}

server_load gate::look_at(backend_server_id server, time_point now) const
{
    server_load out{.server = server};
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return out;
    out.running = it->second.slots.running();
    out.waiting = it->second.slots.waiting();
    out.suspicion = it->second.stalls.suspicion(now);
    return out;
}

void gate::sort_actions(const slot_actions& actions, outcome& out, refusal reason)
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
             .at = look_at(it->second.request.server, now),
             .waited = now - it->second.accepted});
        pending_.erase(it);
    }
}

// A waiting request that was refused has sent nothing, so the refusal is honest.
void gate::perform(const outcome& it)
{
    for (const refused_stream& refused : it.refused) {
        refuse(*refused.stream, {.reason = refused.reason});
        note_refused(*refused.stream, refused.at, name_of(refused.reason), refused.waited);
    }
    for (const request_id id : it.started) {
        if (workers_.submit([this, id] { run(id); }))
            continue;
        pending_request dropped;
        {
            const std::lock_guard lock(mutex_);
            dropped = pending_.at(id);
        }
        finish(id, dropped, nullptr, {.end = call_end::not_connected});
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
    outcome out;
    std::optional<refusal> reason;
    std::optional<double> load;
    bool trial_due = false;
    server_load at;
    request_id id;
    {
        const std::lock_guard lock(mutex_);
        id = request_id{next_request_++};
    }
    // Before another thread can start the request, whose worker listens for itself from then on.
    stream->on_cancel([this, id] { cancel(id); });
    {
        const std::lock_guard lock(mutex_);
        reason = check(*request, now);
        if (const auto it = servers_.find(request->server); reason && it != servers_.end()) {
            load = load_of(it->second);
            at = look_at(request->server, now);
            trial_due = reason == refusal::suspect && it->second.stalls.is_trial_due(now);
        }
        if (!reason) {
            const time_point deadline = now + request->time_left;
            pending_.emplace(id, pending_request{.stream = stream,
                                                 .request = *request,
                                                 .deadline = deadline,
                                                 .accepted = now});
            slot_queue& slots = servers_.at(request->server).slots;
            sort_actions(
                slots.enqueue({.request = id,
                               .organisation = id_of<organisation_id>(request->organisation),
                               .deadline = latest_start(*request, now, deadline),
                               .rank = queue_rank(*request),
                               .late_from = request->target_latency > duration::zero()
                                                ? now + request->target_latency
                                                : time_point::max()},
                              now),
                out);
        }
    }
    if (reason) {
        refuse(*stream, {.reason = *reason}, load, trial_due);
        note_refused(*stream, at, name_of(*reason), duration::zero());
        return;
    }
    perform(out);
}

// The caller of a waiting request left. One that has got its slot meanwhile is ended by its worker.
void gate::cancel(request_id id)
{
    outcome out;
    pending_request gone;
    server_load at;
    const time_point now = boot_now();
    {
        const std::lock_guard lock(mutex_);
        const auto it = pending_.find(id);
        if (it == pending_.end())
            return;
        const auto server = servers_.find(it->second.request.server);
        const std::size_t before = server->second.slots.waiting();
        sort_actions(server->second.slots.cancel(id, now), out);
        if (server->second.slots.waiting() < before) {
            gone = std::move(it->second);
            pending_.erase(id);
            at = look_at(gone.request.server, now);
        }
    }
    if (gone.stream != nullptr)
        note_refused(*gone.stream, at, "caller_left", now - gone.accepted);
    perform(out);
}

std::shared_ptr<bounded_client> gate::take_connection(backend_server& server)
{
    while (!server.idle.empty()) {
        std::shared_ptr<bounded_client> out = std::move(server.idle.back().client);
        server.idle.pop_back();
        if (!out->has_unread_bytes())
            return out;
    }
    return connect_backend(server.record.address);
}

static request_outcome outcome_of(const call_result& it, bool past_deadline)
{
    switch (it.end) {
    case call_end::whole_answer:
        return it.status >= first_error_status ? request_outcome::error_status
                                               : request_outcome::ok;
    case call_end::not_connected:
    case call_end::misdirected:
        return request_outcome::connection_refused;
    case call_end::shed:
        return request_outcome::shed;
    case call_end::cut_answer:
        return request_outcome::bad_length;
    case call_end::no_answer:
        return past_deadline ? request_outcome::hung : request_outcome::bad_length;
    case call_end::caller_left:
        break;
    }
    return request_outcome::deadline_or_cancelled;
}

// Only a failed connection and an honest shed prove that the request did not run.
static void answer_for(link_stream& stream, const call_result& result, bool past_deadline)
{
    switch (result.end) {
    case call_end::whole_answer:
        break;
    case call_end::not_connected:
    case call_end::misdirected:
        refuse(stream, {.reason = refusal::no_backend_server});
        break;
    case call_end::shed:
        refuse(stream, {.reason = refusal::shed});
        break;
    case call_end::caller_left:
    case call_end::cut_answer:
    case call_end::no_answer:
        if (result.answered)
            stream.reset(reset_reason::internal_error);
        else
            refuse(stream,
                   {.reason = past_deadline ? refusal::deadline : refusal::backend_server_error,
                    .state = run_state::unknown});
        break;
    }
}

// A connection that breaks off while nothing listens any more: the backend server died with the
// request. It is counted against the request; the second victim of one tells that it kills.
bool gate::died_of(const pending_request& it, const call_result& result)
{
    if (result.end != call_end::no_answer && result.end != call_end::cut_answer)
        return false;
    server_record record;
    incarnation run;
    {
        const std::lock_guard lock(mutex_);
        const backend_server& server = servers_.at(it.request.server);
        record = server.record;
        run = server.run;
    }
    if (accepts_connections(record.address))
        return false;
    poison_.on_death(it.request.fingerprint, record.id, run);
    return true;
}

static std::string_view name_of(call_end it)
{
    static constexpr std::array<std::string_view, 7> names{
        "whole_answer", "not_connected", "shed",       "cut_answer",
        "no_answer",    "caller_left",   "misdirected"};
    return names.at(static_cast<std::size_t>(it));
}

void gate::note_refused(const link_stream& stream, const server_load& at, std::string_view reason,
                        duration waited) const
{
    const std::string* id = find_field(stream.head(), options_.names.request_id);
    log_event(event::dispatch_refused,
              "id={} from={} server={:016x} reason={} waited_ms={:.1f} running={} waiting={} "
              "suspicion={:.2f}",
              id == nullptr ? "-" : *id, stream.peer().vm_name, at.server.value, reason,
              as_milliseconds(waited), at.running, at.waiting, at.suspicion);
}

void gate::note_end(const pending_request& it, const call_result& result, bool past_deadline) const
{
    const std::string* id = find_field(it.stream->head(), options_.names.request_id);
    log_event(event::dispatch_ended,
              "id={} from={} server={:016x} end={} status={} past_deadline={} over_bound={} "
              "waited_ms={:.1f} ms={:.1f} suspicion={:.2f} idempotent={} may_wait={} insists={}",
              id == nullptr ? "-" : *id, it.stream->peer().vm_name, it.request.server.value,
              name_of(result.end), result.status, past_deadline, result.over_bound,
              as_milliseconds(it.started - it.accepted), as_milliseconds(result.service_time),
              it.suspicion, it.request.idempotent, it.request.may_queue,
              it.request.allow_suspected);
}

void gate::run(request_id id)
{
    pending_request it;
    std::shared_ptr<bounded_client> client;
    double load = 0;
    std::string name;
    {
        const std::lock_guard lock(mutex_);
        it = pending_.at(id);
        backend_server& server = servers_.at(it.request.server);
        client = take_connection(server);
        name = server.name;
        load = load_of(server);
    }
    it.stream->on_cancel({});
    if (it.stream->is_cancelled()) {
        finish(id, it, nullptr, {.end = call_end::not_connected});
        return;
    }
    it.started = boot_now();
    it.request.time_left = it.deadline - it.started;
    if (it.request.time_left <= duration::zero()) {
        finish(id, it, nullptr, {.end = call_end::not_connected});
        return;
    }
    health_.started(id, it.request.server);
    {
        const std::lock_guard lock(mutex_);
        it.suspicion = servers_.at(it.request.server).stalls.suspicion(it.started);
        servers_.at(it.request.server)
            .stalls.started(id, it.request.route, it.request.target_latency, boot_now());
    }
    const call_result result = call_backend(client, it.stream,
                                            {.deadline = it.deadline,
                                             .load = load,
                                             .names = options_.names,
                                             .request = it.request,
                                             .expected_server = name});
    if (result.end == call_end::not_connected || result.end == call_end::misdirected)
        note_lost(it, result.end);
    const bool past_deadline = result.timed_out;
    note_end(it, result, past_deadline);
    const bool died = !past_deadline && died_of(it, result);
    health_.finished(
        {.request = id, .outcome = outcome_of(result, past_deadline), .suspected_poison = died});
    finish(id, it, std::move(client), result);
}

static request_evidence evidence_of(const call_result& it)
{
    switch (it.end) {
    case call_end::whole_answer:
        return it.status >= first_error_status ? request_evidence::failed
                                               : request_evidence::answered;
    case call_end::cut_answer:
        return request_evidence::failed;
    case call_end::no_answer:
        return it.timed_out ? request_evidence::nothing : request_evidence::failed;
    case call_end::not_connected:
    case call_end::shed:
    case call_end::caller_left:
    case call_end::misdirected:
        break;
    }
    return request_evidence::nothing;
}

// A connection whose answer was not read to its end is dropped: what is left of that answer must
// never reach another caller.
void gate::finish(request_id id, const pending_request& it, std::shared_ptr<bounded_client> client,
                  const call_result& result)
{
    answer_for(*it.stream, result, result.timed_out);
    outcome out;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = boot_now();
        backend_server& server = servers_.at(it.request.server);
        server.stalls.ended(id, evidence_of(result), now);
        if (result.may_reuse && client != nullptr && server.idle.size() < server.record.slots)
            server.idle.push_back({.client = std::move(client), .since = now});
        pending_.erase(id);
        sort_actions(server.slots.finished(id, now), out);
    }
    perform(out);
}

// What waits may still find a place elsewhere.
void gate::close()
{
    outcome out;
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (auto& [id, server] : servers_)
            sort_actions(server.slots.refuse_waiting(), out, refusal::stopping);
    }
    perform(out);
}

void gate::stop()
{
    close();
    workers_.stop();
}

} // namespace jasminebank
