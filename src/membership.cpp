#include "membership.h"

#include "domain_contacts.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

constexpr duration seed_interval = std::chrono::seconds(1);
// Records with more servers do not fit into a datagram; they are only exchanged over links.
constexpr std::size_t max_gossip_servers = 24;
constexpr std::size_t max_suspects_sent = 16;
constexpr std::size_t max_pending_relays = 256;
// A node that has started may not know the members of all failure domains yet.
constexpr duration unknown_domain_grace = std::chrono::seconds(5);

membership::membership(membership_options options, time_point now)
    : options_(std::move(options)), self_(options_.self), started_(now), next_ping_(now),
      next_seed_ping_(now), next_exchange_(now), random_(options_.random_seed)
{
    directory_.merge(self_);
}

heartbeat membership::make_heartbeat(heartbeat_kind kind, std::uint64_t sequence,
                                     time_point now) const
{
    heartbeat out{.kind = kind,
                  .sequence = sequence,
                  .name = self_.name,
                  .sender = stamp_of(self_),
                  .target = {},
                  .directory_digest = directory_.digest(),
                  .generation = generation_,
                  .store_age = store_age(now),
                  .evacuations = {},
                  .suspects = {},
                  .records = {}};
    if (options_.shares_evacuations)
        out.evacuations = evacuations_.state();
    for (const auto& [vm, it] : suspicions_) {
        if (out.suspects.size() < max_suspects_sent)
            out.suspects.push_back(it.stamp);
    }
    return out;
}

void membership::send(const endpoint& to, heartbeat body, membership_actions& out) const
{
    out.emplace_back(send_heartbeat{.to = to, .body = std::move(body)});
}

void membership::ping(const member_record& target, time_point now, membership_actions& out)
{
    const std::uint64_t sequence = next_sequence_++;
    pings_.push_back({.target = target.vm, .sequence = sequence, .sent = now});
    peers_.try_emplace(target.vm, peer_state{.first_seen = now, .last_ping_sent = {}});
    send(target.link, make_heartbeat(heartbeat_kind::ping, sequence, now), out);
}

// Outcomes of members that this node pings no longer are dropped, as they would stay what they are.
void membership::choose_round_targets()
{
    round_targets_ = ping_targets(directory_.members(), self_, options_.pingers_per_remote_member,
                                  options_.is_far);
    if (options_.pingers_per_remote_member > 0)
        std::erase_if(peers_, [this](const auto& it) {
            return std::ranges::find(round_targets_, it.first) == round_targets_.end();
        });
    std::shuffle(round_targets_.begin(), round_targets_.end(), random_);
}

// Pings the next member of a shuffled round. Every member is pinged once per round, so a failed one
// is detected within a bounded time, which independent random choices would not ensure.
void membership::ping_next(time_point now, membership_actions& out)
{
    if (round_targets_.empty())
        choose_round_targets();
    while (!round_targets_.empty()) {
        const member_record* it = directory_.find(round_targets_.back());
        round_targets_.pop_back();
        if (it != nullptr) {
            ping(*it, now, out);
            return;
        }
    }
}

// Pings the seeds that are not known members. In this way a node joins, and two partitions that
// have removed each other's members merge again.
void membership::ping_seeds(time_point now, membership_actions& out)
{
    if (now < next_seed_ping_)
        return;
    next_seed_ping_ = now + (is_joining(now) ? options_.join_interval : seed_interval);
    for (const endpoint& seed : options_.seeds) {
        const auto& members = directory_.members();
        const bool known = std::any_of(members.begin(), members.end(),
                                       [&](const member_record& it) { return it.link == seed; });
        if (!known)
            send(seed, make_heartbeat(heartbeat_kind::ping, next_sequence_++, now), out);
    }
}

void membership::request_relayed_pings(const ping_state& it, time_point now,
                                       membership_actions& out)
{
    const member_record* target = directory_.find(it.target);
    if (target == nullptr)
        return;
    for (const member_record* relay : random_members(options_.relay_count)) {
        if (relay->vm == it.target)
            continue;
        heartbeat request = make_heartbeat(heartbeat_kind::ping_request, it.sequence, now);
        request.target = target->link;
        send(relay->link, std::move(request), out);
    }
}

