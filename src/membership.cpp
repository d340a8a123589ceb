#include "membership.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

constexpr duration seed_interval = std::chrono::seconds(1);
// Room for records in a datagram beside the rest; larger records travel over links.
constexpr std::size_t most_news_servers = 24;
constexpr std::size_t most_suspects_told = 16;
constexpr std::size_t most_relays_waiting = 256;
// Salt of the ranking that picks who watches the store.
constexpr std::uint64_t watcher_salt = 0x77617463;

membership::membership(membership_options options, time_point now)
    : options_(std::move(options)), self_(options_.self), started_(now), next_ping_(now),
      next_seed_ping_(now), next_exchange_(now), random_(options_.random_seed)
{
    directory_.merge(self_);
}

heartbeat membership::message(heartbeat_kind kind, std::uint64_t number, time_point now) const
{
    heartbeat out{.kind = kind,
                  .number = number,
                  .name = self_.name,
                  .from = stamp_of(self_),
                  .target = {},
                  .directory_digest = directory_.digest(),
                  .generation = generation_,
                  .store_age = store_age(now),
                  .suspects = {},
                  .records = {}};
    for (const auto& [vm, it] : suspicions_) {
        if (out.suspects.size() < most_suspects_told)
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
    const std::uint64_t number = next_number_++;
    pings_.push_back({.target = target.vm, .number = number, .sent = now});
    peers_.try_emplace(target.vm, peer_state{.first_seen = now, .asked = {}});
    send(target.link, message(heartbeat_kind::ping, number, now), out);
}

// Shuffled rounds: every member is pinged once a round, so a dead one is found within a bounded
// time whatever the draw.
void membership::ping_next(time_point now, membership_actions& out)
{
    if (round_.empty()) {
        for (const member_record& it : directory_.members()) {
            if (it.vm != self_.vm)
                round_.push_back(it.vm);
        }
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    while (!round_.empty()) {
        const member_record* it = directory_.find(round_.back());
        round_.pop_back();
        if (it != nullptr) {
            ping(*it, now, out);
            return;
        }
    }
}

// Seeds that are no known member are pinged as well: that is how a node joins, and how two halves
// that forgot each other find together again.
void membership::ping_seeds(time_point now, membership_actions& out)
{
    if (now < next_seed_ping_)
        return;
    next_seed_ping_ = now + (is_joining(now) ? options_.joining_interval : seed_interval);
    for (const endpoint& seed : options_.seeds) {
        const auto& members = directory_.members();
        const bool known = std::any_of(members.begin(), members.end(),
                                       [&](const member_record& it) { return it.link == seed; });
        if (!known)
            send(seed, message(heartbeat_kind::ping, next_number_++, now), out);
    }
}

void membership::ask_relays(const ping_state& it, time_point now, membership_actions& out)
{
    const member_record* target = directory_.find(it.target);
    if (target == nullptr)
        return;
    for (const member_record* relay : random_members(options_.relays)) {
        if (relay->vm == it.target)
            continue;
        heartbeat request = message(heartbeat_kind::ping_request, it.number, now);
        request.target = target->link;
        send(relay->link, std::move(request), out);
    }
}

void membership::time_out_pings(time_point now, membership_actions& out)
{
    for (ping_state& it : pings_) {
        if (it.relayed || now - it.sent < options_.ping_timeout)
            continue;
        it.relayed = true;
        note_outcome(it, false);
        ask_relays(it, now, out);
    }
    const duration whole = options_.ping_timeout + options_.relay_timeout;
    for (const ping_state& it : pings_) {
        const member_record* target = directory_.find(it.target);
        if (now - it.sent >= whole && target != nullptr)
            suspect(stamp_of(*target), now);
    }
    std::erase_if(pings_, [&](const ping_state& it) { return now - it.sent >= whole; });
    std::erase_if(relays_, [&](const relay_state& it) { return now - it.sent >= whole; });
}

void membership::suspect(const record_stamp& stamp, time_point now)
{
    const member_record* known = directory_.find(stamp.vm);
    if (known == nullptr || stamp.vm == self_.vm || is_newer(stamp_of(*known), stamp))
        return;
    suspicions_.try_emplace(stamp.vm, suspicion{.stamp = stamp_of(*known), .since = now});
}

// A relayed answer tells that the member lives, but not that it is heard here.
void membership::note_outcome(const ping_state& it, bool heard)
{
    const auto peer = peers_.find(it.target);
    if (peer == peers_.end() || it.sent < peer->second.asked)
        return;
    peer->second.asked = it.sent;
    peer->second.has_outcome = true;
    peer->second.heard = heard;
}

bool membership::is_joining(time_point now) const
{
    return now - started_ < options_.joining_time;
}

bool membership::asked_all_since(time_point since) const
{
    return std::all_of(peers_.begin(), peers_.end(), [since](const auto& it) {
        const peer_state& peer = it.second;
        return peer.first_seen >= since || (peer.has_outcome && peer.asked >= since);
    });
}

// A node that may be cut off itself removes nobody, or its count of members would shrink to those
// that it happens to hear. So a member goes only when, since it fell silent, all members have been
// asked and at least half of them answered. One that said that it leaves goes without that.
void membership::end_suspicions(time_point now, membership_actions& out)
{
    const hearing all = heard_in_all();
    const bool trusted = 2 * all.heard >= all.asked;
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
        const member_record* known = directory_.find(it->first);
        const bool refuted = known == nullptr || is_newer(stamp_of(*known), it->second.stamp);
        if (refuted) {
            it = suspicions_.erase(it);
            out.emplace_back(directory_changed{});
            continue;
        }
        const time_point since = it->second.since;
        const bool over = now - since >= options_.suspicion_time;
        if (over && ((trusted && asked_all_since(since)) || known->leaving)) {
            directory_.remove(it->second.stamp);
            peers_.erase(it->first);
            out.emplace_back(directory_changed{});
            it = suspicions_.erase(it);
            continue;
        }
        ++it;
    }
}

// Raises the own version above the one that is doubted, which clears the doubt wherever it reaches.
void membership::refute(std::uint64_t version, time_point now, membership_actions& out)
{
    if (version < self_.version)
        return;
    self_.version = version + 1;
    directory_.merge(self_);
    spread({self_}, now, out);
}

void membership::take_suspects(const heartbeat& it, time_point now, membership_actions& out)
{
    for (const record_stamp& stamp : it.suspects) {
        if (stamp.vm == self_.vm && stamp.run == self_.run)
            refute(stamp.version, now, out);
        else
            suspect(stamp, now);
    }
}

// News goes on to a few others at once; who is missed learns it from the next differing digest.
void membership::spread(std::vector<member_record> records, time_point now, membership_actions& out)
{
    std::erase_if(records,
                  [](const member_record& it) { return it.servers.size() > most_news_servers; });
    for (const member_record* to : random_members(options_.fanout)) {
        for (const member_record& it : records) {
            heartbeat body = message(heartbeat_kind::news, 0, now);
            body.records.push_back(it);
            send(to->link, std::move(body), out);
        }
        if (records.empty())
            send(to->link, message(heartbeat_kind::news, 0, now), out);
    }
}

void membership::take_records(std::span<const member_record> records, time_point now,
                              membership_actions& out)
{
    std::vector<member_record> fresh;
    for (const member_record& it : records) {
        if (it.vm == self_.vm) {
            if (it.run == self_.run && it.version > self_.version)
                refute(it.version, now, out);
            continue;
        }
        if (directory_.merge(it))
            fresh.push_back(it);
    }
    if (fresh.empty())
        return;
    out.emplace_back(directory_changed{});
    spread(std::move(fresh), now, out);
}

// The age that an ack tells is at most the whole round trip older by now. It counts only when the
// configuration here is no older than the one in force at the peer.
void membership::take_ack(const endpoint& from, const heartbeat& it, membership_actions& out)
{
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const relay_state& a) {
        return a.own_number == it.number;
    });
    if (relay != relays_.end()) {
        heartbeat answer = it;
        answer.number = relay->number;
        answer.store_age.reset();
        send(relay->asker, std::move(answer), out);
        relays_.erase(relay);
        return;
    }
    const auto ping = std::find_if(pings_.begin(), pings_.end(), [&](const ping_state& a) {
        return a.number == it.number && a.target == it.from.vm;
    });
    if (ping == pings_.end())
        return;
    if (suspicions_.erase(it.from.vm) > 0)
        out.emplace_back(directory_changed{});
    const member_record* peer = directory_.find(it.from.vm);
    const bool direct = peer != nullptr && peer->link == from;
    if (direct)
        note_outcome(*ping, true);
    if (direct && it.store_age && it.generation <= generation_)
        store_heard(ping->sent - *it.store_age);
    pings_.erase(ping);
}

