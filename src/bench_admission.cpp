#include "bench_admission.h"

#include "answer_estimate.h"
#include "dispatch.h"
#include "member_directory.h"
#include "nested_pressure.h"
#include "returned_requests.h"
#include "router.h"
#include "server_search.h"
#include "service_room.h"
#include "slot_queue.h"
#include "stall_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t slots_per_server = 10;
constexpr std::size_t failure_domains = 3;
constexpr std::size_t organisations = 8;
constexpr duration one_way = 1ms; // between an entry and a gate
constexpr duration tick_interval = 50ms;
constexpr duration load_duration = 30s;
constexpr duration hang_duration = 5s;
constexpr std::size_t max_gate_tries = 24;
// Retry-After of a refusal without `service_admission`.
constexpr duration default_retry_after = 300ms;
// Of the gate: see `gate::admit`.
constexpr double high_suspicion = 0.7;
constexpr double max_reporting_suspicion = 0.5;
constexpr duration high_suspicion_interval = 1s;
// A refusal within the first time since the request arrived is at once, one after more than the
// second is late.
constexpr duration at_once = 20ms;
constexpr duration late = 100ms;
// Spread of the service times: standard deviation of their logarithm.
constexpr double service_sigma = 0.4;

constexpr std::array<std::size_t, 4> service_sizes{26, 32, 13, 4};
constexpr std::size_t small_service = 2;

// A nested request that a run makes after half of its service time.
struct nested_kind {
    std::size_t service;
    duration median;
    duration target;
    duration timeout;
};

// One kind of request; the usual rates use about 60 % of the slots of each service.
struct request_kind {
    std::string_view name;
    std::size_t service;
    std::uint32_t priority;
    bool idempotent;
    double usual_rate; // requests/s of all organisations
    duration median;   // of the service time
    duration target;
    duration timeout;
    std::optional<nested_kind> nested{};
};

constexpr std::array<request_kind, 5> kinds{{
    {"lookup", 0, 0, true, 400, 360ms, 1s, 4s, {}},
    {"order", 1, 0, false, 180, 600ms, 1500ms, 6s, {}},
    {"quote", 1, 1, true, 110, 400ms, 1500ms, 5s, nested_kind{2, 200ms, 400ms, 1s}},
    {"report", 2, 1, true, 28, 2s, 5s, 12s, {}},
    {"notice", 3, 2, false, 80, 250ms, 1s, 5s, {}},
}};

enum class load_kind : std::uint8_t { even, burst, one_organisation, hanging, nested };

struct named_load {
    load_kind kind;
    std::string_view name;
};

constexpr std::array<named_load, 5> loads{{{load_kind::even, "even load"},
                                           {load_kind::burst, "burst of 1.7 times"},
                                           {load_kind::one_organisation, "one organisation 7.5"},
                                           {load_kind::hanging, "a third hangs in turns"},
                                           {load_kind::nested, "nested into a small service"}}};

// Which parts of the admission are in use.
struct policy {
    std::string_view name;
    bool room = false;
    bool returned = false;
    bool pressure = false;
    bool reserve = false;
    bool no_time = false;
    bool returned_by_organisation = false;
};

constexpr std::array<policy, 4> policies{
    {{"today"},
     {"returned_first = none", true, false, true, true, true},
     {"returned_first = organisation", true, true, true, true, true, true},
     {"returned_first = rank", true, true, true, true, true}}};

// How the requests of one group ended.
struct tally {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t in_target = 0;

    double share(std::uint64_t count) const
    {
        return sent == 0 ? 1 : static_cast<double>(count) / static_cast<double>(sent);
    }
};

struct results {
    tally all;
    std::array<tally, organisations> by_organisation{};
    std::array<tally, kinds.size()> by_kind{};
    std::uint64_t refused_at_once = 0;
    std::uint64_t refused_late = 0;
    std::uint64_t in_target_of_visit = 0; // counted from the last visit, not from the first
    std::uint64_t returns = 0;
    std::uint64_t runs = 0;
    std::uint64_t wasted_runs = 0;
    std::uint64_t refused_on_arrival = 0;
    std::uint64_t refused_with_room = 0; // although a usable server that works had a free slot
};