void membership::time_out_pings(time_point now, membership_actions& out)
{
    for (ping_state& it : pings_) {
        if (it.relay_requested || now - it.sent < options_.ping_timeout)
            continue;
        it.relay_requested = true;
        record_ping_outcome(it, false);
        request_relayed_pings(it, now, out);
    }
    const duration total_timeout = options_.ping_timeout + options_.relay_timeout;
    for (const ping_state& it : pings_) {
        const member_record* target = directory_.find(it.target);
        if (now - it.sent >= total_timeout && target != nullptr)
            suspect(stamp_of(*target), now);
    }
    std::erase_if(pings_, [&](const ping_state& it) { return now - it.sent >= total_timeout; });
    std::erase_if(relays_, [&](const relay_state& it) { return now - it.sent >= total_timeout; });
}

void membership::suspect(const record_stamp& stamp, time_point now)
{
    const member_record* known = directory_.find(stamp.vm);
    if (known == nullptr || stamp.vm == self_.vm || is_newer(stamp_of(*known), stamp))
        return;
    suspicions_.try_emplace(stamp.vm, suspicion{.stamp = stamp_of(*known), .since = now});
}

// Only direct acks count as answered: a relayed ack shows that the member is alive, but not that
// this node can reach it.
void membership::record_ping_outcome(const ping_state& it, bool answered)
{
    const auto peer = peers_.find(it.target);
    if (peer == peers_.end() || it.sent < peer->second.last_ping_sent)
        return;
    peer->second.last_ping_sent = it.sent;
    peer->second.has_outcome = true;
    peer->second.answered = answered;
}

bool membership::is_joining(time_point now) const
{
    return now - started_ < options_.join_duration;
}

bool membership::all_pinged_since(time_point since) const
{
    return std::all_of(peers_.begin(), peers_.end(), [since](const auto& it) {
        const peer_state& peer = it.second;
        return peer.first_seen >= since || (peer.has_outcome && peer.last_ping_sent >= since);
    });
}

// Drops refuted suspicions and removes members whose suspicion has timed out. A node that may
// itself be cut off removes no member; otherwise only the members that it reaches would remain in
// its directory, and it would mistake them for a majority. So a suspected member is removed only if
// all members have been pinged since the suspicion began and at least half of them answered. A
// member that announced its shutdown is removed without this condition.
void membership::resolve_suspicions(time_point now, membership_actions& out)
{
    const reachability overall = overall_reachability();
    const bool half_answered = 2 * overall.answered >= overall.pinged;
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
        const member_record* known = directory_.find(it->first);
        const bool refuted = known == nullptr || is_newer(stamp_of(*known), it->second.stamp);
        if (refuted) {
            it = suspicions_.erase(it);
            out.emplace_back(directory_changed{});
            continue;
        }
        const time_point since = it->second.since;
        const bool timed_out = now - since >= options_.suspicion_timeout;
        if (timed_out && ((half_answered && all_pinged_since(since)) || known->leaving)) {
            directory_.remove(it->second.stamp);
            peers_.erase(it->first);
            out.emplace_back(directory_changed{});
            it = suspicions_.erase(it);
            continue;
        }
        ++it;
    }
}

// Raises this node's version above the suspected one, which ends the suspicion on every node that
// receives the new record.
void membership::refute(std::uint64_t version, time_point now, membership_actions& out)
{
    if (version < self_.version)
        return;
    self_.version = version + 1;
    directory_.merge(self_);
    gossip({self_}, true, now, out);
}

void membership::process_suspects(const heartbeat& it, time_point now, membership_actions& out)
{
    for (const record_stamp& stamp : it.suspects) {
        if (stamp.vm == self_.vm && stamp.run == self_.run)
            refute(stamp.version, now, out);
        else
            suspect(stamp, now);
    }
}

// Sends the records to a few random members at once. Members that gossip misses get them in an
// exchange, when they see a differing digest. Without records only the generation and the
// suspicions are sent.
void membership::gossip(std::vector<member_record> records, bool is_origin, time_point now,
                        membership_actions& out)
{
    std::erase_if(records,
                  [](const member_record& it) { return it.servers.size() > max_gossip_servers; });
    for (const member_record* to : gossip_targets(is_origin)) {
        for (const member_record& it : records) {
            heartbeat body = make_heartbeat(heartbeat_kind::gossip, 0, now);
            body.records.push_back(it);
            send(to->link, std::move(body), out);
        }
        if (records.empty())
            send(to->link, make_heartbeat(heartbeat_kind::gossip, 0, now), out);
    }
}

