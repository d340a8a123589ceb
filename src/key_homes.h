#pragma once

// Locates the coordinator of an idempotency key: the lease holder of the key's shard in the first
// failure domain of the configuration, or in the first one that lies in the regions of the key.

#include "fleet_config.h"
#include "limit_lease_service.h"
#include "limit_placement.h"
#include "member_directory.h"
#include "once_service.h"
#include "region_map.h"

#include <array>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Thread-safe.
class key_coordinators {
public:
    key_coordinators(vm_id self, failure_domain_id domain, region_map regions = {});

    /// Puts a configuration into force at `now`. If the regions of an organisation or of a route
    /// have changed, another node may have granted keys that this node coordinates now.
    void set_config(std::shared_ptr<const fleet_config> config, time_point now);
    void set_directory(const member_directory& directory);
    /// Records this node's own lease terms for a shard, which changed at `now`.
    void set_terms(const shard_terms& it, time_point now);

    /// Returns the coordinator of a key, or nullopt if no node is known to hold the lease of its
    /// shard.
    std::optional<key_coordinator> find(const idempotency_key& key) const;

private:
    // This node's lease of one shard.
    struct own_shard_state {
        shard_terms terms;
        time_point epoch_began; // when this node first learnt of the epoch
    };

    std::optional<key_coordinator> own_coordinator(const idempotency_key& key,
                                                   std::uint32_t shard) const;
    std::optional<std::uint32_t> domain_index_of(const idempotency_key& key) const;
    bool may_coordinate(const idempotency_key& key, failure_domain_id domain) const;

    const vm_id self_;
    const failure_domain_id domain_;
    const region_map regions_;
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_config> config_;
    /// Hash of the regions that apply to each organisation's keys, and when they last changed.
    std::unordered_map<organisation_id, std::uint64_t> restrictions_;
    std::unordered_map<organisation_id, time_point> placed_;
    std::vector<member_record> members_;
    std::array<own_shard_state, limit_shards> own_{};
};

} // namespace jasminebank
