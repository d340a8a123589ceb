#include "health_service.h"

#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(50);
// Between polls of a service's gates while one of its local servers is not serving normally.
constexpr duration poll_interval = std::chrono::milliseconds(500);
constexpr duration poll_timeout = std::chrono::seconds(1);
constexpr std::size_t max_polled_gates = 64;

health_service::health_service(health_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
    if (!options_.store.empty())
        store_.emplace(store_client_options{.endpoints = options_.store});
    tick_thread_ = std::thread([this] { run_ticks(); });
    store_thread_ = std::thread([this] { run_store_jobs(); });
}

health_service::~health_service()
{
    stop();
}

void health_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (tick_thread_.joinable())
        tick_thread_.join();
    if (store_thread_.joinable())
        store_thread_.join();
}

ejector_options health_service::options_for(service_id service) const
{
    const service_config* it = config_ == nullptr ? nullptr : find_service(*config_, service);
    ejector_options out{
        .service = service, .gate = options_.self, .gate_incarnation = options_.run, .floor = {}};
    // Without a configured floor nothing may be ejected.
    out.floor.floor_slots = it == nullptr ? UINT32_MAX : it->floor_slots;
    return out;
}

health_service::service_state* health_service::find_state(service_id service)
{
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second;
}

// A changed floor replaces the ejector. The detector starts anew as well and reports the servers
// that are still failing.
void health_service::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    std::unordered_map<service_id, std::uint32_t> floors;
    for (const auto& [service, state] : services_)
        floors[service] = options_for(service).floor.floor_slots;
    config_ = std::move(config);
    for (auto& [service, state] : services_) {
        const ejector_options options = options_for(service);
        if (options.floor.floor_slots == floors[service])
            continue;
        state.server_ejector = ejector(options);
        for (const auto& [id, record] : servers_) {
            if (record.service != service)
                continue;
            state.server_ejector.add_server(id, record.slots, now);
            detector_.add_server(service, id, now);
            pending_callbacks_.push_back(
                [this, id = id] { options_.on_standing_changed(id, server_standing::serving); });
        }
    }
}

void health_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_ = directory.members();
    for (auto& [service, state] : services_) {
        state.gates.clear();
        for (const member_record& it : members_) {
            const bool serves =
                std::any_of(it.servers.begin(), it.servers.end(),
                            [service = service](const auto& s) { return s.service == service; });
            if (serves && it.vm != options_.self && state.gates.size() < max_polled_gates)
                state.gates.push_back({.vm = it.vm, .link = it.link});
        }
    }
}

void health_service::set_servers(const std::vector<server_record>& servers)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    std::erase_if(servers_, [&](const auto& known) {
        const bool gone = std::none_of(servers.begin(), servers.end(),
                                       [&](const server_record& a) { return a.id == known.first; });
        if (gone) {
            detector_.remove_server(known.first);
            if (service_state* state = find_state(known.second.service))
                state->server_ejector.remove_server(known.first);
        }
        return gone;
    });
    for (const server_record& it : servers) {
        const bool fresh = !servers_.contains(it.id);
        servers_[it.id] = it;
        if (!fresh)
            continue;
        detector_.add_server(it.service, it.id, now);
        const auto [place, is_new] = services_.try_emplace(
            it.service, service_state{.server_ejector = ejector(options_for(it.service)),
                                      .view = {},
                                      .gates = {}});
        place->second.server_ejector.add_server(it.id, it.slots, now);
    }
}

void health_service::started(request_id request, backend_server_id server)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    execute(detector_.step(request_started{.request = request, .server = server}, now), now);
}

void health_service::finished(const request_finished& event)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    execute(detector_.step(event, now), now);
}

bool health_service::admits(backend_server_id server, bool idempotent) const
{
    const std::lock_guard lock(mutex_);
    return detector_.admits(server, idempotent);
}

std::string health_service::answer_query(std::string_view query_text)
{
    const auto query = decode_health_query(query_text);
    if (!query)
        return {};
    const std::lock_guard lock(mutex_);
    service_health out{.reference = detector_.service_statistics(*query, options_.self, boot_now()),
                       .gate_run = options_.run,
                       .servers = {}};
    const service_state* state = find_state(query->service);
    for (const auto& [id, record] : servers_) {
        if (record.service != query->service)
            continue;
        out.servers.push_back(record);
        if (state != nullptr)
            out.servers.back().standing = state->server_ejector.standing_of(id);
    }
    return encode_service_health(out);
}

