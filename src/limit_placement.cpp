#include "limit_placement.h"

#include <algorithm>

namespace jasminebank {

std::optional<domain_position> position_of(const fleet_config& config, failure_domain_id domain)
{
    const std::vector<std::string>& names = config.failure_domains;
    if (names.empty())
        return domain_position{};
    const auto it = std::ranges::find_if(
        names, [&](const std::string& name) { return id_of<failure_domain_id>(name) == domain; });
    if (it == names.end())
        return std::nullopt;
    return domain_position{.index = static_cast<std::uint32_t>(it - names.begin()),
                           .count = static_cast<std::uint32_t>(names.size())};
}

// A member that joins or leaves doesn't change the relative order of the others.
std::optional<std::uint32_t> shard_rank(std::uint32_t shard, const fleet_config& config,
                                        std::span<const member_record> members,
                                        const member_record& self)
{
    if (self.leaving || !position_of(config, self.domain))
        return std::nullopt;
    const std::uint64_t own = mix(self.vm.value, shard);
    std::uint32_t rank = 0;
    for (const member_record& it : members) {
        const bool is_candidate = !it.leaving && it.vm != self.vm &&
                                  (config.failure_domains.empty() || it.domain == self.domain);
        if (is_candidate && mix(it.vm.value, shard) > own)
            ++rank;
    }
    return rank;
}

std::vector<shard_holder> find_holders(std::uint32_t shard, const fleet_config& config,
                                       std::span<const member_record> members)
{
    std::vector<shard_holder> out;
    for (const member_record& member : members) {
        const auto held = std::ranges::find(member.shards, shard, &held_shard::shard);
        const auto position = position_of(config, member.domain);
        if (held == member.shards.end() || !position)
            continue;
        const auto known = std::ranges::find(out, position->index, &shard_holder::domain);
        if (known == out.end())
            out.push_back({.domain = position->index, .vm = member.vm, .epoch = held->epoch});
        else if (known->epoch < held->epoch)
            *known = {.domain = position->index, .vm = member.vm, .epoch = held->epoch};
    }
    std::ranges::sort(out, {}, &shard_holder::domain);
    return out;
}

} // namespace jasminebank
