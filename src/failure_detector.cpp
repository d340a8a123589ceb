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

// One finished request. Samples without a usable time carry only their error flag.
struct sample {
    double log_time = 0;
    bool timed = false;
    bool error = false;
    bool slow = false;
    double gain = 0; // what it adds to the present evidence, in nats
    time_point started;
};

struct open_request {
    request_id request;
    time_point started;
    bool cold = false; // started while the backend server was warming up
};

// Robust running estimates of ln(service time) and of the error share.
struct running_figures {
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

// Moves the estimates towards one sample. Each step is clipped to two spreads, so that a few
// outliers or a short failure leave them nearly where they were.
void learn_time(running_figures& it, double log_time)
{
    constexpr std::uint64_t averaged_samples = 500;
    ++it.samples;
    if (it.samples == 1) {
        it.log_median = log_time;
        return;
    }
    const double rate = 1.0 / static_cast<double>(std::min(it.samples, averaged_samples));
    const double gap = log_time - it.log_median;
    constexpr double sigma_of_mean_deviation = 1.2533;
    const double spread = sigma_of_mean_deviation * std::min(std::abs(gap), 3 * it.log_scale);
    it.log_median += rate * std::clamp(gap, -2 * it.log_scale, 2 * it.log_scale);
    it.log_scale = std::max(0.05, it.log_scale + rate * (spread - it.log_scale));
}

void learn_error(running_figures& it, bool error)
{
    constexpr double rate = 1.0 / 4000;
    it.error_share += rate * ((error ? 1.0 : 0.0) - it.error_share);
}

bool is_error(request_outcome it)
{
    return it == request_outcome::error_status || it == request_outcome::bad_length ||
           it == request_outcome::connection_refused;
}

bool is_no_evidence(request_outcome it)
{
    return it == request_outcome::shed || it == request_outcome::draining ||
           it == request_outcome::link_fault;
}

} // namespace

/// What a healthy backend server of a service looks like.
struct failure_detector::reference {
    double log_median = 0;
    double log_scale = 0.4;
    double error_share = 0;
    bool known = false;

    // Evidence that one service time gives for a slowdown, in nats.
    double slow_step(double log_time, const detector_options& options) const
    {
        constexpr double most_credit = 2;
        if (!known)
            return 0;
        const double shift = std::log(options.slow_factor);
        const double raw = shift / (log_scale * log_scale) * (log_time - log_median - shift / 2);
        return std::clamp(raw, -most_credit, options.slow_request_limit);
    }

    // Evidence that one answer gives for a raised error share, in nats. Where the whole service
    // errs, an error says nothing.
    double error_step(bool error, const detector_options& options) const
    {
        constexpr double telling_share = 0.3;
        if (error_share >= telling_share)
            return 0;
        const double bad = std::max(options.failing_error_share, 2 * error_share);
        if (error)
            return std::min(options.error_limit, std::log(bad / error_share));
        return std::log((1 - bad) / (1 - error_share));
    }
};

// The answers of peers to one question.
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
    bool cold = false; // announced as new; until its first ordinary answer
    running_figures figures;
    std::vector<open_request> open;
    std::vector<sample> samples; // a ring once it is full
    std::size_t next_sample = 0;
    double slow_sum = 0;
    double error_sum = 0;

    verdict state = verdict::healthy;
    bool on_trial = false;
    std::uint32_t trial_passed = 0;
    time_point asked;
    std::uint64_t question = 0; // about the present evidence; 0 when none was asked
    duration ask_interval{};
    time_point first_crossed;

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

    // The evidence belongs to the service as a whole, not to this server.
    void explain_away(bool errors)
    {
        (errors ? error_sum : slow_sum) = 0;
        for (sample& s : samples) {
            if (s.error == errors)
                s.gain = 0;
        }
    }

    void forget_evidence()
    {
        samples.clear();
        next_sample = 0;
        slow_sum = 0;
        error_sum = 0;
        state = verdict::healthy;
        question = 0;
    }
};

struct failure_detector::service_state {
    struct peer {
        peer_reference figures;
        time_point received;
    };
    service_id service;
    std::vector<peer> peers;
    time_point refreshed; // when peers were last asked for their long-run figures
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
    services_.push_back({.service = service, .peers = {}, .refreshed = {}});
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
                        .figures = {},
                        .open = {},
                        .samples = {},