// Replaces this gate's own servers in the view by their present state.
void health_service::refresh_own_servers(service_id service, service_state& state, time_point now)
{
    std::erase_if(state.view.servers,
                  [&](const observed_server& it) { return it.gate == options_.self; });
    for (const auto& [id, record] : servers_) {
        if (record.service != service)
            continue;
        const server_standing standing = state.server_ejector.standing_of(id);
        state.view.servers.push_back({.server = id,
                                      .gate = options_.self,
                                      .gate_incarnation = options_.run,
                                      .slots = record.slots,
                                      .draining = record.draining,
                                      .held_out = standing == server_standing::held_out ||
                                                  standing == server_standing::on_trial,
                                      .last_observed = now});
    }
    if (state.gates.empty())
        state.view.updated = now;
}

// Queries all gates of the service concurrently; their answers update the view and the detector.
void health_service::poll(service_state& state, const peer_query& query, time_point now)
{
    state.next_poll = now + poll_interval;
    if (!options_.queries_peers)
        return;
    const service_id service = query.service;
    const std::string query_text = encode_health_query(query);
    for (const peer_gate& gate : state.gates) {
        const bool sent =
            links_.call(gate.link, std::string(service_health_path), query_text, poll_timeout,
                        [this, service, gate, now](const result<std::string, link_error>& reply) {
                            if (failed(reply))
                                return;
                            if (const auto it = decode_service_health(value_of(reply)))
                                apply_service_health(service, gate, now, *it);
                        });
        if (!sent)
            return;
    }
}

void health_service::apply_service_health(service_id service, const peer_gate& gate,
                                          time_point query_sent, const service_health& it)
{
    const std::lock_guard lock(mutex_);
    service_state* state = find_state(service);
    if (state == nullptr || stopping_)
        return;
    const time_point now = boot_now();
    std::erase_if(state->view.servers,
                  [&](const observed_server& known) { return known.gate == gate.vm; });
    for (const server_record& record : it.servers) {
        state->view.servers.push_back({.server = record.id,
                                       .gate = gate.vm,
                                       .gate_incarnation = it.gate_run,
                                       .slots = record.slots,
                                       .draining = record.draining,
                                       .held_out = record.standing == server_standing::held_out ||
                                                   record.standing == server_standing::on_trial,
                                       .last_observed = query_sent});
    }
    state->view.updated = now;
    execute(detector_.step(it.reference, now), now);
}

health_service::service_state* health_service::state_of(backend_server_id server,
                                                        service_id& service)
{
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return nullptr;
    service = it->second.service;
    return find_state(service);
}

void health_service::execute(const detector_actions& actions, time_point now)
{
    for (const detector_action& action : actions) {
        if (const auto* query = std::get_if<peer_query>(&action)) {
            if (service_state* state = find_state(query->service))
                poll(*state, *query, now);
        }
        else if (const auto* changed = std::get_if<verdict_changed>(&action)) {
            service_state* state = find_state(changed->service);
            if (state == nullptr)
                continue;
            refresh_own_servers(changed->service, *state, now);
            const assessment& it = changed->evidence;
            log_event(event::health_changed, "backend server {:016x}: {}, evidence {:.1f}/{:.1f}",
                      changed->server.value,
                      it.state == verdict::failing
                          ? "failing"
                          : (it.state == verdict::suspect ? "suspect" : "healthy"),
                      it.slow_evidence, it.error_evidence);
            if (it.state == verdict::failing)
                execute(changed->service, state->server_ejector.on_failing(
                                              changed->server, it.severity, state->view, now));
            else if (it.state == verdict::healthy)
                execute(changed->service,
                        state->server_ejector.on_recovered(changed->server, state->view, now));
        }
        else if (const auto* trial = std::get_if<trial_ended>(&action)) {
            if (service_state* state = find_state(trial->service)) {
                refresh_own_servers(trial->service, *state, now);
                execute(trial->service, state->server_ejector.on_trial_ended(
                                            trial->server, trial->passed, state->view, now));
            }
        }
    }
}

void health_service::execute(service_id service, const ejector_actions& actions)
{
    for (const ejector_action& action : actions) {
        if (const auto* set = std::get_if<set_standing>(&action)) {
            if (set->standing == server_standing::on_trial)
                detector_.begin_trial(set->server);
            log_event(event::standing_changed, "backend server {:016x}: {}", set->server.value,
                      static_cast<unsigned>(set->standing));
            pending_callbacks_.push_back(
                [this, it = *set] { options_.on_standing_changed(it.server, it.standing); });
        }
        else if (const auto* write = std::get_if<write_record>(&action)) {
            store_jobs_.push_back({.service = service, .write = *write});
        }
        else {
            store_jobs_.push_back({.service = service, .write = {}});
        }
    }
    wake_.notify_all();
}

