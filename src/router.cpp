#include "router.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <map>
#include <utility>

namespace jasminebank {

// A server whose score reaches this counts as full: 1 is the reported load with all slots busy, and
// this node's own requests in flight fill all slots once more.
constexpr double full_score = 2.0;
// Added to the score of a server that its gate suspects, so that it is chosen only if the scores of
// all others are higher by this much.
constexpr double suspected_penalty = 10.0;
// Added likewise to the score of a demoted server: its gate keeps it in rotation, to be chosen
// last.
constexpr double demoted_penalty = 100.0;

// A gate of another region that reported to be full is not asked again for this long, which is a
// few round trips between regions. After it, a probe tells whether the gate has room.
constexpr duration full_report_lifetime = std::chrono::milliseconds(100);

router::router(router_options options) : options_(std::move(options))
{
    if (!options_.crossing)
        return;
    options_.crossing->self = options_.self;
    options_.crossing->other_domain_penalty = options_.other_domain_penalty;
    options_.crossing->other_domain_penalty_per_mb = options_.other_domain_penalty_per_mb;
    crossing_.emplace(*options_.crossing);
}

crossing_reach router::reach_of(failure_domain_id domain) const
{
    if (domain == options_.domain)
        return crossing_reach::own_domain;
    const bool is_far = options_.scope_of(domain) == traffic_scope::other_region;
    return is_far ? crossing_reach::other_region : crossing_reach::own_region;
}

// Rebuilds the candidates of each service from the directory. Draining and ejected servers, and
// those in evacuated failure domains, are omitted, so they get no new requests. A server whose node
// is shutting down remains usable until that node's gate closes. Such servers are added to the
// subset instead of counting towards it, so that many nodes shutting down at once do not reduce the
// number of other candidates.
void router::update(const member_directory& directory)
{
    std::unordered_map<service_id, std::vector<candidate>> services;
    std::unordered_map<service_id, std::vector<candidate>> leaving;
    std::unordered_map<backend_server_id, server_state> servers;
    evacuated_services_.clear();
    for (const member_record& member : directory.members()) {
        for (const server_record& it : member.servers) {
            const auto known = servers_.find(it.id);
            servers[it.id] = known == servers_.end() ? server_state{} : known->second;
            if (it.draining || it.standing == server_standing::held_out)
                continue;
            if (is_evacuated(member.domain)) {
                evacuated_services_.insert(it.service);
                continue;
            }
            auto& candidates = (member.leaving ? leaving : services)[it.service];
            candidates.push_back(
                {.choice = {it.id, member.vm, member.run, member.link, member.leaving,
                            crossing_ ? reach_of(member.domain) : crossing_reach::own_domain},
                 .domain = member.domain,
                 .slots = std::max<std::uint32_t>(it.slots, 1),
                 .standing = it.standing});
        }
    }
    for (auto& [service, candidates] : services)
        limit_in_each_region(candidates);
    for (auto& [service, candidates] : leaving) {
        limit_in_each_region(candidates);
        services[service].insert(services[service].end(), candidates.begin(), candidates.end());
    }
    std::erase_if(evacuated_services_, [&](service_id it) { return services.contains(it); });
    std::erase_if(closed_gates_, [&](const auto& it) {
        const member_record* member = directory.find(it.first);
        return member == nullptr || member->run != it.second;
    });
    services_ = std::move(services);
    servers_ = std::move(servers);
}

// A request that is restricted to a region would find few servers or none if the subset had been
// chosen regardless of regions. The candidates of each region are therefore limited on their own as
// well, and those that the common subset lacks are added for restricted requests only.
void router::limit_in_each_region(std::vector<candidate>& candidates) const
{
    if (candidates.size() <= options_.subset || options_.regions.empty()) {
        limit_to_subset(candidates);
        return;
    }
    std::map<region_id, std::vector<candidate>> regions;
    for (const candidate& it : candidates) {
        if (const auto region = options_.regions.region_of(it.domain))
            regions[*region].push_back(it);
    }
    limit_to_subset(candidates);
    std::unordered_set<backend_server_id> kept;
    for (const candidate& it : candidates)
        kept.insert(it.choice.server);
    for (auto& [region, in_region] : regions) {
        limit_to_subset(in_region);
        for (candidate& it : in_region) {
            if (kept.contains(it.choice.server))
                continue;
            it.only_restricted = true;
            candidates.push_back(it);
        }
    }
}

void router::set_evacuated(std::vector<failure_domain_id> domains)
{
    evacuated_ = std::move(domains);
}

bool router::is_evacuated(failure_domain_id domain) const
{
    return std::find(evacuated_.begin(), evacuated_.end(), domain) != evacuated_.end();
}

void router::set_region_nodes(const member_directory& directory, time_point now)
{
    if (!crossing_)
        return;
    const auto count = std::ranges::count_if(directory.members(), [this](const auto& it) {
        return reach_of(it.domain) != crossing_reach::other_region;
    });
    crossing_->set_region_nodes(static_cast<std::size_t>(count), now);
}

// Without a policy for other regions, all other domains count as one region.
crossing_reach router::subset_order(const candidate& it) const
{
    if (crossing_)
        return it.choice.reach;
    return it.domain == options_.domain ? crossing_reach::own_domain : crossing_reach::own_region;
}

// Limits the candidates to the subset size. Servers of the own domain come first; within the own
// and the other domains, rendezvous hashing of this node and the server decides. The subsets of all
// nodes thus spread evenly over the servers and change little when servers join or leave.
void router::limit_to_subset(std::vector<candidate>& candidates) const
{
    if (candidates.size() <= options_.subset)
        return;
    const auto rank = [this](const candidate& it) {
        return mix(options_.self.value, it.choice.server.value);
    };
    std::sort(candidates.begin(), candidates.end(), [&](const candidate& a, const candidate& b) {
        const auto a_reach = subset_order(a);
        const auto b_reach = subset_order(b);
        return a_reach != b_reach ? a_reach < b_reach : rank(a) < rank(b);
    });
    const auto count = [&](crossing_reach reach) {
        return static_cast<std::size_t>(std::ranges::count_if(
            candidates, [&](const candidate& it) { return subset_order(it) == reach; }));
    };
    const std::size_t own = count(crossing_reach::own_domain);
    const std::size_t far = count(crossing_reach::other_region);
    const std::size_t near = candidates.size() - own - far;
    // A third of the subset is in other domains, for a failure of the own one, and half of that in
    // other regions, for a failure of the own region.
    const std::size_t keep_own =
        std::min(own, options_.subset - std::min(near + far, options_.subset / 3));
    const std::size_t keep_far = std::min(far, options_.subset / 6);
    const std::size_t keep_near = std::min(near, options_.subset - keep_own - keep_far);
    const auto from = candidates.begin() + static_cast<std::ptrdiff_t>(own);
    candidates.erase(from + static_cast<std::ptrdiff_t>(keep_near),
                     from + static_cast<std::ptrdiff_t>(near));
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(keep_own),
                     candidates.begin() + static_cast<std::ptrdiff_t>(own));
    candidates.resize(std::min(candidates.size(), options_.subset));
}

