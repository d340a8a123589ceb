#include "failure_detector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminebank {

namespace {

constexpr std::size_t max_servers = 64;
constexpr std::size_t max_open_requests = 256;
constexpr std::size_t max_samples = 128;
constexpr std::size_t max_peers = 16;

// One finished request. `log_time` is valid only if `timed`; an error has no usable service time.
struct sample {
    double log_time = 0;
    bool timed = false;
    bool error = false;
    bool slow = false;
    double gain = 0; // evidence that it added, in nats
    time_point started;
};

struct open_request {
    request_id request;
    time_point started;
    bool cold = false; // started while the backend server was warming up
};

// Robust running estimates of ln(service time) and of the error share.
struct running_estimates {
    double log_median = 0;
    double log_scale = 0.4;
    double error_share = 0;
    std::uint64_t samples = 0;
};

double log_seconds(duration it)
{
    constexpr double shortest_s = 1e-5;
    return std::log(std::max(shortest_s, std::chrono::duration<double>(it).count()));
}

double median_of(std::vector<double>& values)
{
    assert(!values.empty());
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// Moves the estimates towards one sample. The deviation is clipped to two spreads for the median
// and to three for the spread, so that a few outliers or a short failure hardly change them.
void learn_time(running_estimates& it, double log_time)
{
    constexpr std::uint64_t max_averaged_samples = 500;
    ++it.samples;
    if (it.samples == 1) {
        it.log_median = log_time;
        return;
    }
    const double rate = 1.0 / static_cast<double>(std::min(it.samples, max_averaged_samples));
    const double gap = log_time - it.log_median;
    constexpr double sigma_of_mean_deviation = 1.2533;
    const double spread = sigma_of_mean_deviation * std::min(std::abs(gap), 3 * it.log_scale);
    it.log_median += rate * std::clamp(gap, -2 * it.log_scale, 2 * it.log_scale);
    it.log_scale = std::max(0.05, it.log_scale + rate * (spread - it.log_scale));
}

void learn_error(running_estimates& it, bool error)
{
    constexpr double rate = 1.0 / 4000;
    it.error_share += rate * ((error ? 1.0 : 0.0) - it.error_share);
}

bool is_error(request_outcome it)
{
    return it == request_outcome::error_status || it == request_outcome::bad_length ||
           it == request_outcome::connection_refused;
}

bool is_neutral(request_outcome it)
{
    return it == request_outcome::shed || it == request_outcome::draining ||
           it == request_outcome::link_fault;
}

} // namespace

/// Service time and error share of a healthy backend server of a service.
struct failure_detector::reference {
    double log_median = 0;
    double log_scale = 0.4;
    double error_share = 0;
    bool known = false;

    // Log likelihood ratio of a slowdown for one service time, in nats.
    double slow_step(double log_time, const detector_options& options) const
    {
        constexpr double max_credit = 2; // largest evidence of health from one fast request
        if (!known)
            return 0;
        const double shift = std::log(options.slow_factor);
        const double log_ratio =
            shift / (log_scale * log_scale) * (log_time - log_median - shift / 2);
        return std::clamp(log_ratio, -max_credit, options.max_slow_evidence);
    }

    // Log likelihood ratio of a raised error share for one answer, in nats. Zero where the error
    // share of the whole service is high, since an error is no evidence then.
    double error_step(bool error, const detector_options& options) const
    {
        constexpr double informative_below = 0.3;
        if (error_share >= informative_below)
            return 0;
        const double raised_share = std::max(options.failing_error_share, 2 * error_share);
        if (error)
            return std::min(options.max_error_evidence, std::log(raised_share / error_share));
        return std::log((1 - raised_share) / (1 - error_share));
    }
};

// Sums over the replies of the peers to one query.
struct failure_detector::peer_totals {
    std::size_t known = 0;
    std::size_t answered = 0;
    std::uint32_t requests = 0;
    std::uint32_t bad = 0;
    double slow_evidence = 0;
    double error_evidence = 0;
};

struct failure_detector::server_state {
    service_id service;
    backend_server_id server;
    time_point added;
    bool cold = false; // newly started; cleared by its first ordinary answer
    running_estimates estimates;
    std::vector<open_request> open;
    std::vector<sample> samples; // a ring once it is full
    std::size_t next_sample = 0;
    double slow_sum = 0;
    double error_sum = 0;

