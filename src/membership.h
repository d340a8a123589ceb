#pragma once

// Membership and failure detection by gossip. Each node pings one other each interval, in shuffled
// rounds. A node that answers neither directly nor through relays is suspected, and removed if it
// does not refute the suspicion in time. Records and suspicions spread from node to node, as does
// the time since the store was last reached. Performs no I/O: each call receives an event and the
// time, and returns the actions to perform.

#include "domain_contacts.h"
#include "heartbeat.h"
#include "member_directory.h"
#include "reader_rank.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace jasminebank {

struct membership_options {
    member_record self;
    std::vector<endpoint> seeds; ///< link addresses of some other nodes, to join by
    std::uint64_t random_seed = 1;
    duration ping_interval = std::chrono::milliseconds(125); ///< between pings
    duration ping_timeout = std::chrono::milliseconds(300);  ///< then relays are requested to ping
    duration relay_timeout = std::chrono::milliseconds(400);
    duration suspicion_timeout = std::chrono::seconds(2); ///< minimum time to refute it
    duration reachability_window = std::chrono::seconds(5);
    duration store_age_limit = std::chrono::seconds(5);
    duration exchange_interval = std::chrono::milliseconds(500); ///< minimum between exchanges
    /// A differing digest starts an exchange only if the directory has not changed for this long,
    /// which is more than gossip takes to spread.
    duration digest_settle_time = std::chrono::milliseconds(300);
    /// After its start a node contacts seeds and exchanges directories at the shorter join interval
    /// for this long: many nodes may start together, in any order, and none can serve before it
    /// knows the others.
    duration join_duration = std::chrono::seconds(3);
    duration join_interval = std::chrono::milliseconds(150); ///< of pings to seeds, of exchanges
    std::size_t relay_count = 3;   ///< nodes requested to ping an unresponsive one
    std::size_t gossip_fanout = 3; ///< nodes to which a change is sent immediately
    /// Each member of another failure domain is pinged by this many nodes of the own domain instead
    /// of all, and changes cross between domains on few ways. 0: domains make no difference.
    std::size_t pingers_per_remote_member = 0;
    /// Whether a failure domain is in another region. Fewer datagrams and exchanges go there.
    far_test is_far = [](failure_domain_id) { return false; };
    /// Whether this node tells and takes which failure domains are evacuated.
    bool shares_evacuations = false;
};

/// Send a datagram.
struct send_heartbeat {
    endpoint to;
    heartbeat body;
};

/// Exchange directories with this node over a link, because they differ.
struct exchange_members {
    endpoint link;
};

/// A node has a newer configuration than this one, and sends it over a link.
struct newer_config {
    endpoint link;
    std::uint64_t generation = 0; ///< version number of the newer configuration
    bool is_own_domain = true;
};

/// Apply `membership::evacuations`, because the set of evacuated failure domains changed. Comes
/// before a `newer_config` of the same call.
struct evacuations_changed {};

/// Update the routes, because the directory or a suspicion changed.
struct directory_changed {};

using membership_action = std::variant<send_heartbeat, exchange_members, newer_config,
                                       evacuations_changed, directory_changed>;
using membership_actions = std::vector<membership_action>;

/// What a node tells of itself.
struct own_state {
    std::vector<server_record> servers; ///< its backend servers
    bool leaving = false;               ///< a planned shutdown has begun
    std::vector<server_withdrawal> withdrawn{};
};

/// How many other members this node can reach.
struct reachability {
    std::size_t pinged = 0;              ///< members with a ping outcome in the period considered
    std::size_t answered = 0;            ///< of those, members that answered directly
    std::optional<duration> store_age{}; ///< since any node last reached the store
};

/// The last ping to a member, if the member did not answer it directly.
struct unanswered_ping {
    vm_id vm;
    time_point sent;
};

/// Not thread-safe.
class membership {
public:
    membership(membership_options options, time_point now);

    /// Announces changed backend servers of this node, or its planned shutdown.
    membership_actions announce(own_state state, time_point now);
    /// Announces a changed set of limit shards (shards of the organisations' rate limits) whose
    /// leases this node holds.
    membership_actions announce_shards(std::vector<held_shard> shards, time_point now);
    /// Handles an authenticated datagram from `from`.
    membership_actions receive(const endpoint& from, const heartbeat& it, time_point now);
    /// Merges records that were received over a link.
    membership_actions merge(std::span<const member_record> records, time_point now);
    membership_actions tick(time_point now);
    /// Records that a newer configuration is in force on this node, and gossips its generation. If
    /// it `is_first_hand`, that is from the store, the first readers of the other domains are told.
    membership_actions set_generation(std::uint64_t generation, bool is_first_hand, time_point now);
    /// Takes the evacuated failure domains that this node read from the store. Call before
    /// `set_generation` and `record_store_contact` with what the same read found.
    membership_actions record_evacuations(evacuation_read read, time_point now);
    /// Names of the last such read that are refused, or for which no member is known.
    const std::vector<std::string>& unusable_domains() const { return unusable_domains_; }
    /// The newest set of evacuated failure domains that this node knows.
    const evacuation_state& evacuations() const { return evacuations_.state(); }
    /// Records that this node itself read the store at `at`. The configuration in force must be at
    /// least as new as what it read.
    void record_store_contact(time_point at);

