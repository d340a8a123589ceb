#include "retry_budget.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace jasminebank {

retry_budget::retry_budget(const retry_budget_options& options) : options_(options)
{
    assert(options.share >= 0 && options.recent > duration{} && options.max_entries > 0);
}

organisation_id shared_retries_of(service_id service)
{
    return {mix(service.value, hash_name("retries"))};
}

// Servers begin to fail at once, so a third may go at once; the rest comes back over the window.
rate_contract shared_retry_contract(service_id service, const shared_retry_options& options)
{
    const double used = options.retries * used_part_of_retry_bound;
    const double burst = used / 3;
    return make_contract(shared_retries_of(service),
                         (used - burst) / std::chrono::duration<double>(options.window).count(),
                         burst);
}

// When the table is full, the one that rested longest makes room: what
// it loses are successes, so it errs towards fewer retries.
retry_budget::entry& retry_budget::entry_of(organisation_id organisation, service_id service,
                                            time_point now)
{
    const auto before = [](const entry& a, const entry& b) {
        return std::tie(a.organisation.value, a.service.value) <
               std::tie(b.organisation.value, b.service.value);
    };
    const entry wanted{.organisation = organisation, .service = service, .updated = now};
    auto it = std::lower_bound(entries_.begin(), entries_.end(), wanted, before);
    if (it == entries_.end() || before(wanted, *it)) {
        if (entries_.size() >= options_.max_entries)
            entries_.erase(std::min_element(
                entries_.begin(), entries_.end(),
                [](const entry& a, const entry& b) { return a.updated < b.updated; }));
        it = entries_.insert(std::lower_bound(entries_.begin(), entries_.end(), wanted, before),
                             wanted);
    }
    it->updated = now;
    return *it;
}

retry_budget::window_part& retry_budget::part_at(entry& it, time_point now) const
{
    const std::int64_t number =
        now.time_since_epoch() / (options_.recent / static_cast<std::int64_t>(parts));
    window_part& out = it.window[static_cast<std::size_t>(number) % it.window.size()];
    if (out.number != number)
        out = {.number = number};
    return out;
}

void retry_budget::on_success(organisation_id organisation, service_id service, time_point now)
{
    ++part_at(entry_of(organisation, service, now), now).successes;
}

bool retry_budget::has_room(entry& it, time_point now) const
{
    const std::int64_t oldest = part_at(it, now).number - static_cast<std::int64_t>(parts);
    double successes = 0;
    double retries = 0;
    for (const window_part& part : it.window) {
        successes += part.number > oldest ? part.successes : 0;
        retries += part.number >= oldest ? part.retries : 0;
    }
    return retries + 1 <= options_.share * successes + options_.floor_retries;
}

retry_decision retry_budget::ask(const retry_request& it, time_point now)
{
    if (now + it.expected_time >= it.deadline)
        return retry_decision::past_deadline;
    if (it.overloaded)
        return retry_decision::overloaded;
    entry& own = entry_of(it.organisation, it.service, now);
    if (!has_room(own, now))
        return retry_decision::over_budget;
    ++part_at(own, now).retries;
    return retry_decision::granted;
}

} // namespace jasminebank
