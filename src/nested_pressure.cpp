#include "nested_pressure.h"

namespace jasminebank {

// Bounds the memory of one server; a share of this many is exact enough.
constexpr std::size_t max_ended = 512;

nested_pressure::nested_pressure(const nested_pressure_options& options) : options_(options) {}

void nested_pressure::ended(bool refused, time_point now)
{
    while (!ended_.empty() &&
           (ended_.size() >= max_ended || now - ended_.front().at >= options_.window))
        ended_.pop_front();
    ended_.push_back({.at = now, .refused = refused});
}

double nested_pressure::refused_share(time_point now) const
{
    std::size_t recent = 0;
    std::size_t refused = 0;
    for (const ended_request& it : ended_) {
        if (now - it.at >= options_.window)
            continue;
        ++recent;
        refused += it.refused ? 1 : 0;
    }
    if (recent < options_.min_ended)
        return 0;
    return static_cast<double>(refused) / static_cast<double>(recent);
}

void nested_pressure::run_ended(route_id route, bool failed, time_point now)
{
    while (!runs_.empty() &&
           (runs_.size() >= max_ended || now - runs_.front().at >= 2 * options_.window))
        runs_.pop_front();
    runs_.push_back({.at = now, .route = route, .failed = failed});
}

bool nested_pressure::is_failing(route_id route, time_point now) const
{
    std::size_t recent = 0;
    std::size_t failed = 0;
    for (const ended_run& it : runs_) {
        if (it.route != route || now - it.at >= 2 * options_.window)
            continue;
        ++recent;
        failed += it.failed ? 1 : 0;
    }
    return failed > 0 &&
           static_cast<double>(failed) >= options_.failed_from * static_cast<double>(recent);
}

bool nested_pressure::holds(route_id route, time_point now) const
{
    return refused_share(now) >= options_.hold_from && is_failing(route, now);
}

bool nested_pressure::admits_new_work(route_id route, time_point now)
{
    if (!holds(route, now))
        return true;
    if (now - let_through_ < options_.let_through_interval)
        return false;
    let_through_ = now;
    return true;
}

} // namespace jasminebank