enum class visit_end : std::uint8_t { answered, refused, failed };

// One visit of a request to an entry; a caller that returns makes another one.
struct visit {
    std::uint64_t id = 0; // of the caller's request, or of the nested one
    std::size_t kind = 0;
    std::size_t organisation = 0;
    std::size_t entry = 0;
    bool is_nested = false;
    bool is_returned = false;
    time_point first_sent; // before the first visit
    time_point start;
    time_point attempt_start{};
    time_point deadline;
    std::optional<server_search> search{};
    std::size_t tries = 0;
    // Of a nested request: called with its end.
    std::function<void(visit_end)> on_end{};
};

using visit_ptr = std::shared_ptr<visit>;

struct model_entry {
    explicit model_entry(const router_options& options) : routing(options) {}

    router routing;
    service_room room;
    returned_requests returned;
    answer_estimate estimates;
};

struct model_gate {
    backend_server_id server;
    std::size_t service = 0;
    slot_queue slots;
    stall_watch stalls;
    nested_pressure pressure;
    time_point hung_until{};
    time_point last_admitted{};
    // Requests that wait or run, by the gate's own id.
    std::map<std::uint64_t, visit_ptr> pending{};
};

// What a gate tells an entry.
struct gate_reply {
    std::optional<refusal> refused{};
    double load = 0;
    std::optional<duration> wait{};
    visit_end end = visit_end::refused;
};

class model {
public:
    model(std::uint64_t seed, const policy& rules, load_kind load)
        : policy_(rules), load_(load), random_(seed)
    {
        build_fleet();
    }

    results run(bench_report& report);

private:
    void build_fleet();
    void at(time_point when, std::function<void()> action);
    double uniform();
    duration service_time(duration median);
    double rate_of(std::size_t kind, std::size_t organisation) const;
    void schedule_arrival(std::size_t kind, std::size_t organisation);
    void set_hanging(std::size_t turn);
    void tick();

    void arrive(const visit_ptr& it);
    bool refuse_for_room(const visit_ptr& it);
    bool has_free_server(const visit& it);
    room_request room_request_of(const visit& it) const;
    std::vector<backend_server_id> usable(const visit& it);
    void try_next(const visit_ptr& it);
    void on_reply(const visit_ptr& it, std::size_t gate, const gate_reply& reply);
    void refuse(const visit_ptr& it, std::optional<duration> retry_after);
    void end(const visit_ptr& it, visit_end how);

    void accept(const visit_ptr& it, std::size_t gate, bool may_queue, bool allows_suspected);
    std::optional<refusal> admit(const visit& it, model_gate& at_gate, bool may_queue,
                                 bool allows_suspected);
    void reply(const visit_ptr& it, std::size_t gate, gate_reply out);
    void perform(std::size_t gate, const slot_actions& actions);
    void start(std::size_t gate, std::uint64_t id);
    void run_part(std::size_t gate, std::uint64_t id, duration left, std::function<void()> next);
    void make_nested(std::size_t gate, std::uint64_t id, duration left);
    void return_held_work(std::size_t gate, route_id route);
    void finish(std::size_t gate, std::uint64_t id, visit_end how, bool is_overdue);
    std::uint32_t rank_of(const visit& it) const;
    duration target_of(const visit& it) const;
    duration median_of(const visit& it) const;
    std::size_t service_of(const visit& it) const;
    route_id route_of(const visit& it) const;

    const policy policy_;
    const load_kind load_;
    std::mt19937_64 random_;
    time_point now_{1h};
    const time_point begin_{1h};
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t next_event_ = 0;
    std::uint64_t next_id_ = 0;
    std::vector<model_entry> entries_;
    std::vector<model_gate> gates_;
    results out_;
    bench_report* report_ = nullptr;
};

service_id id_of_service(std::size_t service)
{
    return {service + 1};
}

