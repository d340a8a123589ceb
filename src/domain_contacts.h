#pragma once

// Selects with which members a node keeps in contact so that few messages cross between failure
// domains: all members of its own domain, and a few of each other one. All nodes of a domain
// compute the same assignment from the same members; where they differ, a member is pinged by more
// or fewer nodes for a while.

#include "member_directory.h"
#include "types.h"

#include <functional>
#include <span>
#include <vector>

namespace jasminebank {

/// Whether a failure domain is in another region than that of this node.
using far_test = std::function<bool(failure_domain_id)>;

/// The members that `self` pings: those of its domain, and each member of another domain for which
/// it is one of the `pingers` nodes of its domain by rendezvous hash, but at least one of each
/// domain, so that every node can tell whether it is cut off from it. For a member of another
/// region they are `pingers` nodes of the own region. All members if `pingers` is 0.
std::vector<vm_id> ping_targets(
    std::span<const member_record> members, const member_record& self, std::size_t pingers,
    const far_test& is_far = [](auto) { return false; });

/// Number of members of a domain.
std::size_t domain_size(std::span<const member_record> members, failure_domain_id domain);

/// At most `count` different members of the domain of `self`, without `self`. `random` is uniformly
/// distributed.
std::vector<const member_record*> random_domain_members(std::span<const member_record> members,
                                                        const member_record& self,
                                                        std::size_t count, std::uint64_t random);

/// A random member of each domain other than that of `self`.
std::vector<const member_record*>
one_member_of_each_other_domain(std::span<const member_record> members, const member_record& self,
                                std::uint64_t random);

} // namespace jasminebank
