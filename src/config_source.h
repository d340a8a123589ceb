#pragma once

// Decides from which peers a node fetches a newer configuration. One node of each failure domain
// reads it from the store, so it soon arrives without crossing to another domain.

#include "types.h"

#include <cstdint>
#include <optional>

namespace jasminebank {

/// Not thread-safe.
class config_source {
public:
    /// A peer told that it has `generation`, which is newer than the one in force here, 0 if there
    /// is none yet. Returns whether to fetch it from this peer now: from another domain only if the
    /// own domain has not provided it for a while, or if this node has no configuration.
    bool may_fetch(std::uint64_t generation, std::uint64_t in_force, bool is_own_domain,
                   time_point now);

private:
    std::optional<time_point> newer_since_; // a newer configuration than `in_force_` is known
    std::uint64_t in_force_ = 0;
};

} // namespace jasminebank