// The sender's digest and its generation tell whether there is something to fetch from it. While
// news is on its way digests differ for a moment; one that differs although nothing has changed
// here for a while means that one side has missed something, as two parts of a fleet that meet
// again have, however well the nodes of each part agree.
void membership::note_differences(const endpoint& from, const heartbeat& it, time_point now,
                                  membership_actions& out)
{
    if (it.generation > generation_)
        out.emplace_back(fetch_config{.link = from, .generation = it.generation});
    if (directory_.digest() != settled_digest_) {
        settled_digest_ = directory_.digest();
        settled_since_ = now;
    }
    if (it.directory_digest == directory_.digest())
        return;
    const bool joining = is_joining(now);
    if ((!joining && now - settled_since_ < options_.difference_time) || now < next_exchange_)
        return;
    next_exchange_ = now + (joining ? options_.joining_interval : options_.exchange_interval);
    out.emplace_back(exchange_members{.link = from});
}

membership_actions membership::receive(const endpoint& from, const heartbeat& it, time_point now)
{
    membership_actions out;
    if (it.from.vm == self_.vm)
        return out;
    take_suspects(it, now, out);
    take_records(it.records, now, out);
    switch (it.kind) {
    case heartbeat_kind::ping: {
        heartbeat ack = message(heartbeat_kind::ack, it.number, now);
        const record_stamp* removed = directory_.find_removed(it.from.vm);
        if (removed != nullptr && !is_newer(it.from, *removed))
            ack.suspects.push_back(*removed);
        send(from, std::move(ack), out);
        break;
    }
    case heartbeat_kind::ack:
        take_ack(from, it, out);
        break;
    case heartbeat_kind::ping_request:
        if (relays_.size() < most_relays_waiting) {
            const std::uint64_t number = next_number_++;
            relays_.push_back(
                {.own_number = number, .number = it.number, .asker = from, .sent = now});
            send(it.target, message(heartbeat_kind::ping, number, now), out);
        }
        break;
    case heartbeat_kind::news:
        break;
    }
    const bool relayed = it.kind == heartbeat_kind::ack && directory_.find(it.from.vm) != nullptr &&
                         directory_.find(it.from.vm)->link != from;
    if (!relayed)
        note_differences(from, it, now, out);
    return out;
}