                        .asked = now,
                        .first_crossed = now});
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

// The reference is the median over the gate's own backend servers and the figures of its peers:
// as long as fewer than half are ill, it stays where the healthy ones are.
failure_detector::reference failure_detector::reference_of(service_id service) const
{
    constexpr std::uint64_t least_samples = 20;
    constexpr double most_error_share = 0.3;
    std::vector<double> medians;
    std::vector<double> scales;
    std::vector<double> errors;
    const auto add = [&](double median, double scale, double error_share, std::uint64_t samples) {
        if (samples < least_samples)
            return;
        medians.push_back(median);
        scales.push_back(scale);
        errors.push_back(error_share);
    };
    for (const server_state& it : servers_) {
        if (it.service == service)
            add(it.figures.log_median, it.figures.log_scale, it.figures.error_share,
                it.figures.samples);
    }
    for (const service_state& it : services_) {
        if (it.service != service)
            continue;
        for (const service_state::peer& p : it.peers)
            add(p.figures.log_median, p.figures.log_scale, p.figures.error_share,
                p.figures.samples);
    }
    reference out{.error_share = options_.least_error_share};
    if (medians.empty())
        return out;
    out.known = true;
    out.log_median = median_of(medians);
    out.log_scale = std::max(options_.least_log_scale, median_of(scales));
    out.error_share = std::clamp(median_of(errors), options_.least_error_share, most_error_share);
    return out;
}

// The second highest, if there are two: one peer that fails itself does not excuse this one, two do
// for the moment; the next question goes to others.
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

// Sums kept while requests finish, plus the requests still open. The reason is the larger share of
// its threshold; `state` is left to the caller.
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

// Adds up what the peers answered to the present question about `it`.
failure_detector::peer_totals failure_detector::totals_of_peers(const server_state& it,
                                                                failure_reason reason) const
{
    const auto service = std::find_if(services_.begin(), services_.end(),
                                      [&](const auto& s) { return s.service == it.service; });
    assert(service != services_.end());
    peer_totals out{.known = service->peers.size()};
    std::vector<double> slow;
    std::vector<double> wrong;
    for (const service_state::peer& p : service->peers) {
        if (it.question == 0 || p.figures.question != it.question)
            continue;
        ++out.answered;
        slow.push_back(p.figures.slow_evidence);
        wrong.push_back(p.figures.error_evidence);
        out.requests += p.figures.recent_requests;
        out.bad +=
            reason == failure_reason::errors ? p.figures.recent_errors : p.figures.recent_slow;
    }
    if (out.answered > 0) {
        out.slow_evidence = second_highest(slow);
        out.error_evidence = second_highest(wrong);
    }
    return out;
}

// Peers have to show that they served normally while the evidence arose: of the requests that they
// started then, at least three, two thirds were well. Half of them as bad contradicts. Their own
// evidence is taken off, weighted, since the first to pass a threshold is always ahead of the
// others. A gate that hears no peer may not call its backend server failing.
failure_detector::peer_answer failure_detector::compare_with_peers(const server_state& it,
                                                                   const assessment& found,
                                                                   time_point now) const
{
    constexpr duration patience = std::chrono::seconds(2);
    constexpr duration answer_time = std::chrono::milliseconds(100);
    constexpr std::size_t enough_peers = 4;
    constexpr std::size_t least_peers = 2;
    constexpr std::uint32_t least_requests = 3;
    constexpr double peer_weight = 4;
    const peer_totals peers = totals_of_peers(it, found.reason);
    const bool all_in = now - it.asked >= answer_time;
    const std::size_t few = std::clamp<std::size_t>(peers.known, 1, least_peers);
    if (peers.answered < (all_in ? few : enough_peers))
        return peer_answer::unclear;
    if (peers.bad >= least_requests && 2 * peers.bad >= peers.requests)
        return peer_answer::contradicted;
    const bool patient = now - it.first_crossed < patience;
    if (3 * peers.bad > peers.requests || (peers.requests < least_requests && patient))
        return peer_answer::unclear;
    const double slow_left = found.slow_evidence - peer_weight * peers.slow_evidence;
    const double wrong_left = found.error_evidence - peer_weight * peers.error_evidence;
    const bool holds =
        slow_left >= options_.slow_threshold || wrong_left >= options_.error_threshold;
    return holds ? peer_answer::confirmed : peer_answer::unclear;
}