// One VM for each backend server, with the node that is its gate and an entry.
void model::build_fleet()
{
    member_directory directory;
    for (std::size_t service = 0; service < service_sizes.size(); ++service) {
        for (std::size_t n = 0; n < service_sizes.at(service); ++n) {
            const std::uint64_t vm = gates_.size() + 1;
            const server_record record{.id = {vm},
                                       .service = id_of_service(service),
                                       .address = {},
                                       .slots = slots_per_server};
            directory.merge({.vm = {vm},
                             .name = fmt::format("vm-{}", vm),
                             .run = {1},
                             .version = 1,
                             .link = {},
                             .domain = {vm % failure_domains},
                             .servers = {record}});
            gates_.push_back({.server = {vm},
                              .service = service,
                              .slots = slot_queue({.slots = slots_per_server,
                                                   .max_waiting = 64,
                                                   .max_waiting_per_organisation = 17,
                                                   .reserve_for_first_rank = policy_.reserve,
                                                   .returned_first_by_organisation =
                                                       policy_.returned_by_organisation}),
                              .stalls = stall_watch(),
                              .pressure = nested_pressure()});
        }
    }
    for (std::size_t n = 0; n < gates_.size(); ++n) {
        entries_.emplace_back(router_options{.self = {n + 1},
                                             .domain = {(n + 1) % failure_domains},
                                             .other_domain_penalty = 0.3,
                                             .own_domain_first = false});
        entries_.back().routing.update(directory);
    }
}

void model::at(time_point when, std::function<void()> action)
{
    events_.emplace(std::pair(when, next_event_++), std::move(action));
}

double model::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

duration model::service_time(duration median)
{
    const double factor = std::lognormal_distribution<double>(0, service_sigma)(random_);
    return std::chrono::duration_cast<duration>(median * factor);
}

// Nested requests have no organisation.
organisation_id organisation_of(const visit& it)
{
    return {it.is_nested ? 0 : it.organisation + 1};
}

std::uint32_t model::rank_of(const visit& it) const
{
    return queue_rank({.priority = kinds.at(it.kind).priority, .is_nested = it.is_nested});
}

duration model::target_of(const visit& it) const
{
    return it.is_nested ? kinds.at(it.kind).nested->target : kinds.at(it.kind).target;
}

duration model::median_of(const visit& it) const
{
    return it.is_nested ? kinds.at(it.kind).nested->median : kinds.at(it.kind).median;
}

std::size_t model::service_of(const visit& it) const
{
    return it.is_nested ? kinds.at(it.kind).nested->service : kinds.at(it.kind).service;
}

route_id model::route_of(const visit& it) const
{
    return {2 * it.kind + (it.is_nested ? 1 : 0)};
}

// The burst lasts for the middle third.
double model::rate_of(std::size_t kind, std::size_t organisation) const
{
    const double usual = kinds.at(kind).usual_rate / organisations;
    const duration age = now_ - begin_;
    const bool is_middle = age > load_duration / 3 && age < load_duration * 2 / 3;
    switch (load_) {
    case load_kind::even:
    case load_kind::hanging:
        break;
    case load_kind::burst:
        return is_middle ? 1.7 * usual * 1.2 : usual * 1.2;
    case load_kind::one_organisation:
        return organisation == 0 && is_middle ? 7.5 * usual : usual;
    case load_kind::nested:
        return kinds.at(kind).service == small_service ? 4 * usual : usual;
    }
    return usual;
}

void model::schedule_arrival(std::size_t kind, std::size_t organisation)
{
    if (now_ - begin_ >= load_duration)
        return;
    const double gap = std::exponential_distribution<double>(rate_of(kind, organisation))(random_);
    at(now_ + std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)),
       [this, kind, organisation] {
           const auto it = std::make_shared<visit>();
           it->id = ++next_id_;
           it->kind = kind;
           it->organisation = organisation;
           it->entry = random_() % entries_.size();
           it->first_sent = now_;
           it->deadline = now_ + kinds.at(kind).timeout;
           ++out_.all.sent;
           ++out_.by_kind.at(kind).sent;
           ++out_.by_organisation.at(organisation).sent;
           arrive(it);
           schedule_arrival(kind, organisation);
       });
}

