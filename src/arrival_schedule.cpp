#include "arrival_schedule.h"

#include <algorithm>

namespace jasminebank {

arrival_schedule::arrival_schedule(const std::vector<arrival_rate>& rates, duration run_time,
                                   std::uint64_t seed)
    : run_time_(run_time)
{
    for (const arrival_rate& it : rates) {
        sources_.push_back({.rate = it, .random = std::mt19937_64(mix(seed, sources_.size()))});
        draw_next_arrival(sources_.back());
    }
}

bool arrival_schedule::is_burst(duration at) const
{
    return at >= run_time_ / 3 && at < run_time_ / 3 * 2;
}

// Thinning: candidate arrivals are drawn at the burst rate; outside the burst, each is kept with
// probability 1 / burst_factor. The result is an exact Poisson process at both rates.
void arrival_schedule::draw_next_arrival(source& it) const
{
    const double highest = it.rate.per_second * it.rate.burst_factor;
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> kept(0, 1);
    do {
        it.next +=
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(it.random)));
    } while (it.next < run_time_ && kept(it.random) * it.rate.burst_factor >=
                                        (is_burst(it.next) ? it.rate.burst_factor : 1.0));
}

std::optional<arrival> arrival_schedule::next()
{
    const auto first =
        std::min_element(sources_.begin(), sources_.end(),
                         [](const source& a, const source& b) { return a.next < b.next; });
    if (first == sources_.end() || first->next >= run_time_)
        return std::nullopt;
    const arrival out{.at = first->next,
                      .organisation = static_cast<std::size_t>(first - sources_.begin()),
                      .number = count_++};
    draw_next_arrival(*first);
    return out;
}

} // namespace jasminebank
