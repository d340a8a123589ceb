#pragma once

// Placement of the rate limit shards: which node of a failure domain should hold a shard, and which
// nodes hold it according to their member records.

#include "fleet_config.h"
#include "member_directory.h"

#include <optional>
#include <span>
#include <string>

namespace jasminebank {

/// Number of shards in each failure domain. Each organisation belongs to one shard.
constexpr std::uint32_t limit_shards = 16;

/// Index of a failure domain, and the number of domains that the contracts are divided among.
struct domain_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    bool operator==(const domain_position&) const = default;
};

/// The node that holds a shard in one failure domain.
struct shard_holder {
    std::uint32_t domain = 0; ///< index of the failure domain
    vm_id vm;
    std::uint64_t epoch = 0;
};

/// Nothing if the configuration lists failure domains but not this one. If it lists none, all nodes
/// count as one domain.
std::optional<domain_position> position_of(const fleet_config& config, failure_domain_id domain);

/// Rank of `self` for this shard among the nodes of its failure domain that are not leaving, by
/// rendezvous hashing. The node of rank 0 should hold the shard. Nothing if `self` is leaving or
/// its domain is not listed.
std::optional<std::uint32_t> shard_rank(std::uint32_t shard, const fleet_config& config,
                                        std::span<const member_record> members,
                                        const member_record& self);

/// The holder of the shard in each failure domain that has one, sorted by index of the domain. If
/// several nodes announce the shard, the one with the highest epoch counts.
std::vector<shard_holder> find_holders(std::uint32_t shard, const fleet_config& config,
                                       std::span<const member_record> members);

} // namespace jasminebank