void membership::merge_records(std::span<const member_record> records, time_point now,
                               membership_actions& out)
{
    std::vector<member_record> updated;
    for (const member_record& it : records) {
        if (it.vm == self_.vm) {
            if (it.run == self_.run && it.version > self_.version)
                refute(it.version, now, out);
            continue;
        }
        if (directory_.merge(it))
            updated.push_back(it);
    }
    if (updated.empty())
        return;
    out.emplace_back(directory_changed{});
    gossip(std::move(updated), false, now, out);
}

// An ack to a ping that another node requested is passed on to that node, without the store age. An
// ack to this node's own ping ends that ping. The peer determined its store age after the ping was
// sent, so the age is counted from that time. It is used only if the peer itself sent the ack, the
// configuration in force on this node is at least as new as the peer's, and the ack's evacuations,
// if this node needs them, have been merged: whoever knows a store contact then also knows the
// evacuations of that time.
void membership::process_ack(const endpoint& from, const heartbeat& it, membership_actions& out)
{
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const relay_state& a) {
        return a.relay_sequence == it.sequence;
    });
    if (relay != relays_.end()) {
        heartbeat answer = it;
        answer.sequence = relay->requester_sequence;
        answer.store_age.reset();
        send(relay->requester, std::move(answer), out);
        relays_.erase(relay);
        return;
    }
    const auto ping = std::find_if(pings_.begin(), pings_.end(), [&](const ping_state& a) {
        return a.sequence == it.sequence && a.target == it.sender.vm;
    });
    if (ping == pings_.end())
        return;
    if (suspicions_.erase(it.sender.vm) > 0)
        out.emplace_back(directory_changed{});
    const member_record* peer = directory_.find(it.sender.vm);
    const bool direct = peer != nullptr && peer->link == from;
    if (direct)
        record_ping_outcome(*ping, true);
    // A contact vouches for the evacuations that the peer knew, so it counts only if these are the
    // ones known here.
    const bool is_complete =
        !options_.shares_evacuations ||
        (it.evacuations && it.evacuations->domains == evacuations_.state().domains);
    if (direct && it.store_age && it.generation == generation_ && is_complete)
        record_store_contact(ping->sent - *it.store_age);
    pings_.erase(ping);
}

// Where domains make no difference, every peer counts as one of the own domain, as does a peer that
// is not known yet.
bool membership::is_own_domain(vm_id vm) const
{
    const member_record* it = directory_.find(vm);
    return options_.pingers_per_remote_member == 0 || it == nullptr || it->domain == self_.domain;
}

// Reports if the sender has a newer configuration, and exchanges directories if they differ
// permanently. While gossip spreads, digests differ for a short time. If the digest still differs
// although this directory has not changed for `digest_settle_time`, one side has missed a change:
// for example when two partitions are connected again, even if the nodes within each partition have
// equal directories.
void membership::compare_with_sender(const endpoint& from, const heartbeat& it, time_point now,
                                     membership_actions& out)
{
    if (it.generation > generation_)
        out.emplace_back(newer_config{.link = from,
                                      .generation = it.generation,
                                      .is_own_domain = is_own_domain(it.sender.vm)});
    if (directory_.digest() != last_digest_) {
        last_digest_ = directory_.digest();
        last_digest_since_ = now;
    }
    if (it.directory_digest == directory_.digest())
        return;
    const bool joining = is_joining(now);
    if ((!joining && now - last_digest_since_ < options_.digest_settle_time) ||
        now < next_exchange_)
        return;
    next_exchange_ = now + (joining ? options_.join_interval : options_.exchange_interval);
    out.emplace_back(exchange_members{.link = from});
}

