#include "stall_watch.h"

#include <algorithm>
#include <cmath>

namespace jasminebank {

// Service times are learned for this many routes; for others the prior from the target is used.
constexpr std::size_t max_routes = 512;
// Maximum weight of the running estimates, so that older samples fade.
constexpr double max_samples = 200;
constexpr double min_spread = 0.25;

static double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

stall_watch::stall_watch(const stall_watch_options& options)
    : options_(options), odds_(options.prior_odds), trial_interval_(options.trial_interval)
{
}

stall_watch::service_times stall_watch::times_of(const open_request& it) const
{
    const auto found = times_.find(it.route);
    if (found != times_.end())
        return found->second;
    const duration known = it.target > duration::zero() ? it.target : options_.unknown_target;
    return {.mean = std::log(seconds(known) / options_.target_to_mean),
            .variance = options_.prior_spread * options_.prior_spread,
            .weight = options_.prior_samples};
}

void stall_watch::add_service_time(const open_request& request, duration service_time)
{
    if (times_.size() >= max_routes && !times_.contains(request.route))
        return;
    service_times it = times_of(request);
    const double value = std::log(std::max(seconds(service_time), 1e-4));
    it.weight = std::min(it.weight + 1, max_samples);
    const double delta = value - it.mean;
    it.mean += delta / it.weight;
    it.variance += (delta * (value - it.mean) - it.variance) / it.weight;
    times_[request.route] = it;
}

static double spread_of(double variance)
{
    return std::max(std::sqrt(variance), min_spread);
}

// Probability that a request to a healthy server is still open at this age, for log-normal service
// times.
double stall_watch::survival(const open_request& request, duration age) const
{
    if (age <= duration::zero())
        return 1;
    const service_times it = times_of(request);
    const double z = (std::log(seconds(age)) - it.mean) / spread_of(it.variance);
    return std::max(0.5 * std::erfc(z / std::sqrt(2.0)), options_.min_survival);
}

std::optional<duration> stall_watch::least_service_time(route_id route) const
{
    constexpr double min_weight = 20;
    constexpr double first_decile = -1.28; // of the standard normal distribution
    const auto found = times_.find(route);
    if (found == times_.end() || found->second.weight < min_weight)
        return std::nullopt;
    const service_times& it = found->second;
    const double least = std::exp(it.mean + first_decile * spread_of(it.variance));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(least));
}

// The odds from ended requests, decayed exponentially towards the prior odds.
double stall_watch::decayed_odds(time_point now) const
{
    const double decay = std::exp(-seconds(now - odds_at_) / seconds(options_.decay_time));
    return std::exp(decay * std::log(odds_) + (1 - decay) * std::log(options_.prior_odds));
}

void stall_watch::started(request_id request, route_id route, duration target, time_point now)
{
    open_.push_back({.request = request, .route = route, .target = target, .start = now});
}

void stall_watch::ended(request_id request, request_evidence evidence, time_point now)
{
    const auto it = std::find_if(open_.begin(), open_.end(),
                                 [&](const open_request& a) { return a.request == request; });
    if (it == open_.end())
        return;
    const open_request ended = *it;
    open_.erase(it);
    const double before = decayed_odds(now);
    constexpr double max_odds = 50;
    switch (evidence) {
    case request_evidence::answered:
        add_service_time(ended, now - ended.start);
        latest_answered_start_ = std::max(latest_answered_start_, ended.start);
        odds_ = std::max(options_.min_odds, before * (1 - options_.hang_share));
        odds_at_ = now;
        if (ended.start >= probation_since_ || suspicion(now) < options_.trusted_below)
            on_probation_ = false;
        break;
    case request_evidence::failed:
        odds_ = std::min(before * options_.error_factor, max_odds);
        break;
    case request_evidence::inconclusive:
        // The evidence of its age moves to the decaying odds.
        if (ended.start <= latest_answered_start_)
            return;
        odds_ = std::min(before / survival(ended, now - ended.start), max_odds);
        break;
    }
    odds_at_ = now;
}

// Open requests that started before an answered request are no evidence about the present state.
// The weight of each other one is the likelihood ratio of its age between a hanging and a healthy
// server; it decays with the time since the start.
double stall_watch::suspicion(time_point now) const
{
    double odds = decayed_odds(now);
    for (const open_request& it : open_) {
        if (it.start <= latest_answered_start_)
            continue;
        const duration age = now - it.start;
        const double healthy = survival(it, age);
        const double hanging = options_.hang_share + (1 - options_.hang_share) * healthy;
        const double decay = std::exp(-seconds(age) / seconds(options_.decay_time));
        odds *= std::exp(decay * std::log(hanging / healthy));
    }
    return odds / (1 + odds);
}

// A trial that is open for longer no longer blocks the next one.
constexpr duration max_trial_wait = std::chrono::milliseconds(1500);

bool stall_watch::has_open_trial(time_point now) const
{
    return std::any_of(open_.begin(), open_.end(), [&](const open_request& it) {
        return it.start >= probation_since_ && now - it.start < max_trial_wait;
    });
}

bool stall_watch::is_trial_due(time_point now) const
{
    return on_probation_ && now >= next_trial_ && !has_open_trial(now);
}

// Failures last some seconds, so the interval between unanswered trials grows.
bool stall_watch::admits(bool is_trial, time_point now)
{
    const double failure_probability = suspicion(now);
    if (!on_probation_ && failure_probability < options_.suspected_from)
        return true;
    if (!on_probation_) {
        on_probation_ = true;
        probation_since_ = now;
        trial_interval_ = options_.trial_interval;
        next_trial_ = now + trial_interval_;
        return false;
    }
    if (!is_trial_due(now) || (!is_trial && failure_probability >= options_.trusted_below))
        return false;
    trial_interval_ = std::min(trial_interval_ * 3 / 2, options_.max_trial_interval);
    next_trial_ = now + trial_interval_;
    return true;
}

} // namespace jasminebank
