#include "answer_estimate.h"

namespace jasminebank {

// What is remembered is bounded; routes and targets come from the operators' configuration.
constexpr std::size_t most_routes = 4096;
constexpr std::size_t most_targets = 64;
constexpr double time_weight = 0.05; // of one sample
constexpr double bytes_weight = 0.1;
// Before there is a sample, a target is taken for this many times the usual time.
constexpr double target_to_usual = 4;

duration answer_estimate::usual_time(duration target) const
{
    const auto it = seconds_.find(target);
    const double out = it != seconds_.end()
                           ? it->second
                           : std::chrono::duration<double>(target).count() / target_to_usual;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(out));
}

std::size_t answer_estimate::usual_bytes(route_id route) const
{
    const auto it = bytes_.find(route);
    return it == bytes_.end() ? 0 : static_cast<std::size_t>(it->second);
}

void answer_estimate::learn(route_id route, duration target, duration took, std::size_t bytes)
{
    if (seconds_.size() < most_targets || seconds_.contains(target)) {
        const double usual = std::chrono::duration<double>(usual_time(target)).count();
        const double sample = std::chrono::duration<double>(took).count();
        seconds_[target] = usual + time_weight * (sample - usual);
    }
    if (bytes_.size() < most_routes || bytes_.contains(route)) {
        double& known = bytes_.try_emplace(route, static_cast<double>(bytes)).first->second;
        known += bytes_weight * (static_cast<double>(bytes) - known);
    }
}

} // namespace jasminebank
