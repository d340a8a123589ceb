#include "key_homes.h"

#include <algorithm>

namespace jasminebank {

// Time that a changed configuration takes to be in force on every node that serves requests: a node
// that is cut off from the others stops serving after 5 s. Nodes with the previous configuration
// still claim keys at the previous coordinators.
constexpr duration config_spread_time = std::chrono::seconds(10);

key_coordinators::key_coordinators(vm_id self, failure_domain_id domain, region_map regions)
    : self_(self), domain_(domain), regions_(std::move(regions))
{
}

static std::uint64_t hash_regions(std::uint64_t seed, const std::vector<region_id>& regions)
{
    std::uint64_t out = seed;
    for (const region_id it : regions)
        out = mix(out, it.value);
    return out;
}

static std::uint64_t hash_route_regions(const fleet_config& config)
{
    std::uint64_t out = 0;
    for (const route_config& it : config.routes) {
        if (!it.regions.empty())
            out ^= hash_regions(it.id.value, it.regions);
    }
    return out;
}

// An organisation that was not configured before has no earlier keys.
void key_coordinators::set_config(std::shared_ptr<const fleet_config> config, time_point now)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t route_regions = hash_route_regions(*config);
    for (const organisation_config& it : config->organisations) {
        const std::uint64_t restriction = hash_regions(route_regions, it.regions);
        const auto [known, is_new] = restrictions_.try_emplace(it.id, restriction);
        if (!is_new && known->second != restriction)
            placed_[it.id] = now + config_spread_time;
        known->second = restriction;
    }
    config_ = std::move(config);
}

bool key_coordinators::may_coordinate(const idempotency_key& key, failure_domain_id domain) const
{
    return key.regions.empty() || regions_.is_allowed(domain, key.regions);
}

// Index, in the configuration, of the failure domain whose lease holders coordinate the key;
// nullopt if no domain may. Without listed domains, all nodes count as domain 0.
std::optional<std::uint32_t> key_coordinators::domain_index_of(const idempotency_key& key) const
{
    const std::vector<std::string>& names = config_->failure_domains;
    if (names.empty())
        return 0;
    const auto it = std::ranges::find_if(names, [&](const std::string& name) {
        return may_coordinate(key, id_of<failure_domain_id>(name));
    });
    if (it == names.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(it - names.begin());
}

void key_coordinators::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_ = directory.members();
}

// `now`, when this node first learns of an epoch, is later than the start of the epoch. The later
// time is the stricter one: keys must then prove a later creation time.
void key_coordinators::set_terms(const shard_terms& it, time_point now)
{
    const std::lock_guard lock(mutex_);
    own_shard_state& own = own_.at(it.shard);
    if (own.terms.epoch != it.epoch)
        own.epoch_began = now;
    own.terms = it;
}

std::optional<key_coordinator> key_coordinators::own_coordinator(const idempotency_key& key,
                                                                 std::uint32_t shard) const
{
    const own_shard_state& own = own_.at(shard);
    const auto place = position_of(*config_, domain_);
    if (own.terms.epoch == 0 || own.terms.terms.share == 0 || !place ||
        place->index != domain_index_of(key) || !may_coordinate(key, domain_))
        return std::nullopt;
    const auto placed = placed_.find(key.organisation);
    return key_coordinator{.shard = shard,
                           .vm = self_,
                           .epoch = own.terms.epoch,
                           .is_self = true,
                           .lease_until = own.terms.terms.until,
                           .lease_began = own.epoch_began,
                           .placed = placed == placed_.end() ? std::nullopt
                                                             : std::optional(placed->second)};
}

std::optional<key_coordinator> key_coordinators::find(const idempotency_key& key) const
{
    const std::lock_guard lock(mutex_);
    if (config_ == nullptr)
        return std::nullopt;
    const std::uint32_t shard = shard_of(key.organisation, limit_shards);
    if (auto own = own_coordinator(key, shard))
        return own;
    const auto domain_index = domain_index_of(key);
    for (const shard_holder& it : find_holders(shard, *config_, members_)) {
        const auto member = std::ranges::find(members_, it.vm, &member_record::vm);
        if (it.domain == domain_index && it.vm != self_ && member != members_.end() &&
            may_coordinate(key, member->domain))
            return key_coordinator{
                .shard = shard, .vm = it.vm, .link = member->link, .epoch = it.epoch};
    }
    return std::nullopt;
}

} // namespace jasminebank
