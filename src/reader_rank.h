#pragma once

// Ranks the nodes of a failure domain as readers of the store: those with the fastest links first,
// since a reader also sends the configuration to the others, and among equals by rendezvous hash.
// All nodes of the domain compute the same order from the same members. Where their directories
// differ, more or fewer nodes read the store, which changes its load but not safety.

#include "member_directory.h"
#include "types.h"

#include <cstddef>
#include <span>
#include <vector>

namespace jasminebank {

struct reader_rank {
    std::size_t higher = 0;      ///< nodes of the domain that come first
    std::size_t domain_size = 1; ///< nodes of the domain that do not leave, with this one
};

/// The rank of `self` in its domain. Nodes that leave are not counted.
reader_rank rank_reader(std::span<const member_record> members, const member_record& self);

/// The first reader of each domain other than that of `self`.
std::vector<const member_record*>
first_reader_of_each_other_domain(std::span<const member_record> members,
                                  const member_record& self);

} // namespace jasminebank