static std::string key_of(service_id service)
{
    return fmt::format("{}{:016x}", ejection_prefix, service.value);
}

void health_service::read_ejection_record(service_id service)
{
    const std::string key = key_of(service);
    const result<store_range, store_error> read =
        store_ ? store_->range(store_key_range{.key = key, .range_end = {}})
               : result<store_range, store_error>(store_error{.detail = "no store is configured"});
    const std::lock_guard lock(mutex_);
    service_state* state = find_state(service);
    if (state == nullptr)
        return;
    const time_point now = boot_now();
    if (failed(read)) {
        execute(service, state->server_ejector.on_read_failed(now));
        return;
    }
    ejection_record record{.service = service, .version = 0, .ejected = {}, .reserved = {}};
    state->record_revision = 0;
    if (!value_of(read).entries.empty()) {
        const store_entry& entry = value_of(read).entries.front();
        if (const auto it = decode_ejection_record(entry.value))
            record = *it;
        state->record_revision = entry.mod_revision;
    }
    state->record_version = record.version;
    refresh_own_servers(service, *state, now);
    execute(service, state->server_ejector.on_record(record, state->view, now));
}

static write_outcome outcome_of(const result<store_commit, store_error>& answer)
{
    if (!failed(answer))
        return value_of(answer).succeeded ? write_outcome::committed : write_outcome::conflict;
    return error_of(answer).kind == store_error_kind::outcome_unknown ? write_outcome::unknown
                                                                      : write_outcome::not_written;
}

void health_service::write_ejection_record(service_id service, const write_record& write)
{
    const std::string key = key_of(service);
    store_revision expected = 0;
    bool current = false;
    {
        const std::lock_guard lock(mutex_);
        const service_state* state = find_state(service);
        if (state == nullptr)
            return;
        expected = state->record_revision;
        current = state->record_version == write.expected;
    }
    write_outcome outcome = store_ ? write_outcome::conflict : write_outcome::not_written;
    store_revision written = 0;
    if (current && store_) {
        const auto answer = store_->commit(
            {.compares = {unchanged_since(key, expected)},
             .puts = {{.key = key, .value = encode_ejection_record(write.record), .lease = {}}},
             .deletes = {}});
        outcome = outcome_of(answer);
        written = failed(answer) ? 0 : value_of(answer).revision;
    }
    const std::lock_guard lock(mutex_);
    service_state* state = find_state(service);
    if (state == nullptr)
        return;
    if (outcome == write_outcome::committed) {
        state->record_revision = written;
        state->record_version = write.record.version;
    }
    const time_point now = boot_now();
    refresh_own_servers(service, *state, now);
    execute(service, state->server_ejector.on_write_answered(outcome, state->view, now));
}

void health_service::run_store_jobs()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        wake_.wait(lock, [this] { return stopping_ || !store_jobs_.empty(); });
        if (stopping_)
            return;
        const store_job job = store_jobs_.front();
        store_jobs_.pop_front();
        lock.unlock();
        if (job.write)
            write_ejection_record(job.service, *job.write);
        else
            read_ejection_record(job.service);
        lock.lock();
    }
}

bool health_service::has_degraded_server(service_id service, const ejector& server_ejector) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
        return it.second.service == service &&
               server_ejector.standing_of(it.first) != server_standing::serving;
    });
}

// Advances the detector and the ejectors, and polls the gates of each service that has a local
// server in another standing than serving. Runs the pending callbacks.
void health_service::run_ticks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const time_point now = boot_now();
        execute(detector_.tick(now), now);
        for (auto& [service, state] : services_) {
            const bool is_degraded = has_degraded_server(service, state.server_ejector);
            if (is_degraded && now >= state.next_poll)
                poll(state, {.service = service, .span = {.since = poll_interval}}, now);
            refresh_own_servers(service, state, now);
            execute(service, state.server_ejector.tick(state.view, now));
        }
        const auto callbacks = std::exchange(pending_callbacks_, {});
        lock.unlock();
        for (const auto& it : callbacks)
            it();
        lock.lock();
        wake_.wait_for(lock, tick_interval,
                       [this] { return stopping_ || !pending_callbacks_.empty(); });
    }
}

} // namespace jasminebank
