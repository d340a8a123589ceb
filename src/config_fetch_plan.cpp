#include "config_fetch_plan.h"

#include <algorithm>

namespace jasminebank {

// Covers the reader of the own domain: its interval between two reads of the store, and the time
// for its news to spread. Well below the time within which a configuration has to be in force.
constexpr duration own_domain_wait = std::chrono::milliseconds(800);
// A fetch of a compressed configuration over a link without congestion takes less.
constexpr duration next_fetch_wait = std::chrono::milliseconds(300);
constexpr std::size_t max_fetches = 4;
// The link may be silent, so the first fetches are given up soon. After each that timed out the
// next may take longer, so that a text which arrives slowly is not requested again for ever.
constexpr duration first_timeout = std::chrono::milliseconds(700);
constexpr duration max_timeout = std::chrono::milliseconds(1400);
constexpr duration failed_peer_wait = std::chrono::milliseconds(500);
constexpr std::size_t max_sources = 32;
// Above the time between two heartbeats from any of several peers.
constexpr duration news_lifetime = std::chrono::seconds(2);

config_fetch_plan::config_fetch_plan() : timeout_(first_timeout) {}

void config_fetch_plan::hear(const config_news& it, time_point now)
{
    if (it.generation <= in_force_)
        return;
    if (!behind_since_)
        behind_since_ = now;
    last_told_ = now;
    const auto known = std::find_if(sources_.begin(), sources_.end(),
                                    [&](const source& s) { return s.news.peer == it.peer; });
    if (known != sources_.end()) {
        known->news.generation = std::max(known->news.generation, it.generation);
        known->news.is_preferred = it.is_preferred;
        known->is_told = true;
    }
    else {
        const auto silent = std::find_if(sources_.begin(), sources_.end(),
                                         [](const source& s) { return !s.is_told; });
        if (sources_.size() >= max_sources && silent != sources_.end())
            sources_.erase(silent);
        if (sources_.size() < max_sources)
            sources_.push_back({.news = it});
    }
}

std::optional<duration> config_fetch_plan::behind_for(time_point now) const
{
    if (!behind_since_ || now - last_told_ > news_lifetime)
        return std::nullopt;
    return now - *behind_since_;
}

bool config_fetch_plan::is_due(const source& it, time_point now) const
{
    if (it.fetched_at || !it.is_told || now < it.not_before || it.news.generation <= in_force_)
        return false;
    return it.news.is_preferred || in_force_ == 0 || now - *behind_since_ >= own_domain_wait;
}

std::optional<config_fetch> config_fetch_plan::next(time_point now)
{
    std::size_t pending = 0;
    bool is_late = true;
    for (const source& it : sources_) {
        if (!it.fetched_at)
            continue;
        ++pending;
        is_late &= now - *it.fetched_at >= next_fetch_wait;
    }
    if (!behind_since_ || pending >= max_fetches || !is_late)
        return std::nullopt;
    const auto best = std::find_if(sources_.begin(), sources_.end(),
                                   [&](const source& it) { return is_due(it, now); });
    if (best == sources_.end())
        return std::nullopt;
    best->fetched_at = now;
    return config_fetch{.peer = best->news.peer,
                        .generation = best->news.generation,
                        .known_since = *behind_since_,
                        .timeout = timeout_};
}

void config_fetch_plan::ended(const endpoint& peer, bool succeeded, time_point now)
{
    const auto it = std::find_if(sources_.begin(), sources_.end(),
                                 [&](const source& s) { return s.news.peer == peer; });
    if (it == sources_.end())
        return;
    const time_point started = it->fetched_at.value_or(now);
    it->fetched_at.reset();
    if (succeeded)
        return;
    if (now - started >= timeout_)
        timeout_ = std::min(timeout_ * 2, max_timeout);
    it->not_before = now + failed_peer_wait;
    it->is_told = false;
    std::rotate(it, it + 1, sources_.end()); // others come first
}

// Sources of a newer generation than this one are kept: it may have been replaced meanwhile.
void config_fetch_plan::set_in_force(std::uint64_t generation, time_point now)
{
    in_force_ = std::max(in_force_, generation);
    std::erase_if(sources_, [&](const source& it) {
        return it.news.generation <= in_force_ && !it.fetched_at;
    });
    const bool is_behind = std::any_of(sources_.begin(), sources_.end(), [&](const source& it) {
        return it.news.generation > in_force_;
    });
    behind_since_ = is_behind ? std::optional(now) : std::nullopt;
    timeout_ = first_timeout;
}

} // namespace jasminebank
