#include "key_homes.h"

#include <algorithm>

namespace jasminebank {

// Index of the failure domain whose holders keep the registers.
constexpr std::uint32_t home_domain = 0;

key_homes::key_homes(vm_id self, failure_domain_id domain) : self_(self), domain_(domain) {}

void key_homes::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    config_ = std::move(config);
}

void key_homes::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_ = directory.members();
}

// The time of the first word of an epoch is later than its beginning, which is the stricter.
void key_homes::set_terms(const shard_terms& it, time_point now)
{
    const std::lock_guard lock(mutex_);
    own_shard& own = own_.at(it.shard);
    if (own.terms.epoch != it.epoch)
        own.since = now;
    own.terms = it;
}

std::optional<once_home> key_homes::own_home(std::uint32_t shard) const
{
    const own_shard& own = own_.at(shard);
    const auto place = position_of(*config_, domain_);
    if (own.terms.epoch == 0 || own.terms.terms.share == 0 || !place || place->index != home_domain)
        return std::nullopt;
    return once_home{.shard = shard,
                     .vm = self_,
                     .epoch = own.terms.epoch,
                     .is_self = true,
                     .until = own.terms.terms.until,
                     .since = own.since};
}

std::optional<once_home> key_homes::find(const once_key& key) const
{
    const std::lock_guard lock(mutex_);
    if (config_ == nullptr)
        return std::nullopt;
    const std::uint32_t shard = shard_of(key.organisation, limit_shards);
    if (auto own = own_home(shard))
        return own;
    for (const shard_holder& it : find_holders(shard, *config_, members_)) {
        const auto member = std::ranges::find(members_, it.vm, &member_record::vm);
        if (it.domain == home_domain && it.vm != self_ && member != members_.end())
            return once_home{.shard = shard, .vm = it.vm, .link = member->link, .epoch = it.epoch};
    }
    return std::nullopt;
}

} // namespace jasminebank