// Every third server hangs, another third after each interval.
void model::set_hanging(std::size_t turn)
{
    for (std::size_t n = turn % 3; n < gates_.size(); n += 3)
        gates_[n].hung_until = now_ + hang_duration;
    if (now_ - begin_ < load_duration)
        at(now_ + hang_duration, [this, turn] { set_hanging(turn + 1); });
}

void model::tick()
{
    for (std::size_t n = 0; n < gates_.size(); ++n) {
        model_gate& it = gates_[n];
        perform(n, it.slots.tick(now_));
        if (it.slots.waiting() > 0 && it.stalls.suspicion(now_) >= high_suspicion)
            perform(n, it.slots.refuse_waiting());
    }
    if (now_ - begin_ < load_duration + 15s)
        at(now_ + tick_interval, [this] { tick(); });
}

results model::run(bench_report& report)
{
    report_ = &report;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        for (std::size_t organisation = 0; organisation < organisations; ++organisation)
            schedule_arrival(kind, organisation);
    }
    if (load_ == load_kind::hanging)
        at(now_ + 2s, [this] { set_hanging(0); });
    at(now_ + tick_interval, [this] { tick(); });
    while (!events_.empty()) {
        auto first = events_.extract(events_.begin());
        now_ = first.key().first;
        first.mapped()();
    }
    return out_;
}

room_request model::room_request_of(const visit& it) const
{
    return {.service = id_of_service(service_of(it)),
            .organisation = organisation_of(it),
            .rank = rank_of(it),
            .is_nested = it.is_nested,
            .is_returned = it.is_returned,
            .start = it.start,
            .deadline = it.deadline,
            .target = target_of(it),
            .expected_service = entries_[it.entry].estimates.least_service_time(route_of(it))};
}

std::vector<backend_server_id> model::usable(const visit& it)
{
    return entries_[it.entry].routing.usable_servers(
        {.service = id_of_service(service_of(it)), .idempotent = kinds.at(it.kind).idempotent},
        now_);
}

bool model::has_free_server(const visit& it)
{
    const auto servers = usable(it);
    return std::any_of(servers.begin(), servers.end(), [&](backend_server_id server) {
        const model_gate& own = gates_[server.value - 1];
        return own.hung_until <= now_ && own.slots.may_start(now_, rank_of(it));
    });
}

bool model::refuse_for_room(const visit_ptr& it)
{
    if (!policy_.room)
        return false;
    const auto refused = entries_[it->entry].room.refuse_on_arrival(room_request_of(*it),
                                                                    usable(*it), random_(), now_);
    if (!refused)
        return false;
    ++out_.refused_on_arrival;
    out_.refused_with_room += has_free_server(*it) ? 1 : 0;
    refuse(it, refused->retry_after);
    return true;
}

request_fingerprint fingerprint_of(const visit& it)
{
    return {.high = it.id, .low = it.is_nested ? 1U : 0U};
}

void model::arrive(const visit_ptr& it)
{
    it->start = now_;
    it->tries = 0;
    it->search.emplace(server_search_options{.idempotent = kinds.at(it->kind).idempotent,
                                             .target_latency = target_of(*it),
                                             .start = now_,
                                             .is_nested = it->is_nested});
    it->is_returned =
        policy_.returned && entries_[it->entry].returned.take(fingerprint_of(*it), now_);
    if (!refuse_for_room(it))
        try_next(it);
}

