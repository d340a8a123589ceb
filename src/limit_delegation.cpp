#include "limit_delegation.h"

#include <algorithm>

namespace jasminebank {

// Salt of the rendezvous hash that selects the holder of a group.
constexpr std::uint64_t holder_salt = 0x6c696d6974;

limit_delegation::limit_delegation(const limit_delegation_options& options)
    : options_(options), candidates_{options.self.vm}, own_delegations_(options.groups),
      received_(options.groups)
{
}

void limit_delegation::set_members(std::span<const member_record> members, time_point now)
{
    candidates_.clear();
    for (const member_record& it : members) {
        if (!it.leaving)
            candidates_.push_back(it.vm);
    }
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
    for (const auto& [vm, next] : unresponsive_)
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

vm_id limit_delegation::holder_of(std::uint32_t group) const
{
    vm_id out{};
    std::uint64_t best = 0;
    for (const vm_id it : candidates_) {
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
        unresponsive_.try_emplace(own.to, now);
        own.unanswered_since.reset();
    }
}

void limit_delegation::probe_unresponsive(std::vector<outgoing_delegation>& out, time_point now)
{
    for (auto& [vm, next] : unresponsive_) {
        if (now < next)
            continue;
        next = now + options_.renew_interval;
        out.push_back({.to = vm, .body = {.group = 0, .share = 0}});
    }
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
            if (now < own.until)
                continue;
            own = {.to = holder};
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
void limit_delegation::stamp_received(vm_id holder, std::uint32_t group,
                                      const delegation_stamp& stamp, time_point now)
{
    unresponsive_.erase(holder);
    if (group >= options_.groups || own_delegations_[group].to != holder)
        return;
    own_delegation& own = own_delegations_[group];
    own.unanswered_since.reset();
    if (!own.stamp)
        own.next_send = now;
    own.stamp = stamp;
    own.stamp_received_at = now;
}

std::optional<lease_terms> limit_delegation::terms(std::uint32_t group, time_point now) const
{
    if (holder_of(group) != options_.self.vm)
        return std::nullopt;
    std::uint64_t sum = 0;
    for (const auto& [vm, it] : received_[group]) {
        if (it.until >= now + options_.terms_ttl)
            sum += it.share;
    }
    sum = std::min<std::uint64_t>(sum, total_shares);
    // Compensates for the rounding down of each node's share, so that the shares of all nodes
    // together count as the whole.
    constexpr std::uint64_t rounding = 1000;
    return lease_terms{
        .share = static_cast<std::uint32_t>((sum + rounding) * whole_share / total_shares),
        .until = now + options_.terms_ttl};
}

} // namespace jasminebank
