#include "key_homes.h"

#include <algorithm>

namespace jasminebank {

// Index, in the configuration, of the failure domain whose lease holders coordinate idempotency
// keys.
constexpr std::uint32_t coordinator_domain = 0;

key_coordinators::key_coordinators(vm_id self, failure_domain_id domain)
    : self_(self), domain_(domain)
{
}

void key_coordinators::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    config_ = std::move(config);
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

std::optional<key_coordinator> key_coordinators::own_coordinator(std::uint32_t shard) const
{
    const own_shard_state& own = own_.at(shard);
    const auto place = position_of(*config_, domain_);
    if (own.terms.epoch == 0 || own.terms.terms.share == 0 || !place ||
        place->index != coordinator_domain)
        return std::nullopt;
    return key_coordinator{.shard = shard,
                           .vm = self_,
                           .epoch = own.terms.epoch,
                           .is_self = true,
                           .lease_until = own.terms.terms.until,
                           .lease_began = own.epoch_began};
}

std::optional<key_coordinator> key_coordinators::find(const idempotency_key& key) const
{
    const std::lock_guard lock(mutex_);
    if (config_ == nullptr)
        return std::nullopt;
    const std::uint32_t shard = shard_of(key.organisation, limit_shards);
    if (auto own = own_coordinator(shard))
        return own;
    for (const shard_holder& it : find_holders(shard, *config_, members_)) {
        const auto member = std::ranges::find(members_, it.vm, &member_record::vm);
        if (it.domain == coordinator_domain && it.vm != self_ && member != members_.end())
            return key_coordinator{
                .shard = shard, .vm = it.vm, .link = member->link, .epoch = it.epoch};
    }
    return std::nullopt;
}

} // namespace jasminebank
