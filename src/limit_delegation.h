#pragma once

// Selects the holders of the rate limits where no lease is kept in the store. Every node owns an
// equal share of all contracts and delegates it, for a short time, to the node that a rendezvous
// hash over the members of its failure domain selects. The holders of the domains lend tokens to
// each other, so that few messages cross between domains. A holder may use only the shares that are
// delegated to it at that time, so two holders, as in a network partition or while members join and
// leave, together never use more than the whole.
//
// A node requests tokens from the node to which it delegates, never from one that is only said to
// be a holder: the record of a dead node may outlive it by many seconds. A node is a holder as long
// as any share is delegated to it, also while it delegates its own share to another node.
//
// A delegation is valid from the time of a stamp that the holder itself issued and the delegating
// node sent back, so a delayed message cannot extend it.

#include "limit_holder.h"
#include "member_directory.h"
#include "types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jasminebank {

/// Number of shares that all contracts are divided into.
constexpr std::uint32_t total_shares = 1'000'000;

struct limit_delegation_options {
    limit_peer self;
    failure_domain_id domain{};
    std::uint32_t groups = 1; ///< organisations are divided into this many groups, each
                              ///< with its own holder
    duration ttl = std::chrono::milliseconds(1200); ///< of a delegated share
    duration renew_interval = std::chrono::milliseconds(400);
    /// Validity of the terms that terms() returns; shares that expire sooner are not counted.
    duration terms_ttl = std::chrono::milliseconds(250);
    /// A holder that has answered no renewal for this long, over several paths, is excluded.
    duration unresponsive_after = std::chrono::milliseconds(1000);
    /// An excluded node may become the holder again once it has answered probes for this long.
    duration readmit_after = std::chrono::milliseconds(1000);
    /// No tokens are requested from a holder that has left a renewal unanswered for this long. More
    /// than a renewal interval, so that one lost message does not matter.
    duration unusable_after = std::chrono::milliseconds(600);
    duration member_count_window = std::chrono::seconds(10); ///< nodes that left count this long
};

/// When the holder issued the stamp, by its own clock, and in which run of its process.
struct delegation_stamp {
    incarnation run;
    std::int64_t issued_ns = 0;
};

/// Message from the delegating node to the holder. Without a stamp it delegates nothing and only
/// requests a stamp.
struct delegation {
    std::uint32_t group = 0;
    std::uint32_t share = 0; ///< of `total_shares`
    std::optional<delegation_stamp> stamp{};
};

/// A message to be sent to the node `to`.
struct outgoing_delegation {
    vm_id to;
    delegation body;
};

/// Not thread-safe.
class limit_delegation {
public:
    explicit limit_delegation(const limit_delegation_options& options);

    /// Sets the members of the fleet, including this node.
    void set_members(std::span<const member_record> members, time_point now);
    /// Sets the number of nodes known from another source, such as their entries in the store.
    void set_known_node_count(std::size_t count) { known_node_count_ = count; }
    /// Returns the messages that are due.
    std::vector<outgoing_delegation> tick(time_point now);
    /// Takes the share that the node `from` delegates. Returns a stamp for its next message.
    delegation_stamp receive(vm_id from, const delegation& it, time_point now);
    /// The holder answered with `stamp`, which the next message to it carries. True if a message is
    /// due at once.
    bool stamp_received(vm_id holder, std::uint32_t group, const delegation_stamp& stamp,
                        time_point now);

    /// The node from which this node requests the tokens of the group. Nothing while no holder has
    /// answered yet, or the holder does not answer.
    std::optional<vm_id> usable_holder(std::uint32_t group, time_point now) const;
    /// The likely holder of the group in each other failure domain, in the order of the domains'
    /// ids.
    std::vector<vm_id> lenders(std::uint32_t group) const;
    /// Sets whether a node answers on its link; one that does not is no lender.
    void set_reachable(vm_id vm, bool reachable);
    /// The terms of this node as a holder of the group; nothing if no share is delegated to it.
    std::optional<lease_terms> terms(std::uint32_t group, time_point now) const;
    /// Nodes that are excluded as holders because they do not answer, sorted.
    std::vector<vm_id> unresponsive_nodes() const;
    /// This node's own share, of `total_shares`.
    std::uint32_t own_share() const;

private:
    struct own_delegation {
        vm_id to;
        time_point until{}; // the holder uses the share until then at the latest
        std::optional<delegation_stamp> stamp{};
        time_point stamp_received_at{};
        time_point next_send{};
        std::optional<time_point> unanswered_since{};
    };
    // The holder to which the share is delegated once the current one can no longer use it. Its
    // stamp is requested before, so that the change leaves no time without a holder.
    struct next_delegation {
        vm_id to;
        std::optional<delegation_stamp> stamp{};
        time_point stamp_received_at{};
        time_point next_send{};
    };
    struct received_share {
        std::uint32_t share = 0;
        time_point until{};
    };
    // A node that is excluded as a holder because it does not answer.
    struct exclusion {
        time_point next_probe{};
        std::optional<time_point> probe_sent{}; // not answered yet
        std::optional<time_point> answering_since{};
    };
    struct observed_count {
        std::size_t count = 0;
        time_point seen{};
    };

    vm_id best_candidate(std::span<const vm_id> candidates, std::uint32_t group) const;
    vm_id holder_of(std::uint32_t group) const { return best_candidate(candidates_, group); }
    void mark_unresponsive(time_point now);
    void probe_unresponsive(std::vector<outgoing_delegation>& out, time_point now);
    void readmit_if_answering(vm_id vm, time_point now);
    void request_next_stamp(std::uint32_t group, vm_id holder,
                            std::vector<outgoing_delegation>& out, time_point now);
    void revoke_self_delegation(std::uint32_t group, time_point now);

    const limit_delegation_options options_;
    // Possible holders of the own domain; this node too unless it leaves. Those of all domains if
    // the own one has none.
    std::vector<vm_id> candidates_;
    std::map<failure_domain_id, std::vector<vm_id>> remote_candidates_;
    std::set<vm_id> unreachable_;
    std::map<vm_id, exclusion> unresponsive_;
    std::vector<observed_count> observed_counts_;
    std::size_t known_node_count_ = 1;
    std::vector<own_delegation> own_delegations_;           // by group
    std::vector<next_delegation> next_delegations_;         // by group
    std::vector<std::map<vm_id, received_share>> received_; // by group
};

} // namespace jasminebank
