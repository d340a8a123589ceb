#pragma once

// Who is in the fleet, who answers, and how fresh the news is. Each node pings a few others each
// period, in shuffled rounds; a node that answers neither directly nor through others is suspected,
// and removed when it does not refute that in time. Records and suspicions spread from node to
// node. Events and the time go in, actions come out.

#include "heartbeat.h"
#include "member_directory.h"
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
    std::vector<endpoint> seeds; ///< links of some other nodes, to begin with
    std::uint64_t random_seed = 1;
    duration ping_interval = std::chrono::milliseconds(125); ///< between pings
    duration ping_timeout = std::chrono::milliseconds(300);  ///< then others are asked to ping
    duration relay_timeout = std::chrono::milliseconds(400);
    duration suspicion_timeout = std::chrono::seconds(2); ///< to refute a suspicion, at least
    duration reachability_window = std::chrono::seconds(5);
    duration store_age_limit = std::chrono::seconds(5);
    duration exchange_interval = std::chrono::milliseconds(500);  ///< at least, between exchanges
    duration digest_settle_time = std::chrono::milliseconds(300); ///< news that spreads ends sooner
    /// How long a node that has just started looks for others in quick succession: many may start
    /// together, in any order, and none can serve before it knows the others.
    duration join_duration = std::chrono::seconds(3);
    duration join_interval = std::chrono::milliseconds(150); ///< of pings to seeds, exchanges
    std::size_t relay_count = 3;                             ///< nodes asked to ping a silent one
    std::size_t gossip_fanout = 3; ///< nodes that news is passed on to at once
};

/// Send a datagram.
struct send_heartbeat {
    endpoint to;
    heartbeat body;
};

/// The directories differ: exchange all records with this node over a link.
struct exchange_members {
    endpoint link;
};

/// This node has a newer configuration: fetch it over a link.
struct fetch_config {
    endpoint link;
    std::uint64_t generation = 0;
};

/// The directory changed: routes follow it.
struct directory_changed {};

using membership_action =
    std::variant<send_heartbeat, exchange_members, fetch_config, directory_changed>;
using membership_actions = std::vector<membership_action>;

/// What a node can say of its own reach.
struct reachability {
    std::size_t pinged = 0;              ///< members pinged in the window, and this node
    std::size_t answered = 0;            ///< of those, how many answered directly, and this node
    std::optional<duration> store_age{}; ///< since the store was heard, directly or through others
};

/// Not thread-safe.
class membership {
public:
    membership(membership_options options, time_point now);

    /// What this node announces of itself changed.
    membership_actions announce(std::vector<server_record> servers, bool leaving, time_point now);
    /// The mandates of limits that this node holds changed.
    membership_actions announce_shards(std::vector<held_shard> shards, time_point now);
    /// A datagram from `from` whose proof held.
    membership_actions receive(const endpoint& from, const heartbeat& it, time_point now);
    /// Records that came over a link.
    membership_actions merge(std::span<const member_record> records, time_point now);
    membership_actions tick(time_point now);
    /// A newer configuration is in force here: tells others at once.
    membership_actions set_generation(std::uint64_t generation, time_point now);
    /// This node itself read the store at `at`, and the configuration in force is no older.
    void record_store_contact(time_point at);

    const member_directory& directory() const { return directory_; }
    const member_record& self() const { return self_; }
    /// Members pinged within the hearing window: with many members, a sample.
    reachability recent_reachability(time_point now) const;
    /// All members, by the outcome of the last ping to each, however long ago.
    reachability overall_reachability() const;
    /// Since the store was heard by this node or, as far as it knows, by another.
    std::optional<duration> store_age(time_point now) const;
    /// Members that do not answer and have not been removed yet.
    bool is_suspected(vm_id vm) const { return suspicions_.contains(vm); }
    /// Members that did not answer the last ping to them directly.
    std::vector<vm_id> unresponsive_members() const;
    /// Links of nodes to join by, besides those of the options.
    void add_seeds(std::span<const endpoint> seeds);
    /// False while this node may be cut off from news: neither the store was heard lately, directly
    /// or through others, nor does half of the known members answer.
    bool may_serve(time_point now) const;
    /// True when more than half of the known members answer: two such groups always overlap.
    bool reaches_majority(time_point now) const;
    /// True when this node is one of the `count` of its failure domain that watch the store.
    bool is_watcher(std::size_t count) const;

private:
    struct ping_state {
        vm_id target;
        std::uint64_t sequence = 0;
        time_point sent;
        bool relay_requested = false;
    };
    struct relay_state {
        std::uint64_t relay_sequence = 0;
        std::uint64_t requester_sequence = 0; // of the node that asked
        endpoint requester;
        time_point sent;
    };
    // Outcome of the last ping that was answered or timed out.
    struct peer_state {
        time_point first_seen;
        time_point last_ping_sent; // when that ping was sent
        bool has_outcome = false;
        bool answered = false;
    };
    struct suspicion {
        record_stamp stamp;
        time_point since;
    };

    membership_actions gossip_self(time_point now);
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
    void gossip(std::vector<member_record> records, time_point now, membership_actions& out);
    void compare_with_sender(const endpoint& from, const heartbeat& it, time_point now,
                             membership_actions& out);
    std::vector<const member_record*> random_members(std::size_t count);
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
    std::vector<vm_id> round_; // members not yet pinged in this round
    std::uint64_t next_sequence_ = 1;
    std::uint64_t generation_ = 0;
    std::optional<time_point> last_store_contact_;
    const time_point started_;
    time_point next_ping_;
    time_point next_seed_ping_;
    time_point next_exchange_;
    std::uint64_t last_digest_ = 0;  // of the directory
    time_point last_digest_since_{}; // when it was first seen so
    std::mt19937_64 random_;
};

} // namespace jasminebank
