#include "retry_budget.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace jasminebank {

retry_budget::retry_budget(const retry_budget_options& options) : options_(options)
{
    assert(options.share >= 0 && options.window_length > duration{} && options.max_entries > 0);
}

organisation_id shared_retry_limit_of(service_id service)
{
    return {mix(service.value, hash_name("retries"))};
}

// Failures of servers set in suddenly, so a third of the retries is available as a burst; the rest
// is refilled over the window.
rate_contract shared_retry_contract(service_id service, const shared_retry_options& options)
{
    const double usable = options.retries * usable_share_of_retry_bound;
    const double burst = usable / 3;
    return make_contract(shared_retry_limit_of(service),
                         (usable - burst) / std::chrono::duration<double>(options.window).count(),
                         burst);
}

// When the table is full, the least recently used entry is evicted. This loses counted successes
// and so errs towards fewer retries.
retry_budget::entry& retry_budget::find_or_add(organisation_id organisation, service_id service,
                                               time_point now)
{
    const auto before = [](const entry& a, const entry& b) {
        return std::tie(a.organisation.value, a.service.value) <
               std::tie(b.organisation.value, b.service.value);
    };
    const entry added{.organisation = organisation, .service = service, .updated = now};
    auto it = std::lower_bound(entries_.begin(), entries_.end(), added, before);
    if (it == entries_.end() || before(added, *it)) {
        if (entries_.size() >= options_.max_entries)
            entries_.erase(std::min_element(
                entries_.begin(), entries_.end(),
                [](const entry& a, const entry& b) { return a.updated < b.updated; }));
        it = entries_.insert(std::lower_bound(entries_.begin(), entries_.end(), added, before),
                             added);
    }
    it->updated = now;
    return *it;
}

retry_budget::window_part& retry_budget::current_part(entry& it, time_point now) const
{
    const std::int64_t number =
        now.time_since_epoch() / (options_.window_length / static_cast<std::int64_t>(window_parts));
    window_part& out = it.window[static_cast<std::size_t>(number) % it.window.size()];
    if (out.number != number)
        out = {.number = number};
    return out;
}

void retry_budget::on_success(organisation_id organisation, service_id service, time_point now)
{
    ++current_part(find_or_add(organisation, service, now), now).successes;
}

bool retry_budget::allows_retry(entry& it, time_point now) const
{
    const std::int64_t oldest =
        current_part(it, now).number - static_cast<std::int64_t>(window_parts);
    double successes = 0;
    double retries = 0;
    for (const window_part& part : it.window) {
        successes += part.number > oldest ? part.successes : 0;
        retries += part.number >= oldest ? part.retries : 0;
    }
    return retries + 1 <= options_.share * successes + options_.floor_retries;
}

retry_decision retry_budget::request_retry(const retry_request& it, time_point now)
{
    if (now + it.expected_time >= it.deadline)
        return retry_decision::past_deadline;
    if (it.overloaded)
        return retry_decision::overloaded;
    entry& budget = find_or_add(it.organisation, it.service, now);
    if (!allows_retry(budget, now))
        return retry_decision::over_budget;
    ++current_part(budget, now).retries;
    return retry_decision::granted;
}

} // namespace jasminebank
