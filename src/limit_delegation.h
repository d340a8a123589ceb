#pragma once

// Who holds the buckets of the limits where no mandate is kept in the store. Every node owns an
// equal share of all contracts and lends it, for a short time, to the node that all should agree
// on. A holder may use only the shares that are lent to it now, so two holders, in a parted fleet
// or while members come and go, never use more than the whole together.
//
// Time is counted from a stamp that the holder itself issued and the lender sent back: a delayed
// message lends nothing.

#include "limit_holder.h"
#include "member_directory.h"
#include "types.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace jasminebank {

/// The whole of all contracts, in which shares are counted.
constexpr std::uint32_t total_shares = 1'000'000;

struct limit_delegation_options {
    limit_peer self;
    std::uint32_t groups = 1; ///< organisations are spread over this many holders
    duration ttl = std::chrono::milliseconds(1200); ///< how long a share is lent
    duration renew_interval = std::chrono::milliseconds(400);
    /// For how long a terms' end lies ahead; shares that end sooner are not counted.
    duration terms_ttl = std::chrono::milliseconds(250);
    /// A holder that leaves renewals without an answer for this long, over several ways, is passed
    /// over until it answers again.
    duration unresponsive_after = std::chrono::milliseconds(1000);
    duration member_count_window = std::chrono::seconds(10); ///< nodes that left count so long
};

/// When the holder issued a stamp, by its own clock, and in which run.
struct delegation_stamp {
    incarnation run;
    std::int64_t issued_ns = 0;
};

/// Lender to holder. Without a stamp it only asks for one.
struct delegation {
    std::uint32_t group = 0;
    std::uint32_t share = 0; ///< of `total_shares`
    std::optional<delegation_stamp> stamp{};
};

/// Send this to the node.
struct outgoing_delegation {
    vm_id to;
    delegation body;
};

/// Not thread-safe.
class limit_delegation {
public:
    explicit limit_delegation(const limit_delegation_options& options);

    /// Who is in the fleet; this node counts as well.
    void set_members(std::span<const member_record> members, time_point now);
    /// Nodes that are known otherwise, as by their entries in the store.
    void set_known_node_count(std::size_t count) { known_node_count_ = count; }
    /// What is to be sent now.
    std::vector<outgoing_delegation> tick(time_point now);
    /// A node lends its share. The answer is a stamp for its next message.
    delegation_stamp receive(vm_id from, const delegation& it, time_point now);
    /// A node answered; `stamp` goes with the next message to it.
    void stamp_received(vm_id holder, std::uint32_t group, const delegation_stamp& stamp,
                        time_point now);

    /// What this node may do as the holder of the group; nothing if it is not the one.
    std::optional<mandate_terms> terms(std::uint32_t group, time_point now) const;
    /// Nodes that are passed over as holders because they do not answer, sorted.
    std::vector<vm_id> unresponsive_nodes() const;
    /// This node's share of everything.
    std::uint32_t own_share() const;

private:
    struct own_delegation {
        vm_id to;
        time_point until{}; // at the latest, the holder uses the share until then
        std::optional<delegation_stamp> stamp{};
        time_point stamp_received_at{};
        time_point next_send{};
        std::optional<time_point> unanswered_since{};
    };
    struct received_share {
        std::uint32_t share = 0;
        time_point until{};
    };
    struct observed_count {
        std::size_t count = 0;
        time_point seen{};
    };

    vm_id holder_of(std::uint32_t group) const;
    void mark_unresponsive(time_point now);
    void probe_unresponsive(std::vector<outgoing_delegation>& out, time_point now);
    void revoke_self_delegation(std::uint32_t group, time_point now);

    const limit_delegation_options options_;
    std::vector<vm_id> candidates_; // nodes that may hold, this one included unless it leaves
    std::map<vm_id, time_point> unresponsive_; // passed over; when each is asked again
    std::vector<observed_count> observed_counts_;
    std::size_t known_node_count_ = 1;
    std::vector<own_delegation> own_delegations_;           // by group
    std::vector<std::map<vm_id, received_share>> received_; // by group
};

} // namespace jasminebank