membership_actions membership::receive(const endpoint& from, const heartbeat& it, time_point now)
{
    membership_actions out;
    if (it.sender.vm == self_.vm)
        return out;
    merge_evacuations(it, now, out);
    process_suspects(it, now, out);
    merge_records(it.records, now, out);
    switch (it.kind) {
    case heartbeat_kind::ping: {
        heartbeat ack = make_heartbeat(heartbeat_kind::ack, it.sequence, now);
        const record_stamp* removed = directory_.find_tombstone(it.sender.vm);
        // A removed node refutes the suspicion of the removed version, so that it can rejoin.
        if (removed != nullptr && !is_newer(it.sender, *removed))
            ack.suspects.push_back(*removed);
        send(from, std::move(ack), out);
        break;
    }
    case heartbeat_kind::ack:
        process_ack(from, it, out);
        break;
    case heartbeat_kind::ping_request:
        if (relays_.size() < max_pending_relays) {
            const std::uint64_t sequence = next_sequence_++;
            relays_.push_back({.relay_sequence = sequence,
                               .requester_sequence = it.sequence,
                               .requester = from,
                               .sent = now});
            send(it.target, make_heartbeat(heartbeat_kind::ping, sequence, now), out);
        }
        break;
    case heartbeat_kind::gossip:
        break;
    }
    const bool relayed = it.kind == heartbeat_kind::ack &&
                         directory_.find(it.sender.vm) != nullptr &&
                         directory_.find(it.sender.vm)->link != from;
    if (!relayed)
        compare_with_sender(from, it, now, out);
    return out;
}

membership_actions membership::merge(std::span<const member_record> records, time_point now)
{
    membership_actions out;
    merge_records(records, now, out);
    return out;
}

membership_actions membership::announce(own_state state, time_point now)
{
    self_.servers = std::move(state.servers);
    self_.leaving = state.leaving;
    self_.withdrawn = std::move(state.withdrawn);
    return gossip_self(now);
}

membership_actions membership::announce_shards(std::vector<held_shard> shards, time_point now)
{
    self_.shards = std::move(shards);
    return gossip_self(now);
}

membership_actions membership::gossip_self(time_point now)
{
    membership_actions out;
    ++self_.version;
    directory_.merge(self_);
    out.emplace_back(directory_changed{});
    gossip({self_}, true, now, out);
    return out;
}

membership_actions membership::tick(time_point now)
{
    membership_actions out;
    time_out_pings(now, out);
    resolve_suspicions(now, out);
    if (now >= next_ping_) {
        next_ping_ = std::max(next_ping_ + options_.ping_interval, now);
        ping_next(now, out);
    }
    ping_seeds(now, out);
    return out;
}

// The first readers of the other domains get the news at once: they hand it on in their domains.
membership_actions membership::set_generation(std::uint64_t generation, bool is_first_hand,
                                              time_point now)
{
    assert(generation >= generation_);
    membership_actions out;
    if (generation == generation_)
        return out;
    generation_ = generation;
    gossip({}, false, now, out);
    if (is_first_hand && options_.pingers_per_remote_member > 0) {
        for (const member_record* to :
             first_reader_of_each_other_domain(directory_.members(), self_))
            send(to->link, make_heartbeat(heartbeat_kind::gossip, 0, now), out);
    }
    return out;
}

// A changed set is passed on at once, as a new generation is.
void membership::merge_evacuations(const heartbeat& it, time_point now, membership_actions& out)
{
    if (!options_.shares_evacuations || !it.evacuations || !evacuations_.merge(*it.evacuations))
        return;
    out.emplace_back(evacuations_changed{});
    gossip({}, false, now, out);
}

membership_actions membership::record_evacuations(evacuation_read read, time_point now)
{
    membership_actions out;
    const std::vector<failure_domain_id> known = known_domains();
    checked_names names = check_domain_names(std::move(read.domains), known);
    unusable_domains_ = std::move(names.refused);
    for (const std::string& it : names.accepted) {
        const auto id = id_of<failure_domain_id>(it);
        const bool is_known = std::find(known.begin(), known.end(), id) != known.end();
        if (!is_known && now - started_ >= unknown_domain_grace)
            unusable_domains_.push_back(it);
    }
    read.domains = std::move(names.accepted);
    if (!evacuations_.read(std::move(read)))
        return out;
    out.emplace_back(evacuations_changed{});
    gossip({}, true, now, out);
    return out;
}

std::vector<failure_domain_id> membership::known_domains() const
{
    std::vector<failure_domain_id> out;
    for (const member_record& it : directory_.members()) {
        if (std::find(out.begin(), out.end(), it.domain) == out.end())
            out.push_back(it.domain);
    }
    return out;
}

void membership::record_store_contact(time_point at)
{
    if (!last_store_contact_ || at > *last_store_contact_)
        last_store_contact_ = at;
}

