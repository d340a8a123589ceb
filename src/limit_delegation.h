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
constexpr std::uint32_t all_shares = 1'000'000;

struct limit_delegation_options {
    limit_peer self;
    std::uint32_t groups = 1; ///< organisations are spread over this many holders
    duration lasts = std::chrono::milliseconds(1200); ///< how long a share is lent
    duration renew_every = std::chrono::milliseconds(400);
    /// For how long a terms' end lies ahead; shares that end sooner are not counted.
    duration terms_last = std::chrono::milliseconds(250);
    /// A holder that leaves renewals without an answer for this long, over several ways, is passed
    /// over until it answers again.
    duration silent_after = std::chrono::milliseconds(1000);
    duration members_remembered = std::chrono::seconds(10); ///< nodes that left count so long
};

/// When the holder issued a stamp, by its own clock, and in which run.
struct delegation_stamp {
    incarnation run;
    std::int64_t issued_ns = 0;
};

/// Lender to holder. Without a stamp it only asks for one.
struct delegation {
    std::uint32_t group = 0;
    std::uint32_t share = 0; ///< of `all_shares`
    std::optional<delegation_stamp> stamp{};
};

/// Send this to the node.
struct send_delegation {
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
    void set_known_nodes(std::size_t count) { known_nodes_ = count; }
    /// What is to be sent now.
    std::vector<send_delegation> tick(time_point now);
    /// A node lends its share. The answer is a stamp for its next message.
    delegation_stamp receive(vm_id from, const delegation& it, time_point now);
    /// A node answered; `stamp` goes with the next message to it.
    void answered(vm_id holder, std::uint32_t group, const delegation_stamp& stamp, time_point now);

    /// What this node may do as the holder of the group; nothing if it is not the one.
    std::optional<mandate_terms> terms(std::uint32_t group, time_point now) const;
    /// Nodes that are passed over as holders because they do not answer, sorted.
    std::vector<vm_id> silent() const;
    /// This node's share of everything.
    std::uint32_t own_share() const;

private:
    struct loan_state {
        vm_id to;
        time_point until{}; // at the latest, the holder uses the share until then
        std::optional<delegation_stamp> stamp{};
        time_point stamped_at{};
        time_point next_send{};
        std::optional<time_point> unanswered_since{};
    };
    struct lent_share {
        std::uint32_t share = 0;
        time_point until{};
    };
    struct past_count {
        std::size_t count = 0;
        time_point seen{};
    };

    vm_id holder_of(std::uint32_t group) const;
    void pass_over_silent(time_point now);
    void ask_silent(std::vector<send_delegation>& out, time_point now);
    void take_back(std::uint32_t group, time_point now);

    const limit_delegation_options options_;
    std::vector<vm_id> candidates_;      // nodes that may hold, this one included unless it leaves
    std::map<vm_id, time_point> silent_; // passed over; when each is asked again
    std::vector<past_count> counts_;
    std::size_t known_nodes_ = 1;
    std::vector<loan_state> loans_;                 // by group
    std::vector<std::map<vm_id, lent_share>> lent_; // by group
};

} // namespace jasminebank
