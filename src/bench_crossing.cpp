#include "bench_crossing.h"

#include "member_directory.h"
#include "router.h"
#include "server_search.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::size_t, crossing_domains> servers_of_domain{4, 2, 2, 1};
constexpr std::size_t domains_per_region = 2;
constexpr std::uint32_t slots = 10;
constexpr std::size_t queue_capacity = 64;
constexpr service_id service{7};
constexpr std::size_t max_tries = 24;
constexpr duration min_service = 20ms;
constexpr duration mean_extra_service = 20ms; // exponentially distributed
constexpr duration target = 200ms;
constexpr duration timeout = 1s;
// One-way delays, and the capacity of the link between the regions in each direction.
constexpr std::array<duration, crossing_reaches> delays{300us, 2500us, 12ms};
constexpr double link_bytes_per_second = 60e6 / 8;
constexpr std::size_t head_bytes = 400;
constexpr std::size_t probe_bytes = 60;
constexpr std::size_t small_body = 2000;
constexpr std::size_t large_body = 200'000;
constexpr std::size_t answer_body = 4000;

crossing_reach reach_between(std::size_t from, std::size_t to)
{
    if (from == to)
        return crossing_reach::own_domain;
    return from / domains_per_region == to / domains_per_region ? crossing_reach::own_region
                                                                : crossing_reach::other_region;
}

failure_domain_id id_of_domain(std::size_t domain)
{
    return {domain + 1};
}

traffic_scope scope_between(failure_domain_id from, failure_domain_id to)
{
    const crossing_reach it = reach_between(from.value - 1, to.value - 1);
    return it == crossing_reach::other_region ? traffic_scope::other_region
                                              : traffic_scope::same_region;
}

struct call {
    std::size_t node = 0;
    std::size_t body = 0;
    time_point start;
    server_search search{{}};
    std::size_t tries = 0;
    route_choice choice{};
    bool may_queue = false;
};
using call_ref = std::shared_ptr<call>;

// A node: the gate of one backend server, and an entry.
struct sim_node {
    std::size_t domain = 0;
    std::unique_ptr<router> routes;
    std::uint32_t running = 0;
    std::deque<call_ref> waiting;
};

class simulation {
public:
    simulation(const crossing_case& load, bool has_policy, std::uint64_t seed, bench_report& report)
        : load_(load), demand_random_(seed), random_(mix(seed, 1)), report_(report)
    {
        add_nodes(has_policy);
    }

