#include "crossing_policy.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace jasminebank {

namespace {

constexpr double bytes_per_mb = 1e6;
// Services that are remembered; their names come from the operators' configuration.
constexpr std::size_t max_departures = 4096;
// A smaller round trip is taken over at once, larger ones raise the estimate by this share each.
// The smallest recent value excludes delays of busy nodes and the time to open a link.
constexpr double round_trip_growth = 0.05;
// What a request and its response take on the link apart from their bodies.
constexpr std::size_t head_bytes = 1024;

std::size_t index_of(crossing_reach it)
{
    return static_cast<std::size_t>(it);
}

micro_tokens tokens_of(double bytes)
{
    return static_cast<micro_tokens>(bytes * static_cast<double>(one_token));
}

} // namespace

std::string_view name_of(crossing_reach it)
{
    constexpr std::array<std::string_view, crossing_reaches> names{"own_domain", "own_region",
                                                                   "other_region"};
    return names.at(index_of(it));
}

crossing_policy::crossing_policy(const crossing_options& options) : options_(options) {}

// The bucket starts empty: an earlier run of this node may just have used its share.
void crossing_policy::set_region_nodes(std::size_t count, time_point now)
{
    if (options_.region_link <= 0)
        return;
    const double rate = options_.region_link / static_cast<double>(std::max<std::size_t>(count, 1));
    const double burst = rate * std::chrono::duration<double>(options_.link_burst).count();
    const rate_part part{.rate = tokens_of(rate), .burst = tokens_of(burst)};
    if (!link_)
        link_.emplace(part, now);
    else if (part != link_->part())
        link_->set_part(part, now);
}

void crossing_policy::add_round_trip(crossing_reach reach, duration it)
{
    duration& known = round_trips_[index_of(reach)];
    if (known == duration::zero() || it < known)
        known = it;
    else
        known += std::chrono::duration_cast<duration>(round_trip_growth * (it - known));
}

double crossing_policy::price(crossing_reach reach, std::size_t bytes) const
{
    const double megabytes = static_cast<double>(bytes) / bytes_per_mb;
    double out = 0;
    if (reach != crossing_reach::own_domain)
        out += options_.other_domain_penalty + options_.other_domain_penalty_per_mb * megabytes;
    if (reach == crossing_reach::other_region)
        out += options_.other_region_penalty + options_.other_region_penalty_per_mb * megabytes;
    return out;
}

duration crossing_policy::finish_time(const crossing_request& it, crossing_reach reach) const
{
    const double wait = it.best[index_of(reach)]->wait;
    return round_trips_[index_of(reach)] +
           std::chrono::duration_cast<duration>((wait + 1) * it.service_time);
}

// A backend server that does not exist answers nothing in time.
bool crossing_policy::is_late(const crossing_request& it, crossing_reach reach) const
{
    if (!it.best[index_of(reach)])
        return true;
    const duration limit =
        it.target > duration::zero() ? std::min(it.target, it.time_left) : it.time_left;
    return finish_time(it, reach) > limit;
}

double crossing_policy::threshold_factor(service_id service) const
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t step = mix(options_.self.value, service.value) % steps;
    return 1 + options_.threshold_spread * static_cast<double>(step) / steps;
}

// By how much earlier the response of `far` is expected, in service times.
double crossing_policy::gain(const crossing_request& it, crossing_reach near,
                             crossing_reach far) const
{
    constexpr double min_unit = 1e-6; // seconds
    if (!it.best[index_of(near)])
        return std::numeric_limits<double>::infinity();
    const double unit = std::chrono::duration<double>(it.service_time).count();
    const duration earlier = finish_time(it, near) - finish_time(it, far);
    return std::chrono::duration<double>(earlier).count() / std::max(unit, min_unit);
}

// Leaving stays the choice while it is better with the margin, and ends when it has not been for
// `return_after`, so that the waits of single requests do not move a service back and forth.
bool crossing_policy::pays(const crossing_request& it, crossing_reach near, crossing_reach far,
                           time_point now)
{
    const std::pair key{it.service, far};
    if (departures_.size() >= max_departures && !departures_.contains(key))
        return false;
    departure& state = departures_[key];
    const double earlier = gain(it, near, far);
    const double threshold =
        (price(far, it.bytes) - price(near, it.bytes)) * threshold_factor(it.service);
    const bool is_rescue = is_late(it, near) && !is_late(it, far);
    const bool is_better = earlier > threshold || is_rescue;
    // The margin never keeps a service away that would be answered earlier near by.
    const bool is_still_better =
        is_better || earlier > std::max(0.0, threshold - options_.return_margin);
    if (is_better && !state.is_away) {
        state.is_away = true;
        changes_.push_back({.service = it.service, .reach = far, .starts = true});
    }
    if (state.is_away && is_still_better)
        state.last_paid = now;
    if (state.is_away && now - state.last_paid >= options_.return_after) {
        state.is_away = false;
        changes_.push_back({.service = it.service, .reach = far, .starts = false});
    }
    return state.is_away && is_still_better;
}