membership_actions membership::merge(std::span<const member_record> records, time_point now)
{
    membership_actions out;
    take_records(records, now, out);
    return out;
}

membership_actions membership::announce(std::vector<server_record> servers, bool leaving,
                                        time_point now)
{
    self_.servers = std::move(servers);
    self_.leaving = leaving;
    return spread_self(now);
}

membership_actions membership::announce_shards(std::vector<held_shard> shards, time_point now)
{
    self_.shards = std::move(shards);
    return spread_self(now);
}

membership_actions membership::spread_self(time_point now)
{
    membership_actions out;
    ++self_.version;
    directory_.merge(self_);
    out.emplace_back(directory_changed{});
    spread({self_}, now, out);
    return out;
}

membership_actions membership::tick(time_point now)
{
    membership_actions out;
    time_out_pings(now, out);
    end_suspicions(now, out);
    if (now >= next_ping_) {
        next_ping_ = std::max(next_ping_ + options_.period, now);
        ping_next(now, out);
    }
    ping_seeds(now, out);
    return out;
}

membership_actions membership::set_generation(std::uint64_t generation, time_point now)
{
    assert(generation >= generation_);
    membership_actions out;
    if (generation == generation_)
        return out;
    generation_ = generation;
    spread({}, now, out);
    return out;
}

void membership::store_heard(time_point at)
{
    if (!store_heard_ || at > *store_heard_)
        store_heard_ = at;
}

std::optional<duration> membership::store_age(time_point now) const
{
    if (!store_heard_)
        return std::nullopt;
    return now - *store_heard_;
}

hearing membership::heard_lately(time_point now) const
{
    hearing out;
    for (const auto& [vm, it] : peers_) {
        if (!it.has_outcome || now - it.asked > options_.hearing_window)
            continue;
        ++out.asked;
        out.heard += it.heard ? 1 : 0;
    }
    return out;
}

// A member that was never pinged counts as heard: it has just joined.
hearing membership::heard_in_all() const
{
    hearing out;
    for (const auto& [vm, it] : peers_) {
        ++out.asked;
        out.heard += it.heard || !it.has_outcome ? 1 : 0;
    }
    return out;
}

std::vector<vm_id> membership::unheard() const
{
    std::vector<vm_id> out;
    for (const auto& [vm, it] : peers_) {
        if (it.has_outcome && !it.heard)
            out.push_back(vm);
    }
    return out;
}

void membership::add_seeds(std::span<const endpoint> seeds)
{
    options_.seeds.insert(options_.seeds.end(), seeds.begin(), seeds.end());
}

// The window tells soon, the whole round tells exactly; both must hold.
bool membership::may_serve(time_point now) const
{
    const auto age = store_age(now);
    if (age && *age <= options_.store_age_limit)
        return true;
    const hearing lately = heard_lately(now);
    const hearing all = heard_in_all();
    return 2 * lately.heard >= lately.asked && 2 * all.heard >= all.asked;
}

bool membership::hears_majority(time_point now) const
{
    const hearing lately = heard_lately(now);
    const hearing all = heard_in_all();
    return 2 * lately.heard > lately.asked && 2 * all.heard > all.asked;
}

// Rendezvous hashing: each node ranks the members of its failure domain alike, so few watch. A
// wrong view costs calls of the store, never safety.
bool membership::is_watcher(std::size_t count) const
{
    const std::uint64_t own = mix(self_.vm.value, watcher_salt);
    std::size_t above = 0;
    for (const member_record& it : directory_.members()) {
        const bool rival = it.domain == self_.domain && !it.leaving && it.vm != self_.vm;
        if (rival && mix(it.vm.value, watcher_salt) > own)
            ++above;
    }
    return above < count;
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
