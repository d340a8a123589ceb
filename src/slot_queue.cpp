#include "slot_queue.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace jasminebank {

// Idle organisations whose weighted use is kept, beyond the number that can wait or run at once.
constexpr std::size_t max_idle_organisations = 1024;
// How long a number of requests of rank 0 counts, and how long a slot is kept after the last one.
constexpr duration first_rank_peak_time = std::chrono::seconds(1);
constexpr duration first_rank_slot_time = std::chrono::minutes(1);

static double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

static duration from_seconds(double it)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

slot_queue::slot_queue(const slot_queue_options& options) : options_(options)
{
    assert(options.max_waiting >= options.max_waiting_per_organisation);
}

slot_queue::organisation_state* slot_queue::find(organisation_id organisation)
{
    for (organisation_state& it : organisations_) {
        if (it.organisation == organisation)
            return &it;
    }
    return nullptr;
}

// Returns the organisation of a request, creating it if needed. An organisation that was idle
// starts at the current virtual time, so that idle time earns no credit.
slot_queue::organisation_state& slot_queue::activate(const slot_request& it)
{
    organisation_state* own = find(it.organisation);
    if (own == nullptr) {
        organisations_.push_back({.organisation = it.organisation, .waiting = {}});
        own = &organisations_.back();
    }
    if (own->running == 0 && own->waiting.empty())
        own->weighted_use = std::max(own->weighted_use, virtual_time_);
    own->weight = std::max(1U, it.weight);
    return *own;
}

bool slot_queue::is_known(request_id request) const
{
    const auto same = [&](const auto& it) { return it.request == request; };
    return std::any_of(running_.begin(), running_.end(), same) ||
           std::any_of(organisations_.begin(), organisations_.end(), [&](const auto& it) {
               return std::any_of(it.waiting.begin(), it.waiting.end(), same);
           });
}

// Time until `count` requests in a row may have started, as far as the rate and the cold-start
// limit decide; the slots are not considered.
duration slot_queue::wait_for_starts(std::size_t count, time_point now) const
{
    return std::max(pacer_.wait_for(count, now), cold_start_.wait_for(count, now));
}

bool slot_queue::may_start_one(time_point now) const
{
    return wait_for_starts(1, now) == duration::zero();
}

// Whether a request that waits is served before `it` if both are of one organisation and neither is
// late.
static bool is_ahead(const slot_request& waiting, const slot_request& it)
{
    return std::pair(waiting.rank, !waiting.is_returned) <= std::pair(it.rank, !it.is_returned);
}

// Number of waiting requests of all organisations that are served before `it`.
std::size_t slot_queue::count_ahead(const slot_request& it) const
{
    std::size_t out = 0;
    for (const organisation_state& own : organisations_)
        out += static_cast<std::size_t>(std::ranges::count_if(
            own.waiting, [&](const slot_request& other) { return is_ahead(other, it); }));
    return out;
}

// Estimates the wait behind the requests of the own organisation with the same or a higher rank.
// The slots are shared by weight with each other organisation that has such requests waiting.
duration slot_queue::expected_wait(const slot_request& it, const organisation_state& own,
                                   time_point now) const
{
    const auto before_it = [&](const slot_request& other) { return is_ahead(other, it); };
    double weights = own.weight;
    for (const organisation_state& other : organisations_) {
        if (&other != &own && std::ranges::any_of(other.waiting, before_it))
            weights += other.weight;
    }
    const double share = std::max(1U, slots_for(it.rank, now)) * own.weight / weights;
    const auto ahead = static_cast<double>(std::ranges::count_if(own.waiting, before_it));
    return from_seconds((ahead + 1) * expected_service_s_ / share);
}

std::size_t slot_queue::first_rank_running() const
{
    return static_cast<std::size_t>(std::count_if(
        running_.begin(), running_.end(), [](const running_request& it) { return it.rank == 0; }));
}

std::size_t slot_queue::first_rank_waiting() const
{
    std::size_t out = 0;
    for (const organisation_state& own : organisations_)
        out += static_cast<std::size_t>(std::ranges::count_if(
            own.waiting, [](const slot_request& it) { return it.rank == 0; }));
    return out;
}