void model::try_next(const visit_ptr& it)
{
    model_entry& own = entries_[it->entry];
    if (++it->tries > max_gate_tries || now_ >= it->deadline) {
        refuse(it, std::nullopt);
        return;
    }
    do {
        const search_step step = it->search->step(now_);
        if (step.pause > duration::zero()) {
            at(now_ + step.pause, [this, it] { try_next(it); });
            return;
        }
        const auto choice = own.routing.choose({.service = id_of_service(service_of(*it)),
                                                .idempotent = kinds.at(it->kind).idempotent,
                                                .excluded = step.excluded,
                                                .examines_all = step.consider_all_servers},
                                               random_(), now_);
        if (!choice)
            continue;
        own.routing.started(choice->server);
        it->attempt_start = now_;
        at(now_ + one_way,
           [this, it, gate = choice->server.value - 1, may_queue = it->search->may_queue(),
            insists = it->search->allows_suspected()] { accept(it, gate, may_queue, insists); });
        return;
    } while (it->search->advance_stage());
    refuse(it, std::nullopt);
}

void model::on_reply(const visit_ptr& it, std::size_t gate, const gate_reply& reply)
{
    model_entry& own = entries_[it->entry];
    const backend_server_id server{gate + 1};
    if (reply.wait && policy_.room)
        own.room.reported(server, room_request_of(*it), *reply.wait, now_);
    own.routing.finished(server, reply.load, now_);
    if (!reply.refused) {
        if (reply.end == visit_end::answered && !it->search->may_queue())
            own.estimates.add_service_time(route_of(*it), now_ - it->attempt_start);
        end(it, reply.end);
        return;
    }
    if (*reply.refused == refusal::suspect || *reply.refused == refusal::overloaded)
        own.routing.refused(server, *reply.refused == refusal::suspect, reply.load, now_);
    it->search->on_refused(server, *reply.refused);
    if (*reply.refused == refusal::overloaded && refuse_for_room(it))
        return;
    const bool may_try = *reply.refused != refusal::no_time && it->search->may_continue(now_);
    if (may_try)
        try_next(it);
    else
        refuse(it, std::nullopt);
}

// A caller returns after its Retry-After, if that is at most a third of the time that it has left.
void model::refuse(const visit_ptr& it, std::optional<duration> retry_after)
{
    report_->add_decision(mix(it->id, static_cast<std::uint64_t>(now_.time_since_epoch().count())));
    out_.refused_at_once += now_ - it->start <= at_once ? 1 : 0;
    out_.refused_late += now_ - it->start > late ? 1 : 0;
    if (it->is_nested) {
        end(it, visit_end::refused);
        return;
    }
    model_entry& own = entries_[it->entry];
    if (!retry_after)
        retry_after = policy_.room
                          ? own.room.retry_after(room_request_of(*it), usable(*it), random_(), now_)
                          : default_retry_after;
    if (policy_.returned)
        own.returned.refused(fingerprint_of(*it), it->deadline, now_);
    if (*retry_after > (it->deadline - now_) / 3) {
        end(it, visit_end::refused);
        return;
    }
    ++out_.returns;
    at(now_ + *retry_after, [this, it] { arrive(it); });
}

void model::end(const visit_ptr& it, visit_end how)
{
    report_->add_decision(mix(it->id, static_cast<std::uint64_t>(how)));
    if (it->is_nested) {
        gates_[it->entry].pressure.ended(how == visit_end::refused, now_);
        it->on_end(how);
        return;
    }
    if (how != visit_end::answered)
        return;
    out_.in_target_of_visit += now_ - it->start <= target_of(*it) ? 1 : 0;
    const bool in_target = now_ - it->first_sent <= target_of(*it);
    for (tally* group :
         {&out_.all, &out_.by_kind.at(it->kind), &out_.by_organisation.at(it->organisation)}) {
        ++group->served;
        group->in_target += in_target ? 1 : 0;
    }
}