    const member_directory& directory() const { return directory_; }
    const member_record& self() const { return self_; }
    /// Counts members whose last ping was sent within the reachability window; only a sample if
    /// there are many members.
    reachability recent_reachability(time_point now) const;
    /// Counts all members, by the outcome of the last ping to each, however long ago.
    reachability overall_reachability() const;
    /// Time since the store was reached by this or, as far as known, any other node.
    std::optional<duration> store_age(time_point now) const;
    /// True for a member that does not answer and has not been removed yet.
    bool is_suspected(vm_id vm) const { return suspicions_.contains(vm); }
    /// The last pings from this node that were not answered directly, one for each such member.
    std::vector<unanswered_ping> unanswered_pings() const;
    /// Adds link addresses of nodes to join by.
    void add_seeds(std::span<const endpoint> seeds);
    /// False while this node may be cut off from configuration changes: the store was not reached
    /// within `store_age_limit`, directly or through others, and less than half of the other known
    /// members answer.
    bool may_serve(time_point now) const;
    /// True if more than half of the other known members answer: any two majorities overlap.
    bool reaches_majority(time_point now) const;
    /// The rank of this node as a reader of the store for its failure domain.
    reader_rank rank() const { return rank_reader(directory_.members(), self_); }
    /// True if this node is one of the `count` nodes of its failure domain that read the
    /// configuration from the store regularly.
    bool is_watcher(std::size_t count) const { return rank().higher < count; }

private:
    struct ping_state {
        vm_id target;
        std::uint64_t sequence = 0;
        time_point sent;
        bool relay_requested = false;
    };
    struct relay_state {
        std::uint64_t relay_sequence = 0;
        std::uint64_t requester_sequence = 0; // of the ping request
        endpoint requester;
        time_point sent;
    };
    // Outcome of the last ping to a member that was answered or timed out.
    struct peer_state {
        time_point first_seen;
        time_point last_ping_sent; // the time of that ping
        bool has_outcome = false;
        bool answered = false;
    };
    struct suspicion {
        record_stamp stamp; // node, incarnation and version of the suspected record
        time_point since;
    };

    membership_actions gossip_self(time_point now);
    void merge_evacuations(const heartbeat& it, time_point now, membership_actions& out);
    std::vector<failure_domain_id> known_domains() const;
    heartbeat make_heartbeat(heartbeat_kind kind, std::uint64_t sequence, time_point now) const;
    void send(const endpoint& to, heartbeat body, membership_actions& out) const;
    void ping(const member_record& target, time_point now, membership_actions& out);
    void ping_next(time_point now, membership_actions& out);
    void ping_seeds(time_point now, membership_actions& out);
    void time_out_pings(time_point now, membership_actions& out);
    void request_relayed_pings(const ping_state& it, time_point now, membership_actions& out);
    void suspect(const record_stamp& stamp, time_point now);
    void resolve_suspicions(time_point now, membership_actions& out);
    void process_suspects(const heartbeat& it, time_point now, membership_actions& out);
    void process_ack(const endpoint& from, const heartbeat& it, membership_actions& out);
    void merge_records(std::span<const member_record> records, time_point now,
                       membership_actions& out);
    void refute(std::uint64_t version, time_point now, membership_actions& out);
    void gossip(std::vector<member_record> records, bool is_origin, time_point now,
                membership_actions& out);
    bool is_own_domain(vm_id vm) const;
    void compare_with_sender(const endpoint& from, const heartbeat& it, time_point now,
                             membership_actions& out);
    std::vector<const member_record*> random_members(std::size_t count);
    std::vector<const member_record*> gossip_targets(bool is_origin);
    void choose_round_targets();
    reachability reachability_by_domain() const;
    void record_ping_outcome(const ping_state& it, bool answered);
    bool is_joining(time_point now) const;
    bool all_pinged_since(time_point since) const;

    membership_options options_;
    member_record self_;
    member_directory directory_;
    std::map<vm_id, peer_state> peers_;
    std::map<vm_id, suspicion> suspicions_;
    std::vector<ping_state> pings_;
    std::vector<relay_state> relays_;
    std::vector<vm_id> round_targets_; // members not yet pinged in this round
    std::uint64_t next_sequence_ = 1;
    std::uint64_t generation_ = 0;
    evacuation_record evacuations_;
    std::vector<std::string> unusable_domains_;
    std::optional<time_point> last_store_contact_;
    const time_point started_;
    time_point next_ping_;
    time_point next_seed_ping_;
    time_point next_exchange_;
    std::uint64_t last_digest_ = 0;  // of the directory, in the last comparison
    time_point last_digest_since_{}; // first comparison with this digest
    std::mt19937_64 random_;
};

} // namespace jasminebank
