#pragma once

// Remembers at which revision of the store a node last read the configuration. While the store is
// still at that revision, nothing has changed: the read is confirmed without a transfer of the
// value, which may be large and cross the link between regions.

#include "store_messages.h"

#include <cstdint>
#include <optional>

namespace jasminebank {

/// A state of the store. A restore from an older copy gives revisions out again, in a later era.
struct store_stamp {
    std::uint64_t era = 0;
    store_revision revision = 0;
    bool operator==(const store_stamp&) const = default;
};

/// Not thread-safe.
class store_snapshot {
public:
    /// The value read at `stamp` is in force here, or is not: it is invalid or older. A revision of
    /// 0 is unknown, and then each later read transfers the value.
    void record(store_stamp stamp, bool is_in_force)
    {
        is_in_force_ = is_in_force;
        read_at_.reset();
        if (stamp.revision > 0)
            read_at_ = stamp;
    }
    /// Whether a read has been recorded, so that it is worth asking for the store's revision.
    bool is_known() const { return read_at_.has_value(); }
    /// Whether nothing in the store has changed since the read.
    bool is_current(store_stamp now) const { return read_at_ == now; }
    bool is_in_force() const { return is_in_force_; }

private:
    std::optional<store_stamp> read_at_;
    bool is_in_force_ = false;
};

} // namespace jasminebank