// The checks of `gate::admit`.
std::optional<refusal> model::admit(const visit& it, model_gate& at_gate, bool may_queue,
                                    bool allows_suspected)
{
    const auto least = at_gate.stalls.least_service_time(route_of(it));
    if (policy_.no_time && least && it.deadline - now_ < *least)
        return refusal::no_time;
    if (!may_queue && !at_gate.slots.may_start(now_, rank_of(it)))
        return refusal::overloaded;
    if (!allows_suspected && !at_gate.stalls.admits(false, now_))
        return refusal::suspect;
    const bool is_throttled = allows_suspected && !kinds.at(it.kind).idempotent &&
                              at_gate.stalls.suspicion(now_) >= high_suspicion &&
                              now_ - at_gate.last_admitted < high_suspicion_interval;
    if (is_throttled)
        return refusal::suspect;
    if (policy_.pressure && !it.is_nested && !at_gate.pressure.admits_new_work(route_of(it), now_))
        return refusal::overloaded;
    at_gate.last_admitted = now_;
    return std::nullopt;
}

void model::accept(const visit_ptr& it, std::size_t gate, bool may_queue, bool allows_suspected)
{
    model_gate& own = gates_[gate];
    if (const auto refused = admit(*it, own, may_queue, allows_suspected)) {
        reply(it, gate, {.refused = refused});
        return;
    }
    const std::uint64_t id = ++next_id_;
    own.pending[id] = it;
    const duration target = target_of(*it);
    const dispatch terms{.is_nested = it->is_nested, .target_latency = target};
    perform(gate, own.slots.enqueue({.request = {id},
                                     .organisation = organisation_of(*it),
                                     .deadline = latest_start(terms, now_, it->deadline),
                                     .rank = rank_of(*it),
                                     .soft_deadline = now_ + target,
                                     .is_returned = it->is_returned},
                                    now_));
}

void model::reply(const visit_ptr& it, std::size_t gate, gate_reply out)
{
    const model_gate& own = gates_[gate];
    const double suspicion = own.stalls.suspicion(now_);
    const double busy =
        static_cast<double>(own.slots.running() + own.slots.waiting()) / slots_per_server;
    out.load = busy + suspicion;
    if (suspicion < max_reporting_suspicion)
        out.wait = own.slots.expected_wait({.request = {},
                                            .organisation = organisation_of(*it),
                                            .deadline = {},
                                            .rank = rank_of(*it),
                                            .is_returned = it->is_returned},
                                           now_);
    at(now_ + one_way, [this, it, gate, out] { on_reply(it, gate, out); });
}

void model::perform(std::size_t gate, const slot_actions& actions)
{
    model_gate& own = gates_[gate];
    for (const slot_action& action : actions) {
        if (const auto* started = std::get_if<start_request>(&action)) {
            start(gate, started->request.value);
            continue;
        }
        const auto& refused = std::get<refuse_request>(action);
        const auto found = own.pending.find(refused.request.value);
        const visit_ptr it = found->second;
        own.pending.erase(found);
        reply(it, gate, {.refused = refusal::overloaded});
    }
}

void model::start(std::size_t gate, std::uint64_t id)
{
    model_gate& own = gates_[gate];
    const visit_ptr it = own.pending.at(id);
    ++out_.runs;
    own.stalls.started({id}, route_of(*it), target_of(*it), now_);
    at(it->deadline, [this, gate, id] { finish(gate, id, visit_end::failed, true); });
    const duration whole = service_time(median_of(*it));
    const bool has_nested = !it->is_nested && kinds.at(it->kind).nested;
    if (has_nested)
        run_part(gate, id, whole / 2,
                 [this, gate, id, whole] { make_nested(gate, id, whole / 2); });
    else
        run_part(gate, id, whole,
                 [this, gate, id] { finish(gate, id, visit_end::answered, false); });
}

// A server that hangs goes on with its work when it is well again.
void model::run_part(std::size_t gate, std::uint64_t id, duration left, std::function<void()> next)
{
    const time_point begin = std::max(now_, gates_[gate].hung_until);
    at(begin + left, [this, gate, id, next = std::move(next)] {
        if (!gates_[gate].pending.contains(id))
            return;
        if (gates_[gate].hung_until > now_)
            at(gates_[gate].hung_until, next);
        else
            next();
    });
}