    verdict state = verdict::healthy;
    bool on_trial = false;
    std::uint32_t trial_successes = 0;
    time_point queried_at;
    std::uint64_t query_id = 0; // query about the present evidence; 0 if none was sent
    duration query_interval{};
    time_point below_threshold_at;

    bool is_cold(time_point now, const detector_options& options) const
    {
        return cold && now - added < options.cold_start_limit;
    }

    void add_sample(const sample& it)
    {
        if (samples.size() < max_samples) {
            samples.push_back(it);
            return;
        }
        samples[next_sample] = it;
        next_sample = (next_sample + 1) % max_samples;
    }

    // The n-th sample, oldest first.
    const sample& at(std::size_t n) const { return samples[(next_sample + n) % samples.size()]; }

    // Clears the error evidence or the slow evidence, after the peers have shown that the cause
    // lies in the service as a whole and not in this server.
    void discard_evidence(bool errors)
    {
        (errors ? error_sum : slow_sum) = 0;
        for (sample& s : samples) {
            if (s.error == errors)
                s.gain = 0;
        }
    }

    void reset_evidence()
    {
        samples.clear();
        next_sample = 0;
        slow_sum = 0;
        error_sum = 0;
        state = verdict::healthy;
        query_id = 0;
    }
};

struct failure_detector::service_state {
    struct peer {
        peer_statistics statistics;
        time_point received;
    };
    service_id service;
    std::vector<peer> peers;
    time_point queried_at; // last query for the long-run estimates of the peers
};

failure_detector::failure_detector(const detector_options& options) : options_(options)
{
    assert(options.slow_factor > 1 && options.slow_threshold > 0 && options.error_threshold > 0);
}

failure_detector::~failure_detector() = default;
failure_detector::failure_detector(failure_detector&&) noexcept = default;
failure_detector& failure_detector::operator=(failure_detector&&) noexcept = default;

failure_detector::server_state* failure_detector::find(backend_server_id server)
{
    const auto it = std::find_if(servers_.begin(), servers_.end(),
                                 [&](const server_state& s) { return s.server == server; });
    return it == servers_.end() ? nullptr : &*it;
}

const failure_detector::server_state* failure_detector::find(backend_server_id server) const
{
    return const_cast<failure_detector*>(this)->find(server);
}

failure_detector::service_state& failure_detector::service_of(service_id service)
{
    const auto it = std::find_if(services_.begin(), services_.end(),
                                 [&](const service_state& s) { return s.service == service; });
    if (it != services_.end())
        return *it;
    services_.push_back({.service = service, .peers = {}, .queried_at = {}});
    return services_.back();
}

bool failure_detector::add_server(service_id service, backend_server_id server, time_point now,
                                  bool cold)
{
    remove_server(server);
    if (servers_.size() == max_servers)
        return false;
    servers_.push_back({.service = service,
                        .server = server,
                        .added = now,
                        .cold = cold,
                        .estimates = {},
                        .open = {},
                        .samples = {},

                        .queried_at = now,
                        .below_threshold_at = now});
    service_of(service);
    return true;
}

void failure_detector::remove_server(backend_server_id server)
{
    std::erase_if(servers_, [&](const server_state& it) { return it.server == server; });
    std::erase_if(services_, [&](const service_state& service) {
        return std::none_of(servers_.begin(), servers_.end(),
                            [&](const server_state& it) { return it.service == service.service; });
    });
}

// The reference is the median over the estimates of the gate's own backend servers and those of its
// peers, so it describes a healthy server as long as fewer than half of them fail.
failure_detector::reference failure_detector::reference_of(service_id service) const
{
    constexpr std::uint64_t min_samples = 20;
    constexpr double max_error_share = 0.3;
    std::vector<double> medians;
    std::vector<double> scales;
    std::vector<double> errors;
    const auto add = [&](double median, double scale, double error_share, std::uint64_t samples) {
        if (samples < min_samples)
            return;
        medians.push_back(median);
        scales.push_back(scale);
        errors.push_back(error_share);
    };
    for (const server_state& it : servers_) {
        if (it.service == service)
            add(it.estimates.log_median, it.estimates.log_scale, it.estimates.error_share,
                it.estimates.samples);
    }
    for (const service_state& it : services_) {
        if (it.service != service)
            continue;
        for (const service_state::peer& p : it.peers)
            add(p.statistics.log_median, p.statistics.log_scale, p.statistics.error_share,
                p.statistics.samples);
    }
    reference out{.error_share = options_.min_error_share};
    if (medians.empty())
        return out;
    out.known = true;
    out.log_median = median_of(medians);
    out.log_scale = std::max(options_.min_log_scale, median_of(scales));
    out.error_share = std::clamp(median_of(errors), options_.min_error_share, max_error_share);
    return out;
}

// Returns the second highest value, or the only one. The evidence of the peers is subtracted from
// that against the suspected server; with the second highest value, one peer with failing servers
// does not hide the suspected server. Two such peers hide it, until other peers are queried.
static double second_highest(std::vector<double>& values)
{
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[std::min<std::size_t>(1, values.size() - 1)];
}

double failure_detector::open_evidence(const server_state& it, const reference& ref,
                                       time_point now) const
{
    constexpr double cold_factor = 8;
    double sum = 0;
    for (const open_request& request : it.open) {
        const double log_age =
            log_seconds(now - request.started) - (request.cold ? std::log(cold_factor) : 0);
        sum += std::max(0.0, ref.slow_step(log_age, options_));
    }
    return sum;
}

// The sums over finished requests plus the evidence of the open ones. The reason is the kind of
// evidence that is larger in relation to its threshold. `state` is the present verdict; the caller
// updates it.
assessment failure_detector::evidence(const server_state& it, const reference& ref,
                                      time_point now) const
{
    constexpr std::size_t recent = 16;
    assessment out;
    out.state = it.state;
    out.open_evidence = open_evidence(it, ref, now);
    out.slow_evidence = it.slow_sum + out.open_evidence;
    out.error_evidence = it.error_sum;
    const double slow = out.slow_evidence / options_.slow_threshold;
    const double errors = out.error_evidence / options_.error_threshold;
    if (std::max(slow, errors) >= options_.suspect_share)
        out.reason = errors >= slow                              ? failure_reason::errors
                     : out.open_evidence > out.slow_evidence / 2 ? failure_reason::hanging
                                                                 : failure_reason::slow;
    // The mean over the latest requests: 1000 for an error; 100 for each factor e of slowdown, up
    // to 500. A server with hanging requests has 1000 more.
    double harm = out.reason == failure_reason::hanging ? 1000 : 0;
    const std::size_t n = std::min(recent, it.samples.size());
    for (std::size_t k = it.samples.size() - n; k < it.samples.size(); ++k) {
        const sample& s = it.at(k);
        const double excess = s.timed && ref.known ? s.log_time - ref.log_median : 0;
        harm += (s.error ? 1000.0 : 100 * std::clamp(excess, 0.0, 5.0)) / static_cast<double>(n);
    }
    out.severity = static_cast<std::uint32_t>(harm);
    return out;
}

// Aggregates the replies of the peers to the present query about `it`.
failure_detector::peer_totals failure_detector::totals_of_peers(const server_state& it,
                                                                failure_reason reason) const
{
    const auto service = std::find_if(services_.begin(), services_.end(),
                                      [&](const auto& s) { return s.service == it.service; });
    assert(service != services_.end());
    peer_totals out{.known = service->peers.size()};
    std::vector<double> slow;
    std::vector<double> errors;
    for (const service_state::peer& p : service->peers) {
        if (it.query_id == 0 || p.statistics.query_id != it.query_id)
            continue;
        ++out.answered;
        slow.push_back(p.statistics.slow_evidence);
        errors.push_back(p.statistics.error_evidence);
        out.requests += p.statistics.recent_requests;
        out.bad += reason == failure_reason::errors ? p.statistics.recent_errors
                                                    : p.statistics.recent_slow;
    }
    if (out.answered > 0) {
        out.slow_evidence = second_highest(slow);
        out.error_evidence = second_highest(errors);
    }
    return out;
}

// Confirms the evidence only if the peers served normally in the same span: of at least
// `min_requests` requests started in it, at least two thirds were good; fewer requests suffice
// after `max_wait_for_requests`. If half or more were bad, and at least `min_requests`, the
// evidence is contradicted. The evidence of the peers against their own servers is subtracted,
// times `peer_weight`, because in a slowdown of the whole service the first gate to pass a
// threshold is always ahead of the others. Without replies from peers, no server is declared
// failing.
failure_detector::peer_comparison failure_detector::compare_with_peers(const server_state& it,
                                                                       const assessment& found,
                                                                       time_point now) const
{
    constexpr duration max_wait_for_requests = std::chrono::seconds(2);
    constexpr duration answer_wait = std::chrono::milliseconds(100);
    constexpr std::size_t sufficient_answers = 4;
    constexpr std::size_t min_peers = 2; // replies needed once `answer_wait` has passed
    constexpr std::uint32_t min_requests = 3;
    constexpr double peer_weight = 4;
    const peer_totals peers = totals_of_peers(it, found.reason);
    const bool answer_time_over = now - it.queried_at >= answer_wait;
    const std::size_t min_answers = std::clamp<std::size_t>(peers.known, 1, min_peers);
    if (peers.answered < (answer_time_over ? min_answers : sufficient_answers))
        return peer_comparison::unclear;
    if (peers.bad >= min_requests && 2 * peers.bad >= peers.requests)
        return peer_comparison::contradicted;
    const bool may_wait = now - it.below_threshold_at < max_wait_for_requests;
    if (3 * peers.bad > peers.requests || (peers.requests < min_requests && may_wait))
        return peer_comparison::unclear;
    const double slow_excess = found.slow_evidence - peer_weight * peers.slow_evidence;
    const double error_excess = found.error_evidence - peer_weight * peers.error_evidence;
    const bool exceeds_threshold =
        slow_excess >= options_.slow_threshold || error_excess >= options_.error_threshold;
    return exceeds_threshold ? peer_comparison::confirmed : peer_comparison::unclear;
}

// The span of request start times from the newest request with evidence back to the request at
// which the sum reaches three quarters of the present evidence. Peers are compared over this span:
// in a slowdown of the service it lies within the slowdown, regardless of the time before and
// after.
past_span failure_detector::span_of(const server_state& it, const assessment& found,
                                    const reference& ref, time_point now) const
{
    constexpr std::size_t recent = 24;
    constexpr double share = 0.75;
    constexpr duration margin = std::chrono::milliseconds(50); // added at the end of the span
    struct contribution {
        time_point started;
        double gain;
    };
    std::vector<contribution> parts;
    for (const open_request& request : it.open)
        parts.push_back(
            {request.started, ref.slow_step(log_seconds(now - request.started), options_)});
    const std::size_t n = std::min(recent, it.samples.size());
    for (std::size_t k = it.samples.size() - n; k < it.samples.size(); ++k)
        parts.push_back({it.at(k).started, it.at(k).gain});
    std::erase_if(parts, [](const contribution& part) { return part.gain <= 0; });
    if (parts.empty())
        return {.since = margin, .until = duration{}};
    std::sort(parts.begin(), parts.end(),
              [](const auto& a, const auto& b) { return a.started > b.started; });
    double remaining = share * std::max(found.slow_evidence, found.error_evidence);
    time_point onset = now;
    for (std::size_t k = 0; k < parts.size() && remaining > 0; ++k) {
        onset = parts[k].started;
        remaining -= parts[k].gain;
    }
    return {.since = now - onset,
            .until = std::max(duration{}, now - parts.front().started - margin)};
}

// Queries the peers once a threshold is passed, not earlier, so that their replies cover the span
// of this evidence. While the comparison is unclear the query is repeated, with exponential
// backoff.
void failure_detector::query_peers_if_due(server_state& it, const assessment& found, time_point now,
                                          detector_actions& out)
{
    constexpr duration first_interval = std::chrono::milliseconds(200);
    constexpr duration max_interval = std::chrono::milliseconds(800);
    const bool first = it.query_id == 0;
    if (!first && now - it.queried_at < it.query_interval)
        return;
    it.query_interval = first ? first_interval : std::min(max_interval, 2 * it.query_interval);
    it.queried_at = now;
    it.query_id = ++last_query_id_;
    const past_span span = span_of(it, found, reference_of(it.service), now);
    out.emplace_back(peer_query{it.service, it.query_id, span});
}

void failure_detector::update_trial(server_state& it, double share, detector_actions& out)
{
    constexpr double failing_share = 0.28; // share of a threshold at which the trial fails
    const bool failed = share >= failing_share;
    if (!failed && it.trial_successes < options_.trial_requests)
        return;
    it.on_trial = false;
    it.state = failed ? verdict::failing : verdict::healthy;
    out.emplace_back(trial_ended{it.service, it.server, !failed});
}

// A server is healthy below half a threshold, suspect above it, and failing when a threshold is
// passed and the peers confirm the evidence. A failing server becomes healthy again only below a
// quarter of the threshold (hysteresis).
void failure_detector::update_verdict(server_state& it, time_point now, detector_actions& out)
{
    constexpr double recovered_share = 0.25;
    if (it.open.empty() && it.slow_sum == 0 && it.error_sum == 0 && it.state == verdict::healthy &&
        !it.on_trial)
        return;
    assessment found = evidence(it, reference_of(it.service), now);
    const double share = std::max(found.slow_evidence / options_.slow_threshold,
                                  found.error_evidence / options_.error_threshold);
    if (it.on_trial)
        return update_trial(it, share, out);
    if (share < 1) {
        it.below_threshold_at = now;
        it.query_id = 0;
    }
    verdict next = it.state;
    bool query_due = false;
    if (share < options_.suspect_share) {
        if (it.state != verdict::failing || share < recovered_share)
            next = verdict::healthy;
    }
    else if (it.state != verdict::failing) {
        const peer_comparison peers =
            share >= 1 ? compare_with_peers(it, found, now) : peer_comparison::unclear;
        next = peers == peer_comparison::confirmed ? verdict::failing : verdict::suspect;
        query_due = share >= 1 && peers == peer_comparison::unclear;
        if (peers == peer_comparison::contradicted)
            it.discard_evidence(found.reason == failure_reason::errors);
    }
    if (next != it.state) {
        it.state = next;
        found.state = next;
        out.emplace_back(verdict_changed{it.service, it.server, found});
    }
    if (query_due)
        query_peers_if_due(it, found, now, out);
}

detector_actions failure_detector::step(const request_started& event, time_point now)
{
    server_state* it = find(event.server);
    if (it != nullptr && it->open.size() < max_open_requests)
        it->open.push_back({event.request, now, it->is_cold(now, options_)});
    return {};
}

// Adds one ended request to the sums. Outcomes that are not caused by the backend server are left
// out; a request that hit its deadline or was cancelled counts only if it was already overdue.
void failure_detector::add_outcome(server_state& it, request_outcome outcome, time_point started,
                                   bool started_cold, time_point now)
{
    constexpr double max_share = 1.3; // of a threshold; limits the recovery time
    const bool reported_cold =
        outcome == request_outcome::cold_start && now - it.added < options_.cold_start_limit;
    const bool cold = reported_cold || (started_cold && !is_error(outcome));
    it.cold = it.cold && outcome != request_outcome::ok;
    if (cold || is_neutral(outcome))
        return;
    const reference ref = reference_of(it.service);
    sample s{.log_time = log_seconds(now - started), .started = started};
    s.error = is_error(outcome);
    const double slow_step = ref.slow_step(s.log_time, options_);
    const double error_step = ref.error_step(s.error, options_);
    s.slow = !s.error && slow_step > 0;
    s.gain = std::max(s.error ? error_step : slow_step, 0.0);

    s.timed = !s.error;
    if (outcome == request_outcome::deadline_or_cancelled) {
        if (slow_step <= 0)
            return;
    }
    else {
        learn_error(it.estimates, s.error);
        const double sum = it.error_sum + error_step;
        it.error_sum = std::clamp(sum, 0.0, max_share * options_.error_threshold);
    }
    if (s.timed) {
        learn_time(it.estimates, s.log_time);
        it.slow_sum = std::clamp(it.slow_sum + slow_step, 0.0, max_share * options_.slow_threshold);
    }
    it.add_sample(s);
    if (it.on_trial && outcome == request_outcome::ok)
        ++it.trial_successes;
}

detector_actions failure_detector::step(const request_finished& event, time_point now)
{
    detector_actions out;
    for (server_state& it : servers_) {
        const auto request =
            std::find_if(it.open.begin(), it.open.end(),
                         [&](const open_request& r) { return r.request == event.request; });
        if (request == it.open.end())
            continue;
        const open_request ended = *request;
        it.open.erase(request);
        if (!event.suspected_poison)
            add_outcome(it, event.outcome, ended.started, ended.cold, now);
        update_verdict(it, now, out);
        break;
    }
    return out;
}

// A failing backend server may still pass its health check, so a passed check is no evidence. A
// failed check adds a small weight, up to a tenth of the error threshold.
detector_actions failure_detector::step(const health_reported& event, time_point now)
{
    constexpr double weight = 0.5;
    constexpr double max_share = 0.1;
    detector_actions out;
    server_state* it = find(event.server);
    if (it == nullptr || event.passed)
        return out;
    const double most = max_share * options_.error_threshold;
    it->error_sum = std::max(it->error_sum, std::min(most, it->error_sum + weight));
    update_verdict(*it, now, out);
    return out;
}

detector_actions failure_detector::step(const peer_statistics& event, time_point now)
{
    detector_actions out;
    const bool finite = std::isfinite(event.log_median) && std::isfinite(event.log_scale) &&
                        std::isfinite(event.error_share) && std::isfinite(event.slow_evidence) &&
                        std::isfinite(event.error_evidence);
    const bool ours = std::any_of(servers_.begin(), servers_.end(), [&](const server_state& it) {
        return it.service == event.service;
    });
    if (!finite || !ours)
        return out;
    std::vector<service_state::peer>& peers = service_of(event.service).peers;
    std::erase_if(peers, [&](const auto& it) { return it.statistics.gate == event.gate; });
    if (peers.size() == max_peers)
        peers.erase(std::min_element(peers.begin(), peers.end(), [](const auto& a, const auto& b) {
            return a.received < b.received;
        }));
    peers.push_back({event, now});
    for (server_state& it : servers_) {
        if (it.service == event.service)
            update_verdict(it, now, out);
    }
    return out;
}

// Queries the long-run estimates of the peers periodically, so that a gate with a single backend
// server has others to compare it with.
detector_actions failure_detector::tick(time_point now)
{
    constexpr duration refresh_interval = std::chrono::seconds(10);

    detector_actions out;
    for (service_state& it : services_) {
        if (now - it.queried_at < refresh_interval)
            continue;
        it.queried_at = now;
        out.emplace_back(
            peer_query{.service = it.service, .query_id = ++last_query_id_, .span = {}});
    }
    for (server_state& it : servers_)
        update_verdict(it, now, out);
    return out;
}

void failure_detector::begin_trial(backend_server_id server)
{
    server_state* it = find(server);
    if (it == nullptr)
        return;
    it->reset_evidence();
    it->open.clear();
    it->on_trial = true;
    it->trial_successes = 0;
}

bool failure_detector::admits(backend_server_id server, bool idempotent) const
{
    const server_state* it = find(server);
    return it == nullptr || !it->on_trial || (idempotent && it->open.empty());
}

assessment failure_detector::assess(backend_server_id server, time_point now) const
{
    const server_state* it = find(server);
    if (it == nullptr)
        return {};
    return evidence(*it, reference_of(it->service), now);
}

// Counts only requests started in the span: while a slowdown lasts, none of those started in it
// finishes in ordinary time, whereas older ones may still do so.
void failure_detector::count_recent(const server_state& it, const past_span& span,
                                    const reference& ref, time_point now,
                                    peer_statistics& out) const
{
    const auto in_span = [&](time_point started) {
        return now - started <= span.since && now - started >= span.until;
    };
    for (const sample& s : it.samples) {
        if (!in_span(s.started))
            continue;
        ++out.recent_requests;
        out.recent_slow += s.slow ? 1 : 0;
        out.recent_errors += s.error ? 1 : 0;
    }
    for (const open_request& request : it.open) {
        const double log_age = log_seconds(now - request.started);
        if (!in_span(request.started) || ref.slow_step(log_age, options_) <= 0)
            continue;
        ++out.recent_requests;
        ++out.recent_slow;
    }
}

// Service time and spread are medians over the gate's backend servers; the error share and the
// evidence are means.
peer_statistics failure_detector::service_statistics(const peer_query& query, vm_id self,
                                                     time_point now) const
{
    peer_statistics out{.service = query.service, .gate = self, .query_id = query.query_id};
    const reference ref = reference_of(query.service);
    std::vector<double> medians;
    std::vector<double> scales;
    for (const server_state& it : servers_) {
        if (it.service != query.service || it.on_trial)
            continue;
        medians.push_back(it.estimates.log_median);
        scales.push_back(it.estimates.log_scale);
        out.samples += it.estimates.samples;
        out.error_share += it.estimates.error_share;
        out.slow_evidence += it.slow_sum + open_evidence(it, ref, now);
        out.error_evidence += it.error_sum;
        count_recent(it, query.span, ref, now, out);
    }
    if (medians.empty())
        return out;
    const auto n = static_cast<double>(medians.size());
    out.log_median = median_of(medians);
    out.log_scale = median_of(scales);
    out.error_share /= n;
    out.slow_evidence /= n;
    out.error_evidence /= n;
    return out;
}

} // namespace jasminebank