void slot_queue::record_first_rank_demand(time_point now)
{
    const std::size_t demand = first_rank_running() + first_rank_waiting();
    if (demand >= first_rank_peak_ || now >= first_rank_peak_until_) {
        first_rank_peak_ = demand;
        first_rank_peak_until_ = now + first_rank_peak_time;
    }
    first_rank_seen_until_ = now + first_rank_slot_time;
}

// The number of running requests below which one of this rank may start. What rank 0 uses of the
// slots that are kept for it is not kept again.
std::uint32_t slot_queue::slots_for(std::uint32_t rank, time_point now) const
{
    if (!options_.reserve_for_first_rank || rank == 0 || options_.slots < 2)
        return options_.slots;
    const std::size_t peak = now < first_rank_peak_until_ ? first_rank_peak_ : 0;
    const std::size_t least = now < first_rank_seen_until_ ? 1 : 0;
    const std::size_t kept = std::max(least, std::min<std::size_t>(peak, options_.slots / 4));
    const std::size_t used = std::min(kept, first_rank_running());
    return options_.slots - static_cast<std::uint32_t>(kept - used);
}

bool slot_queue::has_service_times() const
{
    constexpr std::uint64_t min_samples = 8;
    return samples_ >= min_samples;
}

duration slot_queue::expected_wait(const slot_request& it, time_point now, std::size_t ending) const
{
    const duration paced = wait_for_starts(count_ahead(it) + 1, now);
    if (running_.size() < slots_for(it.rank, now) + ending || !has_service_times())
        return paced;
    const organisation_state idle{.organisation = it.organisation, .waiting = {}};
    const auto own = std::find_if(organisations_.begin(), organisations_.end(),
                                  [&](const auto& o) { return o.organisation == it.organisation; });
    return std::max(paced, expected_wait(it, own == organisations_.end() ? idle : *own, now));
}

// A start after this time is too late for the deadline, or for the soft deadline if that can still
// be met.
time_point slot_queue::latest_useful_start(const slot_request& it, time_point now) const
{
    const duration expected = from_seconds(expected_service_s_);
    if (it.soft_deadline == time_point::max() || it.soft_deadline - expected <= now)
        return it.deadline;
    return std::min(it.deadline, it.soft_deadline - expected);
}

// A request that would probably not start before its deadline, or not early enough for its soft
// deadline, is refused on arrival: its caller can try another backend server or retry, and the slot
// serves a request that can still be answered in time.
bool slot_queue::would_miss_deadline(const slot_request& it, const organisation_state& own,
                                     time_point now) const
{
    if (it.deadline <= now)
        return true;
    const time_point latest = latest_useful_start(it, now);
    if (now + wait_for_starts(count_ahead(it) + 1, now) > latest)
        return true;
    if (!has_service_times() || running_.size() < slots_for(it.rank, now))
        return false;
    return now + expected_wait(it, own, now) > latest;
}

// Returns whether a request of the organisation can be queued. If the limit of all organisations is
// reached, the newest request of the longest queue is refused instead, provided that queue is
// longer than the own queue would become. A request that returns takes the place of a new one that
// would be served after it.
bool slot_queue::make_room(const slot_request& it, organisation_state& own, slot_actions& out)
{
    if (own.waiting.size() >= options_.max_waiting_per_organisation)
        return displace_new(it, own, out);
    if (waiting_ < options_.max_waiting)
        return true;
    const auto longest = std::max_element(
        organisations_.begin(), organisations_.end(),
        [](const auto& a, const auto& b) { return a.waiting.size() < b.waiting.size(); });
    if (longest->waiting.size() <= own.waiting.size() + 1)
        return std::any_of(organisations_.begin(), organisations_.end(),
                           [&](organisation_state& from) { return displace_new(it, from, out); });
    out.emplace_back(refuse_request{longest->waiting.back().request, slot_refusal::queue_full});
    longest->waiting.pop_back();
    --waiting_;
    return true;
}

// If `it` returns, refuses the newest request of `from` that is new and has no higher rank.
bool slot_queue::displace_new(const slot_request& it, organisation_state& from, slot_actions& out)
{
    if (!it.is_returned)
        return false;
    const auto last =
        std::find_if(from.waiting.rbegin(), from.waiting.rend(), [&](const slot_request& other) {
            return !other.is_returned && other.rank >= it.rank;
        });
    if (last == from.waiting.rend())
        return false;
    out.emplace_back(refuse_request{last->request, slot_refusal::queue_full});
    from.waiting.erase(std::next(last).base());
    --waiting_;
    return true;
}