void model::make_nested(std::size_t gate, std::uint64_t id, duration left)
{
    const auto found = gates_[gate].pending.find(id);
    if (found == gates_[gate].pending.end())
        return;
    const visit& parent = *found->second;
    const auto it = std::make_shared<visit>();
    it->id = ++next_id_;
    it->kind = parent.kind;
    it->organisation = parent.organisation;
    it->entry = gate;
    it->is_nested = true;
    it->first_sent = now_;
    it->deadline = std::min(parent.deadline, now_ + kinds.at(parent.kind).nested->timeout);
    it->on_end = [this, gate, id, left](visit_end how) {
        if (!gates_[gate].pending.contains(id))
            return;
        if (how == visit_end::answered) {
            run_part(gate, id, left,
                     [this, gate, id] { finish(gate, id, visit_end::answered, false); });
            return;
        }
        out_.wasted_runs += how == visit_end::refused ? 1 : 0;
        finish(gate, id, visit_end::failed, false);
    };
    arrive(it);
}

void model::finish(std::size_t gate, std::uint64_t id, visit_end how, bool is_overdue)
{
    model_gate& own = gates_[gate];
    const auto found = own.pending.find(id);
    if (found == own.pending.end())
        return;
    const visit_ptr it = found->second;
    own.pending.erase(found);
    request_evidence evidence = request_evidence::answered;
    if (how != visit_end::answered)
        evidence = is_overdue ? request_evidence::inconclusive : request_evidence::failed;
    own.stalls.ended({id}, evidence, now_);
    if (!it->is_nested) {
        own.pressure.run_ended(route_of(*it), how != visit_end::answered, now_);
        return_held_work(gate, route_of(*it));
    }
    reply(it, gate, {.end = how});
    perform(gate, own.slots.finished({id}, now_));
}

// The requests that wait for a slot on a route that is held back try elsewhere.
void model::return_held_work(std::size_t gate, route_id route)
{
    model_gate& own = gates_[gate];
    if (!policy_.pressure || !own.pressure.holds(route, now_))
        return;
    std::vector<request_id> held;
    for (const auto& [id, it] : own.pending) {
        if (!it->is_nested && route_of(*it) == route)
            held.push_back({id});
    }
    for (const request_id id : held)
        perform(gate, own.slots.refuse_waiting(id));
}

template <class Groups>
double worst_in_target(const Groups& groups, std::size_t from)
{
    double out = 1;
    for (std::size_t n = from; n < groups.size(); ++n)
        out = std::min(out, groups[n].share(groups[n].in_target));
    return out;
}

void add_figures(bench_report& report, const named_load& load, const policy& rules,
                 const results& it)
{
    const auto add = [&](std::string_view what, double value) {
        report.add_figure(fmt::format("{}, {}: {}", load.name, rules.name, what), value, "");
    };
    const double runs = static_cast<double>(std::max<std::uint64_t>(it.runs, 1));
    // The organisation with 7.5 times its rate is the first one.
    const std::size_t first = load.kind == load_kind::one_organisation ? 1 : 0;
    add("served", it.all.share(it.all.served));
    add("in target", it.all.share(it.all.in_target));
    add("in target since the last return", it.all.share(it.in_target_of_visit));
    add("in target, worst organisation", worst_in_target(it.by_organisation, first));
    add("in target, worst kind", worst_in_target(it.by_kind, 0));
    add("refusals at once, per request", it.all.share(it.refused_at_once));
    add("refusals late, per request", it.all.share(it.refused_late));
    add("returns, per request", it.all.share(it.returns));
    add("refusals on arrival, per request", it.all.share(it.refused_on_arrival));
    add("refusals on arrival, a slot was free", it.all.share(it.refused_with_room));
    add("wasted runs", static_cast<double>(it.wasted_runs) / runs);
}

} // namespace

void bench_admission(std::uint64_t seed, bench_report& report)
{
    for (const named_load& load : loads) {
        for (const policy& rules : policies) {
            model it(seed, rules, load.kind);
            add_figures(report, load, rules, it.run(report));
        }
    }
}

} // namespace jasminebank
