#pragma once

// Which peers a node asks after its start for what they know of its earlier runs and of requests
// that crash backend servers. Those that have run for longest are asked first: they know most.

#include "member_directory.h"
#include "types.h"

#include <cstddef>
#include <set>
#include <vector>

namespace jasminebank {

struct recall_options {
    vm_id self;
    incarnation run; ///< of this node; nodes that started later are asked only if there is no other
    std::size_t wanted_peers = 3; ///< whose answers are enough, since each may have missed some
};

/// Not thread-safe.
class recall_plan {
public:
    explicit recall_plan(const recall_options& options) : options_(options) {}

    /// Peers to ask now. Each is returned once, and at most `wanted_peers` are asked at a time.
    std::vector<member_record> next_peers(const member_directory& directory);
    /// A peer that was asked has answered or failed to.
    void finished(vm_id peer, bool answered);
    bool is_complete() const { return answers_ >= options_.wanted_peers; }

private:
    std::vector<member_record> candidates(const member_directory& directory,
                                          bool started_earlier) const;

    const recall_options options_;
    std::set<vm_id> asked_;
    std::size_t pending_ = 0;
    std::size_t answers_ = 0;
};

} // namespace jasminebank