std::optional<duration> membership::store_age(time_point now) const
{
    if (!last_store_contact_)
        return std::nullopt;
    return now - *last_store_contact_;
}

reachability membership::recent_reachability(time_point now) const
{
    reachability out;
    for (const auto& [vm, it] : peers_) {
        if (!it.has_outcome || now - it.last_ping_sent > options_.reachability_window)
            continue;
        ++out.pinged;
        out.answered += it.answered ? 1 : 0;
    }
    return out;
}

// Only some members of other domains are pinged, so the outcomes of each domain stand for all of
// its members. A domain of which nobody has been pinged yet says nothing.
reachability membership::reachability_by_domain() const
{
    struct domain_count {
        std::size_t members = 0;
        std::size_t pinged = 0;
        std::size_t answered = 0;
    };
    std::map<failure_domain_id, domain_count> domains;
    for (const member_record& it : directory_.members()) {
        if (it.vm == self_.vm)
            continue;
        domain_count& domain = domains[it.domain];
        ++domain.members;
        const auto peer = peers_.find(it.vm);
        if (peer == peers_.end())
            continue;
        ++domain.pinged;
        domain.answered += peer->second.answered || !peer->second.has_outcome ? 1 : 0;
    }
    reachability out;
    for (const auto& [id, it] : domains) {
        if (it.pinged == 0)
            continue;
        out.pinged += it.members;
        out.answered += it.members * it.answered / it.pinged;
    }
    return out;
}

// A member without a ping outcome counts as answered: it has just joined.
reachability membership::overall_reachability() const
{
    if (options_.pingers_per_remote_member > 0)
        return reachability_by_domain();
    reachability out;
    for (const auto& [vm, it] : peers_) {
        ++out.pinged;
        out.answered += it.answered || !it.has_outcome ? 1 : 0;
    }
    return out;
}

std::vector<unanswered_ping> membership::unanswered_pings() const
{
    std::vector<unanswered_ping> out;
    for (const auto& [vm, it] : peers_) {
        if (it.has_outcome && !it.answered)
            out.push_back({.vm = vm, .sent = it.last_ping_sent});
    }
    return out;
}

void membership::add_seeds(std::span<const endpoint> seeds)
{
    options_.seeds.insert(options_.seeds.end(), seeds.begin(), seeds.end());
}

// The recent window detects a loss of contact early, but from a sample; the overall count covers
// all members. Both must hold.
bool membership::may_serve(time_point now) const
{
    const auto age = store_age(now);
    if (age && *age <= options_.store_age_limit)
        return true;
    const reachability recent = recent_reachability(now);
    const reachability overall = overall_reachability();
    return 2 * recent.answered >= recent.pinged && 2 * overall.answered >= overall.pinged;
}

bool membership::reaches_majority(time_point now) const
{
    const reachability recent = recent_reachability(now);
    const reachability overall = overall_reachability();
    return 2 * recent.answered > recent.pinged && 2 * overall.answered > overall.pinged;
}

// In the own domain a change spreads from node to node. The node where it began sends it to each
// other domain, and so does about one of those that pass it on, in case the first message is lost.
std::vector<const member_record*> membership::gossip_targets(bool is_origin)
{
    if (options_.pingers_per_remote_member == 0)
        return random_members(options_.gossip_fanout);
    const std::uint64_t random = random_();
    std::vector<const member_record*> out =
        random_domain_members(directory_.members(), self_, options_.gossip_fanout, random);
    const std::size_t own_domain = domain_size(directory_.members(), self_.domain);
    if (is_origin || mix(random, own_domain) % std::max<std::size_t>(own_domain, 1) == 0) {
        for (const member_record* it :
             one_member_of_each_other_domain(directory_.members(), self_, random))
            out.push_back(it);
    }
    return out;
}

std::vector<const member_record*> membership::random_members(std::size_t count)
{
    std::vector<const member_record*> out;
    const auto& members = directory_.members();
    for (std::size_t n = 0; n < 3 * count && out.size() < count; ++n) {
        const member_record& it = members[random_() % members.size()];
        if (it.vm != self_.vm && std::find(out.begin(), out.end(), &it) == out.end())
            out.push_back(&it);
    }
    return out;
}

} // namespace jasminebank
