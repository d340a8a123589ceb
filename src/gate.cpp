#include "gate.h"

#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

// Tells the entry node that this gate did not run the request.
static void refuse(link_stream& stream, const refusal_answer& it)
{
    message_head head{.method = {}, .path = {}, .status = status_of(it.reason), .fields = {}};
    head.fields.push_back({.name = std::string(outcome_field), .value = outcome_text(it)});
    stream.respond(std::move(head), true);
}

gate::gate(gate_options options)
    : options_(options), workers_({.threads = options.threads, .waiting = options.waiting_requests})
{
}

gate::~gate()
{
    stop();
}

bool gate::announce(const announcement& it, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto [place, fresh] = servers_.try_emplace(it.server.id);
    backend_server& server = place->second;
    const bool changed = fresh || server.record != it.server;
    if (server.run != it.run)
        server.idle.clear();
    server.record = it.server;
    server.run = it.run;
    server.last_heard = now;
    return changed;
}

bool gate::expire(time_point now)
{
    const std::lock_guard lock(mutex_);
    for (auto& [id, server] : servers_) {
        std::erase_if(server.idle, [&](const idle_connection& it) {
            return now - it.since > options_.backend_idle;
        });
    }
    return std::erase_if(servers_, [&](const auto& it) {
               return it.second.busy == 0 && now - it.second.last_heard > options_.announcement_ttl;
           }) > 0;
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

double gate::load_of(backend_server_id id) const
{
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(id);
    return it == servers_.end() ? 0
                                : static_cast<double>(it->second.busy) / it->second.record.slots;
}

// A slot is taken before a thread is, so a full backend server costs no thread.
std::optional<refusal> gate::take_slot(const dispatch& request)
{
    const std::lock_guard lock(mutex_);
    const auto it = servers_.find(request.server);
    if (stopping_ || request.gate_run != options_.run)
        return refusal::stopping;
    if (it == servers_.end())
        return refusal::no_backend_server;
    if (it->second.record.draining)
        return refusal::stopping;
    if (it->second.busy >= it->second.record.slots)
        return refusal::overloaded;
    ++it->second.busy;
    return std::nullopt;
}

void gate::accept(const std::shared_ptr<link_stream>& stream)
{
    const auto request = read_dispatch(stream->head());
    if (!request) {
        refuse(*stream, {.reason = refusal::bad_request});
        return;
    }
    if (const auto reason = take_slot(*request)) {
        refuse(*stream, {.reason = *reason});
        return;
    }
    const time_point deadline = boot_now() + request->time_left;
    const bool taken =
        workers_.submit([this, stream, it = *request, deadline] { run(stream, it, deadline); });
    if (!taken) {
        give_back(request->server, nullptr, {});
        refuse(*stream, {.reason = refusal::overloaded});
    }
}

std::shared_ptr<httplib::Client> gate::take_connection(backend_server_id id)
{
    const std::lock_guard lock(mutex_);
    backend_server& server = servers_.at(id);
    if (server.idle.empty())
        return connect_backend(server.record.address);
    std::shared_ptr<httplib::Client> out = std::move(server.idle.back().client);
    server.idle.pop_back();
    return out;
}

// A connection whose answer was not read to its end is dropped: what is left of that answer must
// never reach another caller.
void gate::give_back(backend_server_id id, std::shared_ptr<httplib::Client> client,
                     const call_result& result)
{
    const std::lock_guard lock(mutex_);
    backend_server& server = servers_.at(id);
    --server.busy;
    if (result.may_reuse && client != nullptr && server.idle.size() < server.record.slots)
        server.idle.push_back({.client = std::move(client), .since = boot_now()});
}

// Only a failed connection and an honest shed prove that the request did not run.
void gate::run(const std::shared_ptr<link_stream>& stream, const dispatch& request,
               time_point deadline)
{
    std::shared_ptr<httplib::Client> client = take_connection(request.server);
    const call_result result =
        call_backend(client, stream, {.deadline = deadline, .load = load_of(request.server)});
    give_back(request.server, std::move(client), result);
    switch (result.end) {
    case call_end::whole_answer:
        break;
    case call_end::not_connected:
        refuse(*stream, {.reason = refusal::no_backend_server});
        break;
    case call_end::shed:
        refuse(*stream, {.reason = refusal::overloaded});
        break;
    case call_end::caller_left:
    case call_end::cut_answer:
    case call_end::no_answer:
        if (result.answered)
            stream->reset(reset_reason::internal_error);
        else
            refuse(*stream, {.reason = boot_now() >= deadline ? refusal::deadline
                                                              : refusal::backend_server_error,
                             .state = run_state::unknown});
        break;
    }
}

void gate::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    workers_.stop();
}

} // namespace jasminebank