// Expected utilisation, plus penalties: this node's requests in flight per slot, and the load that
// the gate reported last, decayed exponentially with its age.
double router::score(const candidate& it, std::size_t bytes, time_point now) const
{
    const server_state& state = servers_.at(it.choice.server);
    const double age = std::chrono::duration<double>(now - state.load_time).count();
    const double decay_time = std::chrono::duration<double>(options_.load_decay_time).count();
    double out = state.load * std::exp(-age / decay_time) + (state.in_flight + 1.0) / it.slots;
    if (it.domain != options_.domain)
        out += options_.other_domain_penalty +
               options_.other_domain_penalty_per_mb * static_cast<double>(bytes) / 1e6;
    if (it.choice.is_leaving)
        out += options_.leaving_penalty;
    if (it.standing == server_standing::demoted)
        out += demoted_penalty;
    if (now < state.suspected_until)
        out += suspected_penalty;
    return out;
}

bool router::is_usable(const candidate& it, const route_request& wanted, time_point now) const
{
    return std::ranges::find(wanted.excluded, it.choice.server) == wanted.excluded.end() &&
           is_available(it, wanted, now);
}

// A server on trial gets idempotent requests only. Its gate admits one of them at a time and
// refuses the others as overloaded.
bool router::is_available(const candidate& it, const route_request& wanted, time_point now) const
{
    const bool is_restricted = wanted.regions != nullptr && wanted.regions->has_value();
    if (is_restricted ? !options_.regions.is_allowed(it.domain, *wanted.regions)
                      : it.only_restricted)
        return false;
    if (it.standing == server_standing::on_trial && !wanted.idempotent)
        return false;
    if (unreachable_gates_.contains(it.choice.gate))
        return false;
    const auto closed = closed_gates_.find(it.choice.gate);
    if (it.choice.is_leaving && closed != closed_gates_.end() &&
        closed->second == it.choice.gate_run)
        return false;
    const auto paused_domain = paused_domains_.find(it.domain);
    if (paused_domain != paused_domains_.end() && now < paused_domain->second)
        return false;
    const auto paused = paused_gates_.find(it.choice.gate);
    return paused == paused_gates_.end() || paused->second <= now;
}

