#include "domain_contacts.h"

#include <algorithm>
#include <map>

namespace jasminebank {

namespace {

bool is_assigned(const member_record& target, std::span<const vm_id> near_nodes, vm_id self,
                 std::size_t pingers)
{
    const std::uint64_t own_rank = mix(self.value, target.vm.value);
    const auto higher = std::ranges::count_if(near_nodes, [&](vm_id it) {
        return it != self && mix(it.value, target.vm.value) > own_rank;
    });
    return static_cast<std::size_t>(higher) < pingers;
}

} // namespace

std::vector<vm_id> ping_targets(std::span<const member_record> members, const member_record& self,
                                std::size_t pingers, const far_test& is_far)
{
    std::vector<vm_id> own_domain;
    std::vector<vm_id> own_region;
    for (const member_record& it : members) {
        if (it.domain == self.domain && !it.leaving)
            own_domain.push_back(it.vm);
        if (!it.leaving && !is_far(it.domain))
            own_region.push_back(it.vm);
    }
    std::vector<vm_id> out;
    std::map<failure_domain_id, std::vector<vm_id>> remote;
    std::map<failure_domain_id, bool> has_target;
    for (const member_record& it : members) {
        if (it.vm == self.vm)
            continue;
        if (pingers == 0 || it.domain == self.domain) {
            out.push_back(it.vm);
            continue;
        }
        remote[it.domain].push_back(it.vm);
        const auto& near_nodes = is_far(it.domain) ? own_region : own_domain;
        if (is_assigned(it, near_nodes, self.vm, pingers)) {
            out.push_back(it.vm);
            has_target[it.domain] = true;
        }
    }
    for (const auto& [domain, vms] : remote) {
        if (!has_target[domain])
            out.push_back(*std::ranges::max_element(
                vms, {}, [&](vm_id it) { return mix(self.vm.value, it.value); }));
    }
    return out;
}

std::size_t domain_size(std::span<const member_record> members, failure_domain_id domain)
{
    return static_cast<std::size_t>(
        std::ranges::count(members, domain, [](const member_record& it) { return it.domain; }));
}

std::vector<const member_record*> random_domain_members(std::span<const member_record> members,
                                                        const member_record& self,
                                                        std::size_t count, std::uint64_t random)
{
    std::vector<const member_record*> own;
    for (const member_record& it : members) {
        if (it.domain == self.domain && it.vm != self.vm)
            own.push_back(&it);
    }
    const std::size_t n = std::min(count, own.size());
    for (std::size_t at = 0; at < n; ++at)
        std::swap(own[at], own[at + mix(random, at) % (own.size() - at)]);
    own.resize(n);
    return own;
}

std::vector<const member_record*>
one_member_of_each_other_domain(std::span<const member_record> members, const member_record& self,
                                std::uint64_t random)
{
    std::map<failure_domain_id, std::vector<const member_record*>> domains;
    for (const member_record& it : members) {
        if (it.domain != self.domain)
            domains[it.domain].push_back(&it);
    }
    std::vector<const member_record*> out;
    out.reserve(domains.size());
    for (const auto& [id, it] : domains)
        out.push_back(it[mix(random, id.value) % it.size()]);
    return out;
}

} // namespace jasminebank
