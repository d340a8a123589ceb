#include "bench_detection.h"

#include "consecutive_errors.h"
#include "failure_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <queue>
#include <random>
#include <type_traits>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t slots_per_server = 4;
constexpr duration tick_interval = 50ms;
constexpr duration peer_round_trip = 10ms;
constexpr duration request_timeout = 5s;

// One service of the simulated fleet.
struct service_traffic {
    std::size_t servers;
    double rate; // requests/s over all servers
    duration median_latency;
};

constexpr std::array<service_traffic, 3> fleet{{{9, 100, 25ms}, {15, 70, 40ms}, {6, 14, 250ms}}};

constexpr std::size_t fleet_servers = 30; // each has its own entry node and gate

enum class failure_kind : std::uint8_t {
    none,
    slow_2x,
    slow_5x,
    slow_20x,
    wrong_10,
    wrong_50,
    hung,
    flapping, // repeats 2 s with 5 times the latency and 50 % wrong answers, then 5 s healthy
};

struct named_kind {
    failure_kind kind;
    std::string_view name;
};

constexpr std::array<named_kind, 7> failure_kinds{{{failure_kind::slow_2x, "slow 2x"},
                                                   {failure_kind::slow_5x, "slow 5x"},
                                                   {failure_kind::slow_20x, "slow 20x"},
                                                   {failure_kind::wrong_10, "wrong 10 %"},
                                                   {failure_kind::wrong_50, "wrong 50 %"},
                                                   {failure_kind::hung, "hung"},
                                                   {failure_kind::flapping, "flapping"}}};

// One event of the simulation. Which members are used depends on `what`.
struct world_event {
    enum class type : std::uint8_t { arrival, finish, tick, peer_answers, disturbance };
    time_point at;
    type what = type::tick;
    std::size_t index = 0; // of the service, server or gate
    std::size_t entry = 0;
    request_id request{};
    request_outcome outcome = request_outcome::ok;
    peer_query query{};
    bool operator>(const world_event& other) const { return at > other.at; }
};

struct backend {
    std::size_t service = 0;
    std::uint32_t open = 0;
    std::array<std::uint32_t, fleet_servers> open_by_entry{};
    time_point cold_until{};
    time_point draining_until{};
    time_point shedding_until{};
    failure_kind failure = failure_kind::none;
    time_point failing_since{};
};

// Discrete-event simulation of the fleet: Poisson arrivals independent of completions, selection of
// the less loaded of two random servers, and one failure detector for each gate.
template <class Detector>
class fleet_simulation {
public:
    template <class Options>
    fleet_simulation(std::uint64_t seed, const Options& options, bench_report& report)
        : random_(seed), report_(report)
    {
        for (std::size_t service = 0; service < fleet.size(); ++service) {
            first_server_.push_back(servers_.size());
            for (std::size_t n = 0; n < fleet[service].servers; ++n) {
                servers_.push_back({.service = service});
                detectors_.emplace_back(options);
                detectors_.back().add_server({service}, {servers_.size() - 1}, now_);
            }
            push({.at = now_ + exponential_delay(fleet[service].rate),
                  .what = type::arrival,
                  .index = service});
        }
        push({.at = now_ + tick_interval, .what = type::tick});
        push({.at = now_ + 1min, .what = type::disturbance});
    }

    // Runs until the time `end`, or until the server `until` is reported failing. Returns the time
    // of that report, if any.
    std::optional<time_point> run(time_point end, std::optional<std::size_t> until = {})
    {
        reported_failing_.reset();
        while (events_.top().at <= end) {
            const world_event event = events_.top();
            events_.pop();
            now_ = event.at;
            handle(event);
            if (until && reported_failing_ == until)
                return now_;
        }
        now_ = end;
        return std::nullopt;
    }

    void fail(std::size_t server, failure_kind kind)
    {
        servers_[server].failure = kind;
        servers_[server].failing_since = now_;
    }

    // Replaces a backend server by a healthy one; its detector starts without evidence.
    void heal(std::size_t server)
    {
        servers_[server].failure = failure_kind::none;
        detectors_[server].add_server({servers_[server].service}, {server}, now_);
    }

    // True if no cold start, drain or load shedding affects the server. A failure is injected only
    // then, so that its detection delay is not distorted.
    bool is_undisturbed(std::size_t server) const
    {
        const backend& it = servers_[server];
        return it.cold_until <= now_ && it.draining_until <= now_ && it.shedding_until <= now_;
    }

