#include "service_room.h"

#include <algorithm>

namespace jasminebank {

// Bounds the memory: above the number of backend servers of a large fleet.
constexpr std::size_t max_servers = 16'384;
// Of organisations and ranks within `view_age`.
constexpr std::size_t max_reports_per_server = 256;
constexpr std::size_t max_services = 4096;
// Callers honour a Retry-After up to a third of the time that they have left. The margin covers the
// time that the refusal takes to arrive.
constexpr int caller_patience_divisor = 3;
constexpr duration refusal_travel_time = std::chrono::milliseconds(20);
// The shortest delay: a few round trips, in which slots become free at servers that work.
constexpr duration shortest_retry_after = std::chrono::milliseconds(50);
constexpr std::uint64_t spread_steps = 1024;
// The spread is at least this part of the longest delay: a sixth gave no more answers in the bench.
constexpr int spread_divisor = 2;

std::string_view name_of(room_cause it)
{
    return it == room_cause::target ? "target" : "deadline";
}

useful_start useful_start_of(const room_request& it, time_point now)
{
    const useful_start last{.latest = it.deadline - it.expected_service};
    if (it.is_nested || it.target <= duration::zero())
        return last;
    const useful_start in_target{.latest = it.start + it.target - it.expected_service,
                                 .limit = room_cause::target};
    return in_target.latest <= now || last.latest < in_target.latest ? last : in_target;
}

duration longest_retry_after(const room_request& it, time_point now)
{
    const duration left = it.deadline - now;
    const duration patience = left / caller_patience_divisor - refusal_travel_time;
    return std::max(duration::zero(), std::min(patience, left - it.expected_service));
}

service_room::service_room(const service_room_options& options) : options_(options) {}

// The order in which a gate serves the requests of an organisation: by rank, returned before new.
static std::uint64_t place_of(const room_request& it)
{
    return 2 * std::uint64_t{it.rank} + (it.is_returned ? 0 : 1);
}

// Reports for one organisation and place replace each other.
void service_room::reported(backend_server_id server, const room_request& it, duration wait,
                            time_point now)
{
    if (reports_.size() >= max_servers && !reports_.contains(server))
        erase_outdated(now);
    if (reports_.size() >= max_servers && !reports_.contains(server))
        return;
    auto& reports = reports_[server];
    const report added{
        .organisation = it.organisation, .place = place_of(it), .wait = wait, .at = now};
    std::erase_if(reports, [&](const report& old) {
        return now - old.at >= options_.view_age ||
               (old.organisation == added.organisation && old.place == added.place);
    });
    if (reports.size() < max_reports_per_server)
        reports.push_back(added);
}

void service_room::erase_outdated(time_point now)
{
    for (auto& [server, reports] : reports_)
        std::erase_if(reports, [&](const report& it) { return now - it.at >= options_.view_age; });
    std::erase_if(reports_, [](const auto& it) { return it.second.empty(); });
}

// The longest wait that a recent report implies, faded; nothing without a recent report. Reports of
// ranks that are served before are lower bounds.
std::optional<duration> service_room::wait_at(backend_server_id server, const room_request& request,
                                              time_point now) const
{
    const auto found = reports_.find(server);
    if (found == reports_.end())
        return std::nullopt;
    std::optional<duration> out;
    const double view_age = std::chrono::duration<double>(options_.view_age).count();
    for (const report& it : found->second) {
        const double age = std::chrono::duration<double>(now - it.at).count();
        if (it.organisation != request.organisation || it.place > place_of(request) ||
            age >= view_age)
            continue;
        const std::chrono::duration<double> wait = it.wait * std::min(1.0, 1 - age / view_age);
        out = std::max(out.value_or(duration::zero()), std::chrono::duration_cast<duration>(wait));
    }
    return out;
}

service_room::agreement service_room::agree(const room_request& it,
                                            std::span<const backend_server_id> usable,
                                            time_point now) const
{
    agreement out;
    for (const backend_server_id server : usable) {
        const auto wait = wait_at(server, it, now);
        if (!wait)
            continue;
        ++out.reports;
        out.shortest_wait = std::min(out.shortest_wait, *wait);
    }
    return out;
}

// While returned requests are refused, no new ones are let through.
std::optional<room_refusal>
service_room::refuse_on_arrival(const room_request& it, std::span<const backend_server_id> usable,
                                std::uint64_t random, time_point now)
{
    if (usable.empty())
        return std::nullopt;
    const agreement known = agree(it, usable, now);
    // A few full gates say nothing about a service with many.
    const std::size_t needed = std::max(options_.min_reports, (usable.size() + 2) / 3);
    const bool is_known = known.reports >= std::min(needed, usable.size());
    const useful_start start = useful_start_of(it, now);
    const bool has_free_slot = known.shortest_wait <= duration::zero();
    if (!is_known || has_free_slot || now + known.shortest_wait <= start.latest)
        return std::nullopt;
    if (services_.size() >= max_services && !services_.contains(it.service))
        return std::nullopt;
    service_state& state = services_[it.service];
    const bool is_returned_refused = now - state.returned_refused < options_.view_age;
    std::uint32_t& refusable = it.is_returned ? state.returned_refusable : state.new_refusable;
    if (++refusable >= options_.send_one_in && (it.is_returned || !is_returned_refused)) {
        refusable = 0;
        return std::nullopt;
    }
    if (it.is_returned)
        state.returned_refused = now;
    return room_refusal{.cause = start.limit, .retry_after = retry_after(it, usable, random, now)};
}

// Until there is capacity, the queues in front of the request have to become shorter by what
// exceeds its latest useful start. Those who are refused meanwhile return spread over that time
// again, since the queue alone would take the first of them only.
duration service_room::retry_after(const room_request& it,
                                   std::span<const backend_server_id> usable, std::uint64_t random,
                                   time_point now) const
{
    const agreement known = agree(it, usable, now);
    duration until_capacity = shortest_retry_after;
    if (known.reports > 0)
        until_capacity =
            std::max(until_capacity, now + known.shortest_wait - useful_start_of(it, now).latest);
    const duration longest = std::max(longest_retry_after(it, now), shortest_retry_after);
    // A delay of at least half of the longest is kept free for the spread. Who has returned in vain
    // returns later than new ones, since there is still no capacity.
    const duration first = it.is_returned ? longest / 2 : std::min(until_capacity, longest / 2);
    const duration spread =
        std::min(std::max(until_capacity, longest / spread_divisor), longest - first);
    return first + spread * static_cast<std::int64_t>(random % spread_steps) /
                       static_cast<std::int64_t>(spread_steps);
}

} // namespace jasminebank