// The debt is paid first, so that the sum of all bytes stays within the share.
void crossing_policy::pay_debt(time_point now)
{
    link_->accrue(now);
    const micro_tokens paid = std::min(debt_, link_->tokens());
    link_->issue(paid);
    link_->remove_outstanding(paid, now);
    debt_ -= paid;
}

bool crossing_policy::may_use_link(const crossing_request& it, crossing_reach near, time_point now)
{
    if (options_.region_link <= 0)
        return true;
    if (!link_)
        return false;
    pay_debt(now);
    const micro_tokens needed = tokens_of(static_cast<double>(it.bytes + head_bytes));
    const auto scarce =
        static_cast<micro_tokens>(options_.scarce_share * static_cast<double>(link_->part().burst));
    // A request of more bytes than can be saved up may leave with a full bucket; the rest is a
    // debt.
    const bool is_full = debt_ == 0 && link_->tokens() >= link_->part().burst;
    const bool is_scarce = link_->tokens() - needed < scarce;
    const bool has_capacity = needed <= link_->tokens() && (!is_scarce || is_late(it, near));
    if (!has_capacity && !is_full) {
        ++counts_.denied;
        return false;
    }
    const micro_tokens taken = std::min(needed, link_->tokens());
    link_->issue(taken);
    link_->remove_outstanding(taken, now);
    debt_ += needed - taken;
    return true;
}

void crossing_policy::settle(std::size_t expected_bytes, std::size_t bytes, time_point now)
{
    if (!link_)
        return;
    link_->accrue(now);
    if (bytes > expected_bytes)
        debt_ += tokens_of(static_cast<double>(bytes - expected_bytes));
    else
        link_->add_capped(tokens_of(static_cast<double>(expected_bytes - bytes)));
}

std::optional<std::size_t> crossing_policy::link_bytes(time_point now)
{
    if (!link_)
        return std::nullopt;
    pay_debt(now);
    return static_cast<std::size_t>(link_->tokens() / one_token);
}

std::optional<crossing_reach> crossing_policy::count(crossing_reach reach, std::size_t bytes)
{
    ++counts_.requests[index_of(reach)];
    counts_.bytes[index_of(reach)] += bytes;
    return reach;
}

// A server near by is never left for one where the request could only wait.
crossing_reach crossing_policy::nearest(const crossing_request& it, time_point now)
{
    using enum crossing_reach;
    const auto& domain = it.best[index_of(own_domain)];
    const auto& region = it.best[index_of(own_region)];
    if (!domain || !region)
        return domain ? own_domain : own_region;
    if (domain->is_offered && !region->is_offered)
        return own_domain;
    return pays(it, own_domain, own_region, now) ? own_region : own_domain;
}

std::optional<crossing_reach> crossing_policy::decide(const crossing_request& it, time_point now)
{
    const crossing_reach near = nearest(it, now);
    const auto& stay = it.best[index_of(near)];
    const auto& other = it.best[index_of(crossing_reach::other_region)];
    if (other && other->is_offered && pays(it, near, crossing_reach::other_region, now) &&
        may_use_link(it, near, now))
        return count(crossing_reach::other_region, it.bytes);
    if (!stay || !stay->is_offered)
        return std::nullopt;
    return count(near, it.bytes);
}

std::string crossing_text(const crossing_counts& counts, std::optional<std::size_t> link_bytes)
{
    std::string out;
    const auto add = [&out](std::string_view name, const auto& values) {
        out += fmt::format("# TYPE jasminebank_{} counter\n", name);
        for (std::size_t n = 0; n < crossing_reaches; ++n)
            out += fmt::format("jasminebank_{}{{reach=\"{}\"}} {}\n", name,
                               name_of(static_cast<crossing_reach>(n)), values[n]);
    };
    add("routed_requests_total", counts.requests);
    add("routed_bytes_total", counts.bytes);
    out += fmt::format("# TYPE jasminebank_region_link_denied_total counter\n"
                       "jasminebank_region_link_denied_total {}\n",
                       counts.denied);
    if (link_bytes)
        out += fmt::format("# TYPE jasminebank_region_link_bytes gauge\n"
                           "jasminebank_region_link_bytes {}\n",
                           *link_bytes);
    return out;
}

} // namespace jasminebank
