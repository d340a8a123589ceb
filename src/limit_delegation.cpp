#include "limit_delegation.h"

#include <algorithm>
#include <iterator>

namespace jasminebank {

// Salt of the rendezvous hash that selects the holder of a group.
constexpr std::uint64_t holder_salt = 0x6c696d6974;

limit_delegation::limit_delegation(const limit_delegation_options& options)
    : options_(options), candidates_{options.self.vm}, own_delegations_(options.groups),
      next_delegations_(options.groups), received_(options.groups)
{
}

void limit_delegation::set_members(std::span<const member_record> members, time_point now)
{
    candidates_.clear();
    remote_candidates_.clear();
    std::vector<vm_id> all;
    for (const member_record& it : members) {
        if (it.leaving)
            continue;
        all.push_back(it.vm);
        (it.domain == options_.domain ? candidates_ : remote_candidates_[it.domain])
            .push_back(it.vm);
    }
    if (candidates_.empty())
        candidates_ = std::move(all);
    std::erase_if(unresponsive_, [this](const auto& it) {
        return std::ranges::find(candidates_, it.first) == candidates_.end();
    });
    std::erase_if(observed_counts_, [&](const observed_count& it) {
        return it.count <= members.size() || now - it.seen > options_.member_count_window;
    });
    observed_counts_.push_back({.count = members.size(), .seen = now});
}

std::vector<vm_id> limit_delegation::unresponsive_nodes() const
{
    std::vector<vm_id> out;
    for (const auto& [vm, it] : unresponsive_)
        out.push_back(vm);
    return out;
}

std::uint32_t limit_delegation::own_share() const
{
    std::size_t most = std::max<std::size_t>(known_node_count_, 1);
    for (const observed_count& it : observed_counts_)
        most = std::max(most, it.count);
    return static_cast<std::uint32_t>(total_shares / most);
}

std::vector<vm_id> limit_delegation::lenders(std::uint32_t group) const
{
    std::vector<vm_id> out;
    for (const auto& [domain, candidates] : remote_candidates_) {
        std::vector<vm_id> reachable;
        std::ranges::copy_if(candidates, std::back_inserter(reachable),
                             [this](vm_id it) { return !unreachable_.contains(it); });
        if (const vm_id best = best_candidate(reachable, group); best != vm_id{})
            out.push_back(best);
    }
    return out;
}

void limit_delegation::set_reachable(vm_id vm, bool reachable)
{
    if (reachable)
        unreachable_.erase(vm);
    else
        unreachable_.insert(vm);
}

vm_id limit_delegation::best_candidate(std::span<const vm_id> candidates, std::uint32_t group) const
{
    vm_id out{};
    std::uint64_t best = 0;
    for (const vm_id it : candidates) {
        if (unresponsive_.contains(it))
            continue;
        const std::uint64_t rank = mix(mix(it.value, holder_salt), group);
        if (rank >= best) {
            best = rank;
            out = it;
        }
    }
    return out;
}

// A share that this node delegated to itself can be revoked at once, but terms() may have counted
// it just before, and those terms stay valid until they expire.
void limit_delegation::revoke_self_delegation(std::uint32_t group, time_point now)
{
    if (own_delegations_[group].to == options_.self.vm &&
        received_[group].erase(options_.self.vm) > 0)
        own_delegations_[group].until = now + options_.terms_ttl;
}

// All nodes that delegate to a crashed holder detect it at about the same time, long before the
// membership removes it.
void limit_delegation::mark_unresponsive(time_point now)
{
    for (own_delegation& own : own_delegations_) {
        if (!own.unanswered_since || now - *own.unanswered_since < options_.unresponsive_after)
            continue;
        unresponsive_.try_emplace(own.to, exclusion{.next_probe = now});
        own.unanswered_since.reset();
    }
}

void limit_delegation::probe_unresponsive(std::vector<outgoing_delegation>& out, time_point now)
{
    for (auto& [vm, it] : unresponsive_) {
        if (now < it.next_probe)
            continue;
        if (it.probe_sent)
            it.answering_since.reset();
        it.probe_sent = now;
        it.next_probe = now + options_.renew_interval;
        out.push_back({.to = vm, .body = {.group = 0, .share = 0}});
    }
}

// A node that answers now and then would otherwise be selected again and again, and each time its
// exclusion would cost the tokens of several seconds.
void limit_delegation::readmit_if_answering(vm_id vm, time_point now)
{
    const auto found = unresponsive_.find(vm);
    if (found == unresponsive_.end())
        return;
    exclusion& it = found->second;
    it.probe_sent.reset();
    if (!it.answering_since)
        it.answering_since = now;
    if (now - *it.answering_since >= options_.readmit_after)
        unresponsive_.erase(found);
}

void limit_delegation::request_next_stamp(std::uint32_t group, vm_id holder,
                                          std::vector<outgoing_delegation>& out, time_point now)
{
    next_delegation& next = next_delegations_[group];
    if (next.to != holder)
        next = {.to = holder};
    if (holder == options_.self.vm || now < next.next_send)
        return;
    next.next_send = now + options_.renew_interval;
    out.push_back({.to = holder, .body = {.group = group, .share = 0}});
}

// A share is delegated to another holder only when the previous one can no longer use it.
std::vector<outgoing_delegation> limit_delegation::tick(time_point now)
{
    std::vector<outgoing_delegation> out;
    mark_unresponsive(now);
    probe_unresponsive(out, now);
    for (std::uint32_t group = 0; group < options_.groups; ++group) {
        own_delegation& own = own_delegations_[group];
        const vm_id holder = holder_of(group);
        if (holder == vm_id{})
            continue;
        if (own.to != holder) {
            revoke_self_delegation(group, now);
            if (now < own.until) {
                request_next_stamp(group, holder, out, now);
                continue;
            }
            const next_delegation& next = next_delegations_[group];
            own = {.to = holder};
            if (next.to == holder) {
                own.stamp = next.stamp;
                own.stamp_received_at = next.stamp_received_at;
            }
            next_delegations_[group] = {};
        }
        if (now < own.next_send)
            continue;
        own.next_send = now + options_.renew_interval;
        if (holder == options_.self.vm) {
            received_[group][holder] = {.share = own_share(), .until = now + options_.ttl};
            own.until = now + options_.ttl;
            continue;
        }
        delegation body{.group = group, .share = own_share(), .stamp = own.stamp};
        if (own.stamp)
            own.until =
                std::max(own.until, own.stamp_received_at + with_drift_margin(options_.ttl));
        else
            body.share = 0;
        if (!own.unanswered_since)
            own.unanswered_since = now;
        out.push_back({.to = holder, .body = body});
    }
    return out;
}

delegation_stamp limit_delegation::receive(vm_id from, const delegation& it, time_point now)
{
    const delegation_stamp fresh{.run = options_.self.run,
                                 .issued_ns = now.time_since_epoch().count()};
    if (it.group >= options_.groups || !it.stamp || it.stamp->run != options_.self.run ||
        it.stamp->issued_ns > fresh.issued_ns || it.share > total_shares)
        return fresh;
    const time_point until = time_point(duration(it.stamp->issued_ns)) + options_.ttl;
    received_share& known = received_[it.group][from];
    if (until >= known.until)
        known = {.share = it.share, .until = until};
    return fresh;
}

// The first stamp of a new holder is used at once, so that it receives the share without delay.
bool limit_delegation::stamp_received(vm_id holder, std::uint32_t group,
                                      const delegation_stamp& stamp, time_point now)
{
    readmit_if_answering(holder, now);
    if (group >= options_.groups)
        return false;
    if (next_delegation& next = next_delegations_[group]; next.to == holder) {
        next.stamp = stamp;
        next.stamp_received_at = now;
    }
    own_delegation& own = own_delegations_[group];
    if (own.to != holder)
        return false;
    own.unanswered_since.reset();
    const bool is_first = !own.stamp;
    if (is_first)
        own.next_send = now;
    own.stamp = stamp;
    own.stamp_received_at = now;
    return is_first;
}

std::optional<vm_id> limit_delegation::usable_holder(std::uint32_t group, time_point now) const
{
    const own_delegation& own = own_delegations_[group];
    if (own.to == options_.self.vm && received_[group].contains(own.to))
        return own.to;
    const bool is_unanswered =
        own.unanswered_since && now - *own.unanswered_since >= options_.unusable_after;
    if (own.stamp && !is_unanswered && !unresponsive_.contains(own.to))
        return own.to;
    // The shares of other nodes may have reached the next holder already.
    const next_delegation& next = next_delegations_[group];
    return next.stamp ? std::optional(next.to) : std::nullopt;
}

// Each node's share is rounded down. One unit for each of them makes the shares of all nodes count
// as the whole again, and adds less than one 256th over all holders.
std::optional<lease_terms> limit_delegation::terms(std::uint32_t group, time_point now) const
{
    std::uint64_t sum = 0;
    for (const auto& [vm, it] : received_[group]) {
        if (it.share > 0 && it.until >= now + options_.terms_ttl)
            sum += it.share + 1;
    }
    if (sum == 0)
        return std::nullopt;
    sum = std::min<std::uint64_t>(sum, total_shares);
    return lease_terms{.share = static_cast<std::uint32_t>(sum * whole_share / total_shares),
                       .until = now + options_.terms_ttl};
}

} // namespace jasminebank
