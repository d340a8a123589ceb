#pragma once

// Where the holders of the limits stand: which node should hold a shard of its failure domain, and
// which nodes do, by what they announce in their member records.

#include "fleet_config.h"
#include "member_directory.h"

#include <optional>
#include <span>
#include <string>

namespace jasminebank {

/// Shards that the organisations are spread over, in each failure domain.
constexpr std::uint32_t limit_shards = 16;

/// Place of a failure domain among those that share the contracts.
struct domain_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    bool operator==(const domain_position&) const = default;
};

/// A node that holds a shard in one failure domain.
struct shard_holder {
    std::uint32_t domain = 0; ///< index of the failure domain
    vm_id vm;
    std::uint64_t epoch = 0;
};

/// Nothing when the configuration lists failure domains and not this one. With an empty list all
/// nodes are of one domain.
std::optional<domain_position> position_of(const fleet_config& config, failure_domain_id domain);

/// Rank of `self` among the nodes of its failure domain that may hold this shard, by rendezvous
/// hash: 0 should hold it. Nothing if `self` is not among them, or it is leaving.
std::optional<std::uint32_t> shard_rank(std::uint32_t shard, const fleet_config& config,
                                        std::span<const member_record> members,
                                        const member_record& self);

/// The holder of the shard in each failure domain that has one, by index of the domain.
std::vector<shard_holder> find_holders(std::uint32_t shard, const fleet_config& config,
                                       std::span<const member_record> members);

} // namespace jasminebank