slot_actions slot_queue::enqueue(const slot_request& it, time_point now)
{
    slot_actions out;
    if (is_known(it.request)) {
        out.emplace_back(refuse_request{it.request, slot_refusal::duplicate});
        return out;
    }
    refuse_expired(now, out);
    organisation_state& own = activate(it);
    if (would_miss_deadline(it, own, now)) {
        out.emplace_back(refuse_request{it.request, slot_refusal::deadline});
    }
    else if (!make_room(it, own, out)) {
        out.emplace_back(refuse_request{it.request, slot_refusal::queue_full});
    }
    else {
        own.waiting.push_back(it);
        ++waiting_;
        if (it.rank == 0)
            record_first_rank_demand(now);
    }
    start_waiting(now, out);
    refuse_beyond_rate(now, out);
    erase_idle();
    return out;
}

// Replaces the expected slot time, charged at the start, by the actual one, so that an organisation
// pays for long requests.
slot_actions slot_queue::finished(request_id request, time_point now)
{
    constexpr std::uint64_t averaging_window = 64;
    slot_actions out;
    const auto it = std::find_if(running_.begin(), running_.end(),
                                 [&](const auto& r) { return r.request == request; });
    if (it == running_.end())
        return out;
    const double service_s = seconds(now - it->started);
    ++samples_;
    expected_service_s_ += (service_s - expected_service_s_) /
                           static_cast<double>(std::min(samples_, averaging_window));
    organisation_state* own = find(it->organisation);
    assert(own != nullptr && own->running > 0);
    --own->running;
    own->weighted_use += service_s / own->weight - it->charged_use;
    running_.erase(it);
    refuse_expired(now, out);
    start_waiting(now, out);
    erase_idle();
    return out;
}

bool slot_queue::cancel(request_id request)
{
    std::size_t removed = 0;
    for (organisation_state& own : organisations_) {
        removed += std::erase_if(own.waiting,
                                 [&](const slot_request& it) { return it.request == request; });
    }
    waiting_ -= removed;
    erase_idle();
    return removed > 0;
}

slot_actions slot_queue::refuse_waiting()
{
    slot_actions out;
    for (organisation_state& it : organisations_) {
        for (const slot_request& r : it.waiting)
            out.emplace_back(refuse_request{r.request, slot_refusal::queue_full});
        it.waiting.clear();
    }
    waiting_ = 0;
    erase_idle();
    return out;
}

slot_actions slot_queue::refuse_waiting(request_id request)
{
    slot_actions out;
    if (cancel(request))
        out.emplace_back(refuse_request{request, slot_refusal::queue_full});
    return out;
}

slot_actions slot_queue::tick(time_point now)
{
    slot_actions out;
    refuse_expired(now, out);
    start_waiting(now, out);
    refuse_beyond_rate(now, out);
    erase_idle();
    return out;
}

slot_actions slot_queue::set_slots(std::uint32_t slots, time_point now)
{
    options_.slots = slots;
    return tick(now);
}

slot_actions slot_queue::set_start_rate(std::optional<double> rate, time_point now)
{
    pacer_.set_rate(rate, now);
    return tick(now);
}

bool slot_queue::may_start(time_point now, std::uint32_t rank) const
{
    const bool passes_others = options_.reserve_for_first_rank && rank == 0;
    const std::size_t ahead = passes_others ? first_rank_waiting() : waiting_;
    return running_.size() < slots_for(rank, now) && ahead == 0 && may_start_one(now);
}

// Keeps as many requests as can start in time within the limits, those of the lowest ranks, among
// them the ones that return, and among these the ones with the earliest deadlines.
void slot_queue::refuse_beyond_rate(time_point now, slot_actions& out)
{
    if (waiting_ == 0 || !(pacer_.is_limited() || cold_start_.is_limited()))
        return;
    std::vector<slot_request> waiting;
    for (const organisation_state& it : organisations_)
        waiting.insert(waiting.end(), it.waiting.begin(), it.waiting.end());
    std::sort(waiting.begin(), waiting.end(), [](const slot_request& a, const slot_request& b) {
        return std::tuple(a.rank, !a.is_returned, a.deadline) <
               std::tuple(b.rank, !b.is_returned, b.deadline);
    });
    std::size_t kept = 0;
    for (const slot_request& request : waiting) {
        if (now + wait_for_starts(kept + 1, now) <= latest_useful_start(request, now)) {
            ++kept;
            continue;
        }
        organisation_state* own = find(request.organisation);
        std::erase_if(own->waiting,
                      [&](const slot_request& it) { return it.request == request.request; });
        --waiting_;
        out.emplace_back(refuse_request{request.request, slot_refusal::deadline});
    }
}

