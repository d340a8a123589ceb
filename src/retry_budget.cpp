#include "retry_budget.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace jasminebank {

retry_budget::retry_budget(const retry_budget_options& options) : options_(options)
{
    assert(options.share >= 0 && options.recent > duration{} && options.max_entries > 0);
}

// The entry, faded to `now`. When the table is full, the one that rested longest makes room: what
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
    const std::chrono::duration<double> passed = now - it->updated;
    const std::chrono::duration<double> recent = options_.recent;
    const double left = std::exp(-std::max(0.0, passed / recent));
    it->successes *= left;
    it->retries *= left;
    it->updated = now;
    return *it;
}

void retry_budget::on_success(organisation_id organisation, service_id service, time_point now)
{
    ++entry_of(organisation, service, now).successes;
}

retry_decision retry_budget::ask(const retry_request& it, time_point now)
{
    if (now + it.expected_time >= it.deadline)
        return retry_decision::past_deadline;
    if (it.overloaded)
        return retry_decision::overloaded;
    entry& own = entry_of(it.organisation, it.service, now);
    if (own.retries + 1 > options_.share * own.successes + options_.floor_retries)
        return retry_decision::over_budget;
    ++own.retries;
    return retry_decision::granted;
}

} // namespace jasminebank