    crossing_outcome run()
    {
        for (std::size_t domain = 0; domain < crossing_domains; ++domain)
            schedule_arrival(domain);
        while (!events_.empty()) {
            const event_entry it = events_.top();
            events_.pop();
            now_ = it.at;
            it.action();
        }
        return out_;
    }

private:
    struct event_entry {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const event_entry& it) const
        {
            return at != it.at ? at > it.at : sequence > it.sequence;
        }
    };

    void add_nodes(bool has_policy)
    {
        member_directory directory;
        for (std::size_t domain = 0; domain < crossing_domains; ++domain) {
            for (std::size_t n = 0; n < servers_of_domain.at(domain); ++n) {
                const std::uint64_t id = nodes_.size() + 1;
                directory.merge({.vm = {id},
                                 .name = fmt::format("vm{}", id),
                                 .run = {1},
                                 .version = 1,
                                 .link = {"127.0.0.1", 1},
                                 .domain = id_of_domain(domain),
                                 .servers = {{.id = {id},
                                              .service = service,
                                              .address = {"127.0.0.1", 2},
                                              .slots = slots}}});
                nodes_.emplace_back().domain = domain;
            }
        }
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            open_routes(n, directory, has_policy);
    }

    void open_routes(std::size_t n, const member_directory& directory, bool has_policy)
    {
        sim_node& node = nodes_[n];
        const failure_domain_id own = id_of_domain(node.domain);
        router_options options{.self = {n + 1},
                               .domain = own,
                               .other_domain_penalty = 0.3,
                               .other_domain_penalty_per_mb = 30,
                               .own_domain_first = false,
                               .scope_of = [own](auto it) { return scope_between(own, it); }};
        if (has_policy)
            options.crossing = {.other_region_penalty = 0.7,
                                .other_region_penalty_per_mb = 30,
                                .region_link = link_bytes_per_second};
        node.routes = std::make_unique<router>(options);
        node.routes->update(directory);
        node.routes->set_region_nodes(directory, now_);
        if (node.routes->crossing() == nullptr)
            return;
        for (std::size_t reach = 0; reach < crossing_reaches; ++reach)
            node.routes->crossing()->add_round_trip(static_cast<crossing_reach>(reach),
                                                    2 * delays.at(reach));
    }

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, ++sequence_, std::move(action)});
    }

    double uniform() { return std::uniform_real_distribution<>(0, 1)(demand_random_); }
    static duration exponential(double mean_seconds, std::mt19937_64& random)
    {
        const double out = std::exponential_distribution<>(1 / mean_seconds)(random);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(out));
    }

    double demand_of(std::size_t domain) const
    {
        if (load_.shift_after == duration::zero())
            return load_.demand.at(domain);
        const auto shifts = static_cast<std::size_t>((now_ - time_point{}) / load_.shift_after);
        return load_.demand.at((domain + shifts) % crossing_domains);
    }

    void schedule_arrival(std::size_t domain)
    {
        const time_point when =
            now_ + exponential(1 / std::max(demand_of(domain), 1.0), demand_random_);
        if (when - time_point{} >= load_.length)
            return;
        at(when, [this, domain] {
            arrive(domain);
            schedule_arrival(domain);
        });
    }

    void arrive(std::size_t domain)
    {
        std::vector<std::size_t> own;
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            if (nodes_[n].domain == domain)
                own.push_back(n);
        }
        auto it = std::make_shared<call>();
        it->node = own[demand_random_() % own.size()];
        it->body = uniform() < load_.large_share ? large_body : small_body;
        it->start = now_;
        it->search = server_search({.idempotent = true, .target_latency = target, .start = now_});
        ++out_.offered;
        send(it);
    }

    std::optional<route_choice> choose(call& it)
    {
        router& routes = *nodes_[it.node].routes;
        do {
            const search_step step = it.search.step(now_);
            auto out = routes.choose({.service = service,
                                      .idempotent = true,
                                      .excluded = step.excluded,
                                      .full = step.full,
                                      .bytes = it.body + answer_body,
                                      .examines_all = step.consider_all_servers,
                                      .service_time = min_service + mean_extra_service,
                                      .target = std::max(it.start + target - now_, duration(1)),
                                      .time_left = it.start + timeout - now_},
                                     random_(), now_);
            if (routes.crossing() != nullptr)
                out_.changes += routes.crossing()->take_changes().size();
            if (out)
                return out;
        } while (it.search.advance_stage());
        return std::nullopt;
    }

    // The time at which the bytes arrive. Bytes between regions share one link in each direction.
    time_point arrival_of(std::size_t from, std::size_t to, std::size_t bytes)
    {
        const std::size_t sender = nodes_[from].domain;
        const crossing_reach reach = reach_between(sender, nodes_[to].domain);
        time_point sent = now_;
        if (reach == crossing_reach::own_region)
            out_.domain_bytes += bytes;
        if (reach == crossing_reach::other_region) {
            out_.region_bytes += bytes;
            time_point& free = link_free_.at(sender / domains_per_region);
            out_.longest_link_wait = std::max(out_.longest_link_wait, free - now_);
            const double seconds = static_cast<double>(bytes) / link_bytes_per_second;
            sent = std::max(free, now_) +
                   std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
            free = sent;
        }
        return sent + delays.at(static_cast<std::size_t>(reach));
    }

    void send(const call_ref& it)
    {
        const auto choice = it->tries++ < max_tries ? choose(*it) : std::nullopt;
        report_.add_decision(choice ? choice->server.value : 0);
        if (!choice)
            return;
        it->choice = *choice;
        it->may_queue = it->search.may_queue();
        nodes_[it->node].routes->started(choice->server);
        if (choice->needs_probe)
            probe(it);
        else
            dispatch(it);
    }

    // The entry learns the load of the gate after a round trip.
    void probe(const call_ref& it)
    {
        const std::size_t gate = it->choice.gate.value - 1;
        at(arrival_of(it->node, gate, probe_bytes), [this, it, gate] {
            const double load = load_of(nodes_[gate]);
            at(arrival_of(gate, it->node, probe_bytes), [this, it, load] {
                if (load < 1) {
                    dispatch(it);
                    return;
                }
                nodes_[it->node].routes->finished(it->choice.server, load, now_);
                it->search.on_refused(it->choice.server, refusal::overloaded);
                if (it->search.may_continue(now_))
                    send(it);
            });
        });
    }

    void dispatch(const call_ref& it)
    {
        const std::size_t gate = it->choice.gate.value - 1;
        at(arrival_of(it->node, gate, it->body + head_bytes),
           [this, it, gate] { accept(it, gate); });
    }

    double load_of(const sim_node& gate) const
    {
        return static_cast<double>(gate.running + gate.waiting.size()) / slots;
    }

    void accept(const call_ref& it, std::size_t gate)
    {
        sim_node& node = nodes_[gate];
        if (node.running < slots)
            start(it, gate);
        else if (it->may_queue && node.waiting.size() < queue_capacity)
            node.waiting.push_back(it);
        else
            refuse(it, gate);
    }

    void refuse(const call_ref& it, std::size_t gate)
    {
        const double load = load_of(nodes_[gate]);
        at(arrival_of(gate, it->node, head_bytes), [this, it, load] {
            router& routes = *nodes_[it->node].routes;
            routes.finished(it->choice.server, load, now_);
            routes.refused(it->choice.server, false, load, now_);
            it->search.on_refused(it->choice.server, refusal::overloaded);
            if (it->search.may_continue(now_))
                send(it);
        });
    }

    void start(const call_ref& it, std::size_t gate)
    {
        sim_node& node = nodes_[gate];
        ++node.running;
        const double load = load_of(node);
        const duration extra =
            exponential(std::chrono::duration<double>(mean_extra_service).count(), random_);
        at(now_ + min_service + extra, [this, it, gate, load] {
            --nodes_[gate].running;
            answer(it, gate, load);
            start_next(gate);
        });
    }

    void start_next(std::size_t gate)
    {
        sim_node& node = nodes_[gate];
        while (!node.waiting.empty()) {
            const call_ref it = node.waiting.front();
            node.waiting.pop_front();
            if (now_ < it->start + timeout) {
                start(it, gate);
                return;
            }
            refuse(it, gate);
        }
    }

    void answer(const call_ref& it, std::size_t gate, double load)
    {
        at(arrival_of(gate, it->node, answer_body + head_bytes), [this, it, load] {
            nodes_[it->node].routes->finished(it->choice.server, load, now_);
            const duration latency = now_ - it->start;
            out_.served += latency <= timeout ? 1 : 0;
            out_.in_target += latency <= target ? 1 : 0;
        });
    }

    const crossing_case& load_;
    std::mt19937_64 demand_random_; // the same demand whatever the placement decides
    std::mt19937_64 random_;
    bench_report& report_;
    std::vector<sim_node> nodes_;
    std::priority_queue<event_entry> events_;
    std::uint64_t sequence_ = 0;
    time_point now_{};
    std::array<time_point, crossing_domains / domains_per_region> link_free_{};
    crossing_outcome out_;
};

} // namespace