const router::candidate* router::pick_least_loaded(std::span<const candidate* const> candidates,
                                                   const route_request& wanted,
                                                   std::uint64_t random, time_point now) const
{
    const std::size_t draws = wanted.examines_all ? candidates.size() : options_.draws;
    const candidate* best = nullptr;
    for (std::size_t n = 0; n < draws && !candidates.empty(); ++n) {
        const std::size_t at = wanted.examines_all ? n + random : n == 0 ? random : mix(random, n);
        const candidate* it = candidates[at % candidates.size()];
        if (best == nullptr || score(*it, wanted.bytes, now) < score(*best, wanted.bytes, now))
            best = it;
    }
    return best;
}

// Samples a few usable servers of the own domain and as many of all domains, and chooses the least
// loaded. The balance is close to that of a full search, but nodes with the same stale loads do not
// all choose the same server.
std::optional<route_choice> router::choose(const route_request& wanted, std::uint64_t random,
                                           time_point now)
{
    const auto found = services_.find(wanted.service);
    if (found == services_.end())
        return std::nullopt;
    if (crossing_)
        return choose_by_reach(found->second, wanted, random, now);
    std::vector<const candidate*> own;
    std::vector<const candidate*> all;
    bool is_own_free = false;
    for (const candidate& it : found->second) {
        if (!is_usable(it, wanted, now))
            continue;
        all.push_back(&it);
        if (it.domain != options_.domain)
            continue;
        own.push_back(&it);
        is_own_free |= score(it, 0, now) < full_score;
    }
    const candidate* best_own = pick_least_loaded(own, wanted, mix(random, ~std::uint64_t{0}), now);
    const candidate* best_overall = options_.own_domain_first && is_own_free
                                        ? nullptr
                                        : pick_least_loaded(all, wanted, random, now);
    if (best_own == nullptr && best_overall == nullptr)
        return std::nullopt;
    if (best_own == nullptr)
        return best_overall->choice;
    const bool is_own_better =
        best_overall == nullptr ||
        score(*best_own, wanted.bytes, now) <= score(*best_overall, wanted.bytes, now);
    return is_own_better ? best_own->choice : best_overall->choice;
}

bool router::has_server(const route_request& wanted, time_point now) const
{
    const auto found = services_.find(wanted.service);
    return found != services_.end() && std::ranges::any_of(found->second, [&](const candidate& it) {
               return is_usable(it, wanted, now);
           });
}

// The requests ahead of a new one in excess of the slots, per slot: as the gate reported them,
// decayed, or this node's own if they are more. Penalties are those of `score`.
double router::expected_wait(const candidate& it, time_point now) const
{
    const server_state& state = servers_.at(it.choice.server);
    const double age = std::chrono::duration<double>(now - state.load_time).count();
    const double decay_time = std::chrono::duration<double>(options_.load_decay_time).count();
    const double slots = it.slots;
    const double ahead =
        std::max(state.load * std::exp(-age / decay_time), state.in_flight / slots);
    double out = std::max(0.0, ahead + 1 / slots - 1);
    if (it.choice.is_leaving)
        out += options_.leaving_penalty;
    if (it.standing == server_standing::demoted)
        out += demoted_penalty;
    if (now < state.suspected_until)
        out += suspected_penalty;
    return out;
}

bool router::has_room(const candidate& it, time_point now) const
{
    const server_state& state = servers_.at(it.choice.server);
    const bool is_report_full = state.load >= 1 && now - state.load_time < full_report_lifetime;
    return !is_report_full && state.in_flight < it.slots;
}

// The best server that the request may be sent to; without one, the best of those where it could
// only wait.
router::reach_choice router::best_within(crossing_reach reach,
                                         const std::vector<candidate>& candidates,
                                         const route_request& wanted, std::uint64_t random,
                                         time_point now) const
{
    std::vector<const candidate*> offered;
    std::vector<const candidate*> full;
    const bool is_far = reach == crossing_reach::other_region;
    for (const candidate& it : candidates) {
        if (it.choice.reach != reach || (is_far && !has_room(it, now)))
            continue;
        if (is_usable(it, wanted, now))
            offered.push_back(&it);
        else if (std::ranges::find(wanted.full, it.choice.server) != wanted.full.end() &&
                 is_available(it, wanted, now))
            full.push_back(&it);
    }
    const auto& from = offered.empty() ? full : offered;
    return {.server = pick_least_loaded(from, wanted, random, now), .is_offered = !offered.empty()};
}