// When the younger three quarters of the present evidence arose, by the start of the requests.
// Peers are compared over that time: in a slowdown of the service it lies in the slowdown, whatever
// came before or after.
past_span failure_detector::span_of(const server_state& it, const assessment& found,
                                    const reference& ref, time_point now) const
{
    constexpr std::size_t recent = 24;
    constexpr double share = 0.75;
    constexpr duration margin = std::chrono::milliseconds(50);
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
    double left = share * std::max(found.slow_evidence, found.error_evidence);
    time_point onset = now;
    for (std::size_t k = 0; k < parts.size() && left > 0; ++k) {
        onset = parts[k].started;
        left -= parts[k].gain;
    }
    return {.since = now - onset,
            .until = std::max(duration{}, now - parts.front().started - margin)};
}

// Peers are asked as soon as a threshold is passed, not before, so that their answers are about
// this evidence; then less and less often while they leave it unclear.
void failure_detector::ask_if_due(server_state& it, const assessment& found, time_point now,
                                  detector_actions& out)
{
    constexpr duration first_interval = std::chrono::milliseconds(200);
    constexpr duration longest_interval = std::chrono::milliseconds(800);
    const bool first = it.question == 0;
    if (!first && now - it.asked < it.ask_interval)
        return;
    it.ask_interval = first ? first_interval : std::min(longest_interval, 2 * it.ask_interval);
    it.asked = now;
    it.question = ++questions_;
    const past_span span = span_of(it, found, reference_of(it.service), now);
    out.emplace_back(ask_peers{it.service, it.question, span});
}

void failure_detector::judge_trial(server_state& it, double share, detector_actions& out)
{
    constexpr double failing_share = 0.28;
    const bool failed = share >= failing_share;
    if (!failed && it.trial_passed < options_.trial_requests)
        return;
    it.on_trial = false;
    it.state = failed ? verdict::failing : verdict::healthy;
    out.emplace_back(trial_ended{it.service, it.server, !failed});
}

// Healthy below half a threshold, suspect above, failing when a threshold is passed and the peers
// of the same seconds do not explain it. A failing one must fall to a quarter to be healthy again.
void failure_detector::judge(server_state& it, time_point now, detector_actions& out)
{
    constexpr double recovered_share = 0.25;
    if (it.open.empty() && it.slow_sum == 0 && it.error_sum == 0 && it.state == verdict::healthy &&
        !it.on_trial)
        return;
    assessment found = evidence(it, reference_of(it.service), now);
    const double share = std::max(found.slow_evidence / options_.slow_threshold,
                                  found.error_evidence / options_.error_threshold);
    if (it.on_trial)
        return judge_trial(it, share, out);
    if (share < 1) {
        it.first_crossed = now;
        it.question = 0;
    }
    verdict next = it.state;
    bool ask = false;
    if (share < options_.suspect_share) {
        if (it.state != verdict::failing || share < recovered_share)
            next = verdict::healthy;
    }
    else if (it.state != verdict::failing) {
        const peer_answer peers =
            share >= 1 ? compare_with_peers(it, found, now) : peer_answer::unclear;
        next = peers == peer_answer::confirmed ? verdict::failing : verdict::suspect;
        ask = share >= 1 && peers == peer_answer::unclear;
        if (peers == peer_answer::contradicted)
            it.explain_away(found.reason == failure_reason::errors);
    }
    if (next != it.state) {
        it.state = next;
        found.state = next;
        out.emplace_back(verdict_changed{it.service, it.server, found});
    }
    if (ask)
        ask_if_due(it, found, now, out);
}

detector_actions failure_detector::step(const request_started& event, time_point now)
{
    server_state* it = find(event.server);
    if (it != nullptr && it->open.size() < max_open_requests)
        it->open.push_back({event.request, now, it->is_cold(now, options_)});
    return {};
}