void slot_queue::refuse_expired(time_point now, slot_actions& out)
{
    for (organisation_state& it : organisations_) {
        const auto expired = [&](const slot_request& r) {
            if (r.deadline > now)
                return false;
            out.emplace_back(refuse_request{r.request, slot_refusal::deadline});
            return true;
        };
        waiting_ -= std::erase_if(it.waiting, expired);
    }
}

// A request is late if, started now, it would take the average time and miss its soft deadline.
slot_queue::service_order slot_queue::service_order_of(const slot_request& it, time_point now) const
{
    const duration expected = from_seconds(expected_service_s_);
    return {.rank = it.rank,
            .is_new = !it.is_returned,
            .is_late = it.soft_deadline != time_point::max() && now + expected > it.soft_deadline};
}

std::deque<slot_request>::iterator slot_queue::next_to_serve(organisation_state& it,
                                                             time_point now) const
{
    return std::min_element(it.waiting.begin(), it.waiting.end(),
                            [&](const slot_request& a, const slot_request& b) {
                                return service_order_of(a, now) < service_order_of(b, now);
                            });
}

// Gives each free slot to the request that is first in the service order; among equal ones to the
// organisation with the lowest weighted use. The minimum charge makes organisations alternate while
// no service time has been measured yet.
void slot_queue::start_waiting(time_point now, slot_actions& out)
{
    constexpr double min_charge_s = 1e-4;
    while (running_.size() < options_.slots && waiting_ > 0 && may_start_one(now)) {
        organisation_state* next = nullptr;
        service_order best;
        for (organisation_state& it : organisations_) {
            if (it.waiting.empty())
                continue;
            service_order own = service_order_of(*next_to_serve(it, now), now);
            own.is_new |= options_.returned_first_by_organisation;
            if (next == nullptr || own < best ||
                (own == best && it.weighted_use < next->weighted_use)) {
                next = &it;
                best = own;
            }
        }
        assert(next != nullptr);
        if (running_.size() >= slots_for(best.rank, now))
            break;
        const auto chosen = next_to_serve(*next, now);
        const slot_request request = *chosen;
        next->waiting.erase(chosen);
        --waiting_;
        virtual_time_ = std::max(virtual_time_, next->weighted_use);
        const double charged_use = std::max(min_charge_s, expected_service_s_) / next->weight;
        next->weighted_use += charged_use;
        ++next->running;
        running_.push_back({request.request, next->organisation, now, charged_use, request.rank});
        pacer_.started(now);
        cold_start_.started(now);
        out.emplace_back(start_request{request.request});
    }
    assert(waiting_ == 0 || running_.size() >= options_.slots || !may_start_one(now) ||
           options_.reserve_for_first_rank);
    assert(waiting_ <= options_.max_waiting);
}

// Erases idle organisations whose use is not above the virtual time, where they would start anyway.
// When nothing runs, erases all. Above the limit, also erases the idle ones with the lowest use.
void slot_queue::erase_idle()
{
    const auto idle = [](const organisation_state& it) {
        return it.running == 0 && it.waiting.empty();
    };
    std::erase_if(organisations_, [&](const organisation_state& it) {
        return idle(it) && (it.weighted_use <= virtual_time_ || running_.empty());
    });
    while (organisations_.size() > max_idle_organisations + options_.max_waiting + options_.slots) {
        organisation_state* least = nullptr;
        for (organisation_state& it : organisations_) {
            if (idle(it) && (least == nullptr || it.weighted_use < least->weighted_use))
                least = &it;
        }
        if (least == nullptr)
            return;
        std::swap(*least, organisations_.back());
        organisations_.pop_back();
    }
}

} // namespace jasminebank