std::optional<route_choice> router::choose_by_reach(const std::vector<candidate>& candidates,
                                                    const route_request& wanted,
                                                    std::uint64_t random, time_point now)
{
    std::array<reach_choice, crossing_reaches> choices;
    crossing_request request{.service = wanted.service,
                             .bytes = wanted.bytes,
                             .service_time = wanted.service_time,
                             .target = wanted.target,
                             .time_left = wanted.time_left};
    for (std::size_t n = 0; n < crossing_reaches; ++n) {
        const auto reach = static_cast<crossing_reach>(n);
        choices.at(n) = best_within(reach, candidates, wanted, mix(random, ~std::uint64_t{n}), now);
        if (choices.at(n).server != nullptr)
            request.best.at(n) = {.wait = expected_wait(*choices.at(n).server, now),
                                  .is_offered = choices.at(n).is_offered};
    }
    const auto reach = crossing_->decide(request, now);
    if (!reach)
        return std::nullopt;
    route_choice out = choices.at(static_cast<std::size_t>(*reach)).server->choice;
    out.expected_bytes = wanted.bytes;
    out.needs_probe = *reach == crossing_reach::other_region && servers_.at(out.server).load >= 1;
    return out;
}

std::vector<backend_server_id> router::usable_servers(const route_request& wanted,
                                                      time_point now) const
{
    std::vector<backend_server_id> out;
    const auto found = services_.find(wanted.service);
    if (found == services_.end())
        return out;
    for (const candidate& it : found->second) {
        if (is_usable(it, wanted, now) && servers_.at(it.choice.server).suspected_until <= now)
            out.push_back(it.choice.server);
    }
    return out;
}

std::unordered_map<service_id, std::size_t> router::candidate_counts() const
{
    std::unordered_map<service_id, std::size_t> out;
    for (const auto& [service, candidates] : services_)
        out[service] = static_cast<std::size_t>(
            std::ranges::count(candidates, false, &candidate::only_restricted));
    return out;
}

void router::started(backend_server_id server)
{
    const auto it = servers_.find(server);
    if (it != servers_.end())
        ++it->second.in_flight;
}

void router::refused(backend_server_id server, bool suspected, std::optional<double> load,
                     time_point now)
{
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return;
    if (suspected)
        it->second.suspected_until = now + options_.suspicion_duration;
    it->second.load = load.value_or(1);
    it->second.load_time = now;
}

void router::finished(backend_server_id server, std::optional<double> load, time_point now)
{
    const auto it = servers_.find(server);
    if (it == servers_.end())
        return;
    // The count may already be 0: the server may have left and rejoined since the request began.
    if (it->second.in_flight > 0)
        --it->second.in_flight;
    if (load) {
        it->second.load = *load;
        it->second.load_time = now;
    }
}

void router::gate_failed(vm_id gate, time_point now)
{
    paused_gates_[gate] = now + options_.gate_pause;
    std::erase_if(paused_gates_, [now](const auto& it) { return it.second <= now; });
}

// A single gate may have missed the end of an evacuation, so its whole domain is avoided only if
// another gate there refuses as well.
void router::gate_evacuated(vm_id gate, time_point now)
{
    for (const auto& [service, candidates] : services_) {
        const auto it = std::find_if(candidates.begin(), candidates.end(),
                                     [&](const candidate& a) { return a.choice.gate == gate; });
        if (it == candidates.end())
            continue;
        const auto [place, is_first] =
            evacuation_refusals_.try_emplace(it->domain, evacuation_refusal{});
        evacuation_refusal& last = place->second;
        const bool is_confirmed =
            !is_first && last.gate != gate && now - last.at < options_.gate_pause;
        if (is_confirmed)
            paused_domains_[it->domain] = now + options_.gate_pause;
        else
            paused_gates_[gate] = now + options_.gate_pause;
        last = {.gate = gate, .at = now};
        return;
    }
}

void router::gate_closed(vm_id gate, incarnation run)
{
    closed_gates_[gate] = run;
}

void router::set_reachable(vm_id gate, bool reachable)
{
    if (reachable) {
        unreachable_gates_.erase(gate);
        paused_gates_.erase(gate);
    }
    else {
        unreachable_gates_.insert(gate);
    }
}

} // namespace jasminebank
