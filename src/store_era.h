#pragma once

// Detects that the store was restored from an older copy of itself. What it had acknowledged since
// that copy is lost, leases included, and revisions are given out again. Its operators write again
// what they had written; nodes have to do the same.

#include "types.h"

#include <cstdint>
#include <optional>

namespace jasminebank {

/// Not thread-safe.
class store_era {
public:
    /// Takes the era that the store told in an answer, a number that rises with each restore.
    /// Returns true if the store was restored since the previous answer.
    bool observe(std::uint64_t era, time_point now);
    /// Whether the configuration in the store counts as the newest. Not shortly after a restore: a
    /// newer one may not have been written again yet.
    bool is_settled(time_point now) const;

private:
    std::optional<std::uint64_t> era_;
    std::optional<time_point> restored_at_;
};

} // namespace jasminebank