    std::size_t pick(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    std::size_t servers() const { return servers_.size(); }
    std::size_t service_of(std::size_t server) const { return servers_[server].service; }
    std::size_t false_verdicts() const { return false_verdicts_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t peer_queries() const { return peer_queries_; }
    time_point now() const { return now_; }

private:
    using type = world_event::type;

    void push(const world_event& it) { events_.push(it); }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }
    duration exponential_delay(double rate)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(std::exponential_distribution<>(rate)(random_)));
    }
    duration uniform_duration(duration low, duration high)
    {
        return duration(
            std::uniform_int_distribution<duration::rep>(low.count(), high.count())(random_));
    }

    void handle(const world_event& it)
    {
        switch (it.what) {
        case type::arrival:
            start_request(it.index);
            push({.at = now_ + exponential_delay(fleet[it.index].rate),
                  .what = type::arrival,
                  .index = it.index});
            break;
        case type::finish:
            --servers_[it.index].open;
            --servers_[it.index].open_by_entry[it.entry];
            apply_actions(it.index, detectors_[it.index].step(
                                        request_finished{it.request, it.outcome}, now_));
            break;
        case type::tick:
            for (std::size_t n = 0; n < detectors_.size(); ++n)
                apply_actions(n, detectors_[n].tick(now_));
            push({.at = now_ + tick_interval, .what = type::tick});
            break;
        case type::peer_answers:
            deliver_peer_statistics(it);
            break;
        case type::disturbance:
            start_disturbance();
            push({.at = now_ + exponential_delay(1.0 / 60), .what = type::disturbance});
            break;
        }
    }

    // The request enters at a random entry node, which selects the less loaded of two random
    // servers by the number of its own open requests to each. If the server has no free slot or is
    // about to be drained, the request is not sent.
    void start_request(std::size_t service)
    {
        const std::size_t entry = pick(servers_.size());
        const std::size_t n = fleet[service].servers;
        const std::size_t a = first_server_[service] + pick(n);
        const std::size_t b = first_server_[service] + pick(n);
        const std::size_t chosen =
            servers_[b].open_by_entry[entry] < servers_[a].open_by_entry[entry] ? b : a;
        backend& it = servers_[chosen];
        if (it.open >= slots_per_server || it.draining_until > now_ + 4s)
            return;
        ++it.open;
        ++it.open_by_entry[entry];
        const request_id request{++requests_};
        apply_actions(chosen, detectors_[chosen].step(request_started{request, {chosen}}, now_));
        world_event end{
            .at = now_, .what = type::finish, .index = chosen, .entry = entry, .request = request};
        draw_completion(it, end);
        push(end);
    }

    bool is_failure_active(const backend& it) const
    {
        return it.failure != failure_kind::flapping || (now_ - it.failing_since) % 7s < 2s;
    }

    // Draws latency and outcome of a request. Latency is log-normal with a heavy tail: 2 of 1000
    // requests take 3 to 8 times as long. 1 of 5000 requests ends with an error status.
    void draw_completion(const backend& it, world_event& end)
    {
        const service_traffic& service = fleet[it.service];
        double factor = std::exp(std::normal_distribution<>(0, 0.35)(random_));
        if (chance(0.002))
            factor *= std::uniform_real_distribution<>(3, 8)(random_);
        if (slow_until_[it.service] > now_)
            factor *= slow_factor_[it.service];
        if (chance(0.0002))
            end.outcome = request_outcome::error_status;
        if (it.cold_until > now_) {
            factor *= 4;
            end.outcome = request_outcome::cold_start;
        }
        if (it.draining_until > now_)
            end.outcome = request_outcome::draining;
        if (it.shedding_until > now_ && chance(0.3)) {
            factor = 0.1;
            end.outcome = request_outcome::shed;
        }
        if (chance(0.0005))
            end.outcome = request_outcome::link_fault;
        if (it.failure != failure_kind::none && is_failure_active(it))
            apply_failure(it.failure, factor, end);
        duration takes = std::chrono::duration_cast<duration>(service.median_latency * factor);
        if (takes > request_timeout) {
            takes = request_timeout;
            end.outcome = request_outcome::hung;
        }
        const duration deadline = std::chrono::duration_cast<duration>(
            service.median_latency * std::uniform_real_distribution<>(0.3, 6)(random_));
        if (chance(0.005) && deadline < takes) {
            takes = deadline;
            end.outcome = request_outcome::deadline_or_cancelled;
        }
        end.at = now_ + takes;
    }

    void apply_failure(failure_kind kind, double& factor, world_event& end)
    {
        constexpr double never = 1e6;
        double wrong = 0;
        if (kind == failure_kind::slow_2x)
            factor *= 2;
        if (kind == failure_kind::slow_5x || kind == failure_kind::flapping)
            factor *= 5;
        if (kind == failure_kind::slow_20x)
            factor *= 20;
        if (kind == failure_kind::hung)
            factor = never;
        if (kind == failure_kind::wrong_10)
            wrong = 0.1;
        if (kind == failure_kind::wrong_50 || kind == failure_kind::flapping)
            wrong = 0.5;
        if (chance(wrong))
            end.outcome = chance(0.5) ? request_outcome::error_status : request_outcome::bad_length;
    }

    // Starts a disturbance that the detector must not report: a cold start, a drain, load shedding,
    // or a slowdown of a whole service. Occurs once a minute on average.
    void start_disturbance()
    {
        const std::size_t server = pick(servers_.size());
        backend& it = servers_[server];
        const std::size_t what = pick(4);
        if (what == 3) {
            const std::size_t service = pick(fleet.size());
            slow_until_[service] = now_ + uniform_duration(5s, 20s);
            slow_factor_[service] = std::uniform_real_distribution<>(2, 6)(random_);
        }
        else if (it.failure != failure_kind::none) {
            return;
        }
        else if (what == 0) {
            it.cold_until = now_ + 30s;
            detectors_[server].add_server({it.service}, {server}, now_, true);
        }
        else if (what == 1) {
            it.draining_until = now_ + 5s;
        }
        else {
            it.shedding_until = now_ + 10s;
        }
    }

    // Delivers the statistics of five other gates of the service. The event is scheduled one round
    // trip after the query.
    void deliver_peer_statistics(const world_event& it)
    {
        if constexpr (std::is_same_v<Detector, failure_detector>) {
            constexpr std::size_t peers = 5;
            const std::size_t service = servers_[it.index].service;
            const std::size_t n = fleet[service].servers;
            const std::size_t own = it.index - first_server_[service];
            const std::size_t skip = 1 + pick(n - peers);
            for (std::size_t k = 0; k < peers; ++k) {
                const std::size_t peer = first_server_[service] + (own + skip + k) % n;
                const peer_statistics figures =
                    detectors_[peer].service_statistics(it.query, {peer}, now_);
                apply_actions(it.index, detectors_[it.index].step(figures, now_));
            }
        }
    }

    void apply_actions(std::size_t gate, const detector_actions& actions)
    {
        for (const detector_action& action : actions) {
            if (const auto* peer_request = std::get_if<peer_query>(&action)) {
                ++peer_queries_;
                push({.at = now_ + peer_round_trip,
                      .what = type::peer_answers,
                      .index = gate,
                      .query = {peer_request->service,
                                peer_request->query_id,
                                {peer_request->span.since + peer_round_trip,
                                 peer_request->span.until + peer_round_trip}}});
                continue;
            }
            const auto* changed = std::get_if<verdict_changed>(&action);
            if (changed == nullptr || changed->evidence.state != verdict::failing)
                continue;
            report_.add_decision(
                mix(gate, static_cast<std::uint64_t>(now_.time_since_epoch().count())));
            reported_failing_ = gate;
            if (servers_[gate].failure == failure_kind::none) {
                ++false_verdicts_;
                detectors_[gate].add_server({servers_[gate].service}, {gate}, now_);
            }
        }
    }

    std::mt19937_64 random_;
    bench_report& report_;
    time_point now_{1h};
    std::vector<backend> servers_;
    std::vector<std::size_t> first_server_;
    std::vector<Detector> detectors_;
    std::array<time_point, fleet.size()> slow_until_{};
    std::array<double, fleet.size()> slow_factor_{};
    std::priority_queue<world_event, std::vector<world_event>, std::greater<>> events_;
    std::optional<std::size_t> reported_failing_;
    std::size_t false_verdicts_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t peer_queries_ = 0;
};