// The servers of the domains take 1000, 500, 500 and 250 requests a second.
std::vector<crossing_case> crossing_cases()
{
    return {{.name = "fitting", .demand = {700, 350, 350, 170}},
            {.name = "uneven", .demand = {350, 170, 350, 700}},
            {.name = "moving", .demand = {900, 350, 170, 150}, .shift_after = 2s},
            {.name = "moving small",
             .demand = {900, 350, 170, 150},
             .shift_after = 2s,
             .large_share = 0},
            {.name = "crowded", .demand = {1100, 400, 350, 250}, .shift_after = 3s}};
}

crossing_outcome simulate_crossing(const crossing_case& load, bool has_policy, std::uint64_t seed,
                                   bench_report& report)
{
    return simulation(load, has_policy, seed, report).run();
}

void bench_crossing(std::uint64_t seed, bench_report& report)
{
    for (const crossing_case& load : crossing_cases()) {
        for (const bool has_policy : {false, true}) {
            const crossing_outcome it = simulate_crossing(load, has_policy, seed, report);
            const std::string prefix =
                fmt::format("{}, {}: ", load.name, has_policy ? "policy" : "current");
            const double seconds = std::chrono::duration<double>(load.length).count();
            const auto share = [&](std::uint64_t n) {
                return 100 * static_cast<double>(n) / static_cast<double>(it.offered);
            };
            const auto rate = [&](std::uint64_t bytes) {
                return static_cast<double>(bytes) * 8 / 1e6 / seconds;
            };
            report.add_figure(prefix + "served", share(it.served), "%");
            report.add_figure(prefix + "in target", share(it.in_target), "%");
            report.add_figure(prefix + "between domains", rate(it.domain_bytes), "Mbit/s");
            report.add_figure(prefix + "between regions", rate(it.region_bytes), "Mbit/s");
            report.add_figure(
                prefix + "longest wait for the link",
                std::chrono::duration<double, std::milli>(it.longest_link_wait).count(), "ms");
            report.add_figure(prefix + "changes of reach", static_cast<double>(it.changes), "");
        }
    }
}

} // namespace jasminebank
