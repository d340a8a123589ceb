#include "answer_estimate.h"

namespace jasminebank {

// Bounds of the two tables: routes and target latencies come from the operators' configuration.
constexpr std::size_t max_routes = 4096;
constexpr std::size_t max_targets = 64;
// Weight of a new sample in its moving average.
constexpr double latency_sample_weight = 0.05;
constexpr double size_sample_weight = 0.1;
// Before the first sample, the expected latency is the target latency divided by this.
constexpr double initial_latency_divisor = 4;

duration answer_estimate::expected_latency(duration target) const
{
    const auto it = latency_seconds_.find(target);
    const double out =
        it != latency_seconds_.end()
            ? it->second
            : std::chrono::duration<double>(target).count() / initial_latency_divisor;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(out));
}

duration answer_estimate::least_service_time(route_id route) const
{
    const auto it = least_service_seconds_.find(route);
    if (it == least_service_seconds_.end())
        return duration::zero();
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it->second));
}

// Moves the estimate of a quantile by a fixed share of itself: up by the quantile and down by the
// rest of one, so that it stays where that share of the samples is below it.
static void move_quantile(double& estimate, double sample)
{
    constexpr double quantile = 0.25;
    constexpr double step = 0.05;
    estimate *= sample < estimate ? 1 - step * (1 - quantile) : 1 + step * quantile;
}

void answer_estimate::add_service_time(route_id route, duration time)
{
    if (least_service_seconds_.size() >= max_routes && !least_service_seconds_.contains(route))
        return;
    const double sample = std::chrono::duration<double>(time).count();
    move_quantile(least_service_seconds_.try_emplace(route, sample).first->second, sample);
}

std::size_t answer_estimate::expected_bytes(route_id route) const
{
    const auto it = answer_bytes_.find(route);
    return it == answer_bytes_.end() ? 0 : static_cast<std::size_t>(it->second);
}

void answer_estimate::add_sample(route_id route, duration target, duration latency,
                                 std::size_t bytes)
{
    if (latency_seconds_.size() < max_targets || latency_seconds_.contains(target)) {
        const double expected = std::chrono::duration<double>(expected_latency(target)).count();
        const double sample = std::chrono::duration<double>(latency).count();
        latency_seconds_[target] = expected + latency_sample_weight * (sample - expected);
    }
    if (answer_bytes_.size() < max_routes || answer_bytes_.contains(route)) {
        double& expected_size =
            answer_bytes_.try_emplace(route, static_cast<double>(bytes)).first->second;
        expected_size += size_sample_weight * (static_cast<double>(bytes) - expected_size);
    }
}

} // namespace jasminebank