// Takes one ended request into the sums. What says nothing about the backend server is left out; a
// request that its caller cut counts only if it was overdue by then.
void failure_detector::record(server_state& it, request_outcome outcome, time_point started,
                              bool started_cold, time_point now)
{
    constexpr double most_share = 1.3; // of a threshold; bounds the time to recover
    const bool told =
        outcome == request_outcome::cold_start && now - it.added < options_.cold_start_limit;
    const bool cold = told || (started_cold && !is_error(outcome));
    it.cold = it.cold && outcome != request_outcome::ok;
    if (cold || is_no_evidence(outcome))
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
        learn_error(it.figures, s.error);
        const double sum = it.error_sum + error_step;
        it.error_sum = std::clamp(sum, 0.0, most_share * options_.error_threshold);
    }
    if (s.timed) {
        learn_time(it.figures, s.log_time);
        it.slow_sum =
            std::clamp(it.slow_sum + slow_step, 0.0, most_share * options_.slow_threshold);
    }
    it.add_sample(s);
    if (it.on_trial && outcome == request_outcome::ok)
        ++it.trial_passed;
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
            record(it, event.outcome, ended.started, ended.cold, now);
        judge(it, now, out);
        break;
    }
    return out;
}

// A health endpoint may be green on an ill backend server, so green proves nothing; red adds a
// little, and at most to a tenth of the threshold.
detector_actions failure_detector::step(const health_reported& event, time_point now)
{
    constexpr double weight = 0.5;
    constexpr double most_share = 0.1;
    detector_actions out;
    server_state* it = find(event.server);
    if (it == nullptr || event.green)
        return out;
    const double most = most_share * options_.error_threshold;
    it->error_sum = std::max(it->error_sum, std::min(most, it->error_sum + weight));
    judge(*it, now, out);
    return out;
}

detector_actions failure_detector::step(const peer_reference& event, time_point now)
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
    std::erase_if(peers, [&](const auto& it) { return it.figures.gate == event.gate; });
    if (peers.size() == max_peers)
        peers.erase(std::min_element(peers.begin(), peers.end(), [](const auto& a, const auto& b) {
            return a.received < b.received;
        }));
    peers.push_back({event, now});
    for (server_state& it : servers_) {
        if (it.service == event.service)
            judge(it, now, out);
    }
    return out;
}

// Long-run figures of peers are asked for now and then, so that a gate with one backend server does
// not compare it with itself alone.
detector_actions failure_detector::tick(time_point now)
{
    constexpr duration refresh_interval = std::chrono::seconds(10);

    detector_actions out;
    for (service_state& it : services_) {
        if (now - it.refreshed < refresh_interval)
            continue;
        it.refreshed = now;
        out.emplace_back(ask_peers{.service = it.service, .question = ++questions_, .span = {}});
    }
    for (server_state& it : servers_)
        judge(it, now, out);
    return out;
}

void failure_detector::begin_trial(backend_server_id server)
{
    server_state* it = find(server);
    if (it == nullptr)
        return;
    it->forget_evidence();
    it->open.clear();
    it->on_trial = true;
    it->trial_passed = 0;
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

// Only requests started in the span count: in a slowdown that is younger, none of them finishes in
// ordinary time, however many older ones still do.
void failure_detector::count_recent(const server_state& it, const past_span& span,
                                    const reference& ref, time_point now, peer_reference& out) const
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

// Long-run figures are medians, and evidence is a mean, over the gate's backend servers.
peer_reference failure_detector::figures(const ask_peers& asked, vm_id self, time_point now) const
{
    peer_reference out{.service = asked.service, .gate = self, .question = asked.question};
    const reference ref = reference_of(asked.service);
    std::vector<double> medians;
    std::vector<double> scales;
    for (const server_state& it : servers_) {
        if (it.service != asked.service || it.on_trial)
            continue;
        medians.push_back(it.figures.log_median);
        scales.push_back(it.figures.log_scale);
        out.samples += it.figures.samples;
        out.error_share += it.figures.error_share;
        out.slow_evidence += it.slow_sum + open_evidence(it, ref, now);
        out.error_evidence += it.error_sum;
        count_recent(it, asked.span, ref, now, out);
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