constexpr duration max_detection_delay = 120s;

// Detection delays of one kind of failure. A failure that is not detected within
// max_detection_delay counts as missed, with that delay.
struct detection_delays {
    std::vector<double> seconds;
    std::size_t missed = 0;

    double quantile(double part)
    {
        std::sort(seconds.begin(), seconds.end());
        return seconds[static_cast<std::size_t>(part * static_cast<double>(seconds.size() - 1))];
    }
};

// Lets each server of the fleet fail `rounds` times, at random times, and measures the delay until
// its gate reports it as failing.
template <class Detector>
detection_delays measure_detection_delays(fleet_simulation<Detector>& it, failure_kind kind,
                                          std::size_t rounds)
{
    detection_delays out;
    for (std::size_t n = 0; n < rounds * it.servers(); ++n) {
        const std::size_t server = n % it.servers();
        it.run(it.now() + 20s + std::chrono::milliseconds(it.pick(5000)));
        while (!it.is_undisturbed(server))
            it.run(it.now() + 10s);
        it.fail(server, kind);
        const time_point start = it.now();
        const auto found = it.run(start + max_detection_delay, server);
        out.seconds.push_back(
            std::chrono::duration<double>(found.value_or(start + max_detection_delay) - start)
                .count());
        out.missed += found ? 0 : 1;
        it.heal(server);
    }
    return out;
}

