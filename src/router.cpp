#include "router.h"

#include <algorithm>
#include <cassert>
#include <cmath>

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

router::router(router_options options) : options_(options) {}

// Rebuilds the candidates of each service from the directory. Draining and ejected servers are
// omitted, so they get no new requests. A server whose node is shutting down remains usable until
// that node's gate closes. Such servers are added to the subset instead of counting towards it, so
// that many nodes shutting down at once do not reduce the number of other candidates.
void router::update(const member_directory& directory)
{
    std::unordered_map<service_id, std::vector<candidate>> services;
    std::unordered_map<service_id, std::vector<candidate>> leaving;
    std::unordered_map<backend_server_id, server_state> servers;
    for (const member_record& member : directory.members()) {
        for (const server_record& it : member.servers) {
            const auto known = servers_.find(it.id);
            servers[it.id] = known == servers_.end() ? server_state{} : known->second;
            if (it.draining || it.standing == server_standing::held_out)
                continue;
            auto& candidates = (member.leaving ? leaving : services)[it.service];
            candidates.push_back(
                {.choice = {it.id, member.vm, member.run, member.link, member.leaving},
                 .domain = member.domain,
                 .slots = std::max<std::uint32_t>(it.slots, 1),
                 .standing = it.standing});
        }
    }
    for (auto& [service, candidates] : services)
        limit_to_subset(candidates);
    for (auto& [service, candidates] : leaving) {
        limit_to_subset(candidates);
        services[service].insert(services[service].end(), candidates.begin(), candidates.end());
    }
    std::erase_if(closed_gates_, [&](const auto& it) {
        const member_record* member = directory.find(it.first);
        return member == nullptr || member->run != it.second;
    });
    services_ = std::move(services);
    servers_ = std::move(servers);
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
        const bool a_own = a.domain == options_.domain;
        const bool b_own = b.domain == options_.domain;
        return a_own != b_own ? a_own : rank(a) < rank(b);
    });
    // A third of the subset is in other domains, for a failure of the own one.
    const std::size_t own =
        static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](auto& it) {
            return it.domain == options_.domain;
        }));
    const std::size_t others = candidates.size() - own;
    const std::size_t keep_others = std::min(others, options_.subset / 3);
    const std::size_t keep_own = std::min(own, options_.subset - keep_others);
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

// A server on trial gets idempotent requests only. Its gate admits one of them at a time and
// refuses the others as overloaded.
bool router::is_usable(const candidate& it, const route_request& wanted, time_point now) const
{
    if (std::find(wanted.excluded.begin(), wanted.excluded.end(), it.choice.server) !=
        wanted.excluded.end())
        return false;
    if (it.standing == server_standing::on_trial && !wanted.idempotent)
        return false;
    if (unreachable_gates_.contains(it.choice.gate))
        return false;
    const auto closed = closed_gates_.find(it.choice.gate);
    if (it.choice.is_leaving && closed != closed_gates_.end() &&
        closed->second == it.choice.gate_run)
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
                                           time_point now) const
{
    const auto found = services_.find(wanted.service);
    if (found == services_.end())
        return std::nullopt;
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
        out[service] = candidates.size();
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
