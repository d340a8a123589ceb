#pragma once

// Locates the coordinator of an idempotency key: the lease holder of the key's shard in the first
// failure domain of the configuration.

#include "fleet_config.h"
#include "limit_lease_service.h"
#include "limit_placement.h"
#include "member_directory.h"
#include "once_service.h"

#include <array>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace jasminebank {

/// Thread-safe.
class key_coordinators {
public:
    key_coordinators(vm_id self, failure_domain_id domain);

    void set_config(std::shared_ptr<const fleet_config> config);
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

    std::optional<key_coordinator> own_coordinator(std::uint32_t shard) const;

    const vm_id self_;
    const failure_domain_id domain_;
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_config> config_;
    std::vector<member_record> members_;
    std::array<own_shard_state, limit_shards> own_{};
};

} // namespace jasminebank