template <class Detector, class Options>
void report_detection_delays(std::string_view name, std::uint64_t seed, const Options& options,
                             std::size_t rounds, bench_report& report)
{
    fleet_simulation<Detector> it(seed, options, report);
    it.run(it.now() + 5min);
    for (const named_kind& kind : failure_kinds) {
        detection_delays found = measure_detection_delays(it, kind.kind, rounds);
        report.add_figure(fmt::format("{} {}: median delay", name, kind.name), found.quantile(0.5),
                          "s");
        report.add_figure(fmt::format("{} {}: p95 delay", name, kind.name), found.quantile(0.95),
                          "s");
        report.add_figure(fmt::format("{} {}: worst delay", name, kind.name), found.quantile(1),
                          "s");
        report.add_figure(fmt::format("{} {}: not found in 120 s", name, kind.name),
                          static_cast<double>(found.missed), "servers");
    }
    report.add_figure(fmt::format("{}: false verdicts meanwhile", name),
                      static_cast<double>(it.false_verdicts()), "");
    report.add_figure(
        fmt::format("{}: hours meanwhile", name),
        std::chrono::duration<double, std::ratio<3600>>(it.now().time_since_epoch()).count() - 1,
        "h");
}

template <class Detector, class Options>
void report_false_verdicts(std::string_view name, std::uint64_t seed, const Options& options,
                           std::chrono::hours span, bench_report& report)
{
    fleet_simulation<Detector> it(seed, options, report);
    it.run(it.now() + span);
    const auto hours = static_cast<double>(span.count());
    report.add_figure(fmt::format("{}: false verdicts in {} h", name, span.count()),
                      static_cast<double>(it.false_verdicts()), "");
    report.add_figure(fmt::format("{}: requests", name), static_cast<double>(it.requests()), "");
    report.add_figure(fmt::format("{}: questions to peers", name),
                      static_cast<double>(it.peer_queries()) / hours / 3600, "per s");
}

detector_options scaled_thresholds(double factor)
{
    detector_options out;
    out.slow_threshold *= factor;
    out.error_threshold *= factor;
    return out;
}

void report_threshold_sweep(std::uint64_t seed, bench_report& report)
{
    for (const double factor : {0.3, 0.45, 0.6, 0.8, 1.0, 1.3}) {
        const detector_options options = scaled_thresholds(factor);
        fleet_simulation<failure_detector> it(seed, options, report);
        it.run(it.now() + 5min);
        detection_delays slow = measure_detection_delays(it, failure_kind::slow_5x, 2);
        detection_delays wrong = measure_detection_delays(it, failure_kind::wrong_50, 2);
        const std::string name = fmt::format("threshold x{:.2f}", factor);
        report.add_figure(name + ": median delay slow 5x", slow.quantile(0.5), "s");
        report.add_figure(name + ": median delay wrong 50 %", wrong.quantile(0.5), "s");
        report_false_verdicts<failure_detector>(name, seed, options, std::chrono::hours(4), report);
    }
}

} // namespace

void run_detection(std::uint64_t seed, bench_report& report)
{
    report_detection_delays<failure_detector>("sequential", seed, detector_options{}, 8, report);
    report_detection_delays<consecutive_errors>("baseline", seed, consecutive_errors_options{}, 2,
                                                report);
    report_threshold_sweep(seed, report);
}

void run_false_alarms(std::uint64_t seed, bench_report& report)
{
    constexpr std::chrono::hours span(100);
    report_false_verdicts<failure_detector>("sequential", seed, detector_options{}, span, report);
    report_false_verdicts<consecutive_errors>("baseline", seed, consecutive_errors_options{}, span,
                                              report);
}

} // namespace jasminebank
