#include "membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 25ms;
constexpr std::string_view fleet_key = "fleet-key-of-tests";

// Simulates a few nodes and the datagrams between them. Each cut blocks one direction.
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t size, std::uint64_t seed = 1,
                             std::size_t pingers_per_remote_member = 0,
                             bool with_evacuations = false, bool two_regions = false)
        : pingers(pingers_per_remote_member), shares_evacuations(with_evacuations),
          has_regions(two_regions)
    {
        for (std::size_t n = 0; n < size; ++n)
            nodes.push_back(start(n, seed + n));
        alive.assign(size, true);
    }

    membership start(std::size_t n, std::uint64_t seed) const
    {
        const std::string name = "vm" + std::to_string(n);
        return membership({.self = {.vm = id_of<vm_id>(name),
                                    .name = name,
                                    .run = {seed},
                                    .version = 1,
                                    .link = link(n),
                                    .domain = {n % 3},
                                    .servers = {}},
                           .seeds = {link(0), link(1)},
                           .random_seed = seed,
                           .pingers_per_remote_member = pingers,
                           .is_far =
                               [this, n](failure_domain_id it) {
                                   return has_regions && region(it.value) != region(n);
                               },
                           .shares_evacuations = shares_evacuations},
                          now);
    }

    /// The domains 0 and 1 are one region, the domain 2 is another one.
    static std::size_t region(std::size_t n) { return n % 3 / 2; }
    static endpoint link(std::size_t n) { return {"127.0.0.1", static_cast<std::uint16_t>(n + 1)}; }
    static std::size_t index(const endpoint& it) { return it.port - 1U; }

    void run(duration time)
    {
        for (const time_point end = now + time; now < end; now += step) {
            for (std::size_t n = 0; n < nodes.size(); ++n) {
                if (alive[n])
                    perform(n, nodes[n].tick(now));
                if (alive[n] && store.reached_by.contains(n) && must_read(n))
                    read_store(n);
            }
            deliver();
        }
    }

    // The rule of `node::must_read_config`.
    bool must_read(std::size_t n)
    {
        const auto age = nodes[n].store_age(now);
        const bool is_due = now - store.last_read[n] >= 500ms;
        return is_due && (nodes[n].is_watcher(1) || !age || *age > 2s);
    }

    void read_store(std::size_t n)
    {
        store.last_read[n] = now;
        perform(n, nodes[n].record_evacuations(
                       {.stamp = {1, store.revision}, .domains = store.domains}, now));
        nodes[n].record_store_contact(now);
    }

    void write_store(std::vector<std::string> domains)
    {
        store.domains = std::move(domains);
        ++store.revision;
    }

    // Number of nodes that have not the set of the store.
    std::size_t outdated_nodes() const
    {
        std::size_t out = 0;
        for (std::size_t n = 0; n < nodes.size(); ++n)
            out += alive[n] && nodes[n].evacuations().domains != store.domains ? 1 : 0;
        return out;
    }

    void perform(std::size_t from, const membership_actions& actions)
    {
        for (const membership_action& action : actions) {
            if (const auto* it = std::get_if<send_heartbeat>(&action))
                queue.push_back({from, index(it->to), encode_heartbeat(it->body, fleet_key)});
            else if (const auto* request = std::get_if<exchange_members>(&action))
                exchange(from, index(request->link));
            else if (const auto* fetch = std::get_if<newer_config>(&action))
                fetches.insert({from, fetch->generation});
            if (std::holds_alternative<newer_config>(action))
                evacuations_at_fetch[from] = nodes[from].evacuations().domains;
        }
    }

    bool is_cut(std::size_t from, std::size_t to) const
    {
        return !alive[from] || !alive[to] || cuts.contains({from, to});
    }

    void exchange(std::size_t a, std::size_t b)
    {
        if (is_cut(a, b) || is_cut(b, a))
            return;
        perform(b, nodes[b].merge(nodes[a].directory().members(), now));
        perform(a, nodes[a].merge(nodes[b].directory().members(), now));
    }

    void deliver()
    {
        for (int rounds = 0; rounds < 4; ++rounds) {
            const auto sent = std::exchange(queue, {});
            for (const datagram& it : sent) {
                if (it.from % 3 != it.to % 3)
                    bytes_between_domains += it.bytes.size();
                if (region(it.from) != region(it.to))
                    bytes_between_regions += it.bytes.size();
                if (is_cut(it.from, it.to))
                    continue;
                const auto body = decode_heartbeat(it.bytes, fleet_key);
                RC_ASSERT(body.has_value());
                perform(it.to, nodes[it.to].receive(link(it.from), *body, now));
            }
        }
    }

    void cut_between(std::size_t a, std::size_t b)
    {
        cuts.insert({a, b});
        cuts.insert({b, a});
    }

    bool knows(std::size_t a, std::size_t b) const
    {
        return nodes[a].directory().find(nodes[b].self().vm) != nullptr;
    }

    std::size_t pingers; ///< per member of another domain
    bool shares_evacuations;
    bool has_regions; ///< the nodes know that there are two regions
    std::size_t bytes_between_domains = 0;
    std::size_t bytes_between_regions = 0;
    struct datagram {
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };
    std::vector<membership> nodes;
    std::vector<bool> alive;
    std::deque<datagram> queue;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::set<std::pair<std::size_t, std::uint64_t>> fetches;
    std::map<std::size_t, std::vector<std::string>> evacuations_at_fetch;
    struct simulated_store {
        std::vector<std::string> domains;
        std::uint64_t revision = 1;
        std::set<std::size_t> reached_by;
        std::map<std::size_t, time_point> last_read;
    };
    simulated_store store;
    time_point now = time_point(1h);
};

} // namespace

TEST(membership, all_nodes_learn_all_members_and_remove_a_killed_one)
{
    simulated_fleet fleet(9);
    fleet.run(5s);
    for (const membership& it : fleet.nodes)
        ASSERT_EQ(it.directory().members().size(), 9U);
    fleet.alive[4] = false;
    fleet.run(6s);
    for (std::size_t n = 0; n < 9; ++n) {
        if (n != 4) {
            EXPECT_FALSE(fleet.knows(n, 4)) << n;
        }
    }
}

// Two nodes cannot reach each other, in one direction or both, but answer relayed pings. They must
// not be removed.
RC_GTEST_PROP(membership, a_cut_between_two_nodes_removes_no_member, ())
{
    simulated_fleet fleet(7, *rc::gen::inRange<std::uint64_t>(1, 1000));
    fleet.run(5s);
    const auto a = *rc::gen::inRange<std::size_t>(0, 7);
    const auto b = (a + *rc::gen::inRange<std::size_t>(1, 7)) % 7;
    fleet.cuts.insert({a, b});
    if (*rc::gen::arbitrary<bool>())
        fleet.cuts.insert({b, a});
    fleet.run(15s);
    for (std::size_t n = 0; n < 7; ++n) {
        RC_ASSERT(fleet.knows(n, a));
        RC_ASSERT(fleet.knows(n, b));
        RC_ASSERT(fleet.nodes[n].may_serve(fleet.now));
    }
}

// Guards against serving by an outdated configuration: for any partition, also with one-way cuts,
// no node may serve while a node of another part reaches a majority and so may accept changes. Once
// connected again, all nodes serve and know all members.
RC_GTEST_PROP(membership, no_partition_serves_while_another_reaches_a_majority, ())
{
    simulated_fleet fleet(8, *rc::gen::inRange<std::uint64_t>(1, 1000));
    fleet.run(5s);
    const auto part = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 3));
    const bool one_way = *rc::gen::arbitrary<bool>();
    for (std::size_t a = 0; a < 8; ++a) {
        for (std::size_t b = 0; b < 8; ++b) {
            const auto k = part[a];
            const auto m = part[b];
            if (k != m && (!one_way || k < m))
                fleet.cuts.insert({a, b});
        }
    }
    fleet.run(20s);
    for (std::size_t a = 0; a < 8; ++a) {
        for (std::size_t b = 0; b < 8; ++b) {
            if (part[a] != part[b] && fleet.nodes[a].reaches_majority(fleet.now))
                RC_ASSERT(!fleet.nodes[b].may_serve(fleet.now));
        }
    }
    fleet.cuts.clear();
    fleet.run(20s);
    for (std::size_t a = 0; a < 8; ++a) {
        RC_ASSERT(fleet.nodes[a].may_serve(fleet.now));
        RC_ASSERT(fleet.nodes[a].directory().members().size() == 8U);
    }
}

TEST(membership, store_age_spreads_from_the_node_in_contact_and_grows_after_contact_ends)
{
    simulated_fleet fleet(9);
    for (int n = 0; n < 40; ++n) {
        fleet.nodes[3].record_store_contact(fleet.now);
        fleet.run(250ms);
    }
    for (const membership& it : fleet.nodes)
        EXPECT_LT(*it.store_age(fleet.now), 5s);
    fleet.run(10s);
    for (const membership& it : fleet.nodes)
        EXPECT_GE(*it.store_age(fleet.now), 10s);
}

TEST(membership, a_new_generation_reaches_all_nodes_and_an_older_one_gains_no_store_age)
{
    simulated_fleet fleet(9);
    fleet.run(5s);
    fleet.perform(2, fleet.nodes[2].set_generation(7, false, fleet.now));
    fleet.run(1s);
    for (std::size_t n = 0; n < 9; ++n) {
        if (n != 2) {
            EXPECT_TRUE(fleet.fetches.contains({n, 7})) << n;
        }
    }
    fleet.nodes[2].record_store_contact(fleet.now);
    fleet.run(1s);
    EXPECT_FALSE(fleet.nodes[5].store_age(fleet.now).has_value());
}

// Guards against a change that crosses to another failure domain only by chance.
TEST(membership, a_change_read_from_the_store_is_told_to_the_first_readers_of_other_domains)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_fleet fleet(18, seed, 3);
        fleet.run(5s);
        const auto actions = fleet.nodes[0].set_generation(7, true, fleet.now);
        std::set<std::size_t> told;
        for (const membership_action& it : actions) {
            if (const auto* sent = std::get_if<send_heartbeat>(&it))
                told.insert(simulated_fleet::index(sent->to));
        }
        for (std::size_t n = 0; n < 18; ++n) {
            if (n % 3 != 0 && fleet.nodes[n].is_watcher(1)) {
                EXPECT_TRUE(told.contains(n)) << seed;
            }
        }
    }
}

TEST(heartbeat, rejects_altered_and_truncated_datagrams_and_another_fleet_key)
{
    simulated_fleet fleet(2);
    heartbeat body;
    body.name = "vm0";
    const std::string good = encode_heartbeat(body, fleet_key);
    EXPECT_TRUE(decode_heartbeat(good, fleet_key).has_value());
    EXPECT_FALSE(decode_heartbeat(good, "another-fleet-key").has_value());
    for (std::size_t n = 0; n < good.size(); ++n) {
        std::string bad = good;
        bad[n] = static_cast<char>(bad[n] ^ 1);
        EXPECT_FALSE(decode_heartbeat(bad, fleet_key).has_value());
        EXPECT_FALSE(decode_heartbeat(good.substr(0, n), fleet_key).has_value());
    }
}

// Guards against a heartbeat of a node without evacuations that cannot be read, and against one
// that is too large to be sent.
TEST(heartbeat, evacuations_are_optional_and_fit)
{
    heartbeat body;
    body.name = std::string(60, 'v');
    const std::string without = encode_heartbeat(body, fleet_key);
    ASSERT_TRUE(decode_heartbeat(without, fleet_key));
    EXPECT_FALSE(decode_heartbeat(without, fleet_key)->evacuations);
    body.evacuations = {.stamp = {7, ~std::uint64_t{0}}, .domains = {}};
    for (std::size_t n = 0; n < max_evacuated_domains; ++n)
        body.evacuations->domains.push_back(std::to_string(100'000'000'000 + n));
    const record_stamp stamp{{~std::uint64_t{0}}, {~std::uint64_t{0}}, 1U << 31U};
    body.suspects.assign(16, stamp);
    const std::string with = encode_heartbeat(body, fleet_key);
    EXPECT_LE(with.size(), max_heartbeat_bytes);
    EXPECT_EQ(decode_heartbeat(with, fleet_key)->evacuations, body.evacuations);
}

// Guards against nodes that go on sending to an evacuated domain: one of them is not refused by the
// store, and that one may be killed. 4 s are less than the bound of 5 s.
TEST(evacuation_spread, reaches_nodes_that_do_not_read_the_store)
{
    simulated_fleet fleet(12, 1, 3, true);
    fleet.store.reached_by = {0, 4, 8};
    fleet.run(6s);
    for (const std::vector<std::string>& domains :
         std::vector<std::vector<std::string>>{{"a"}, {"a", "b"}, {}, {"a"}, {"a", "b", "c"}}) {
        fleet.write_store(domains);
        fleet.run(4s);
        EXPECT_EQ(fleet.outdated_nodes(), 0U) << domains.size();
    }
    fleet.alive[0] = fleet.alive[4] = false;
    fleet.write_store({"b"});
    fleet.run(4s);
    EXPECT_EQ(fleet.outdated_nodes(), 0U) << "readers killed";
    fleet.store.reached_by.clear();
    fleet.run(10s);
    EXPECT_EQ(fleet.outdated_nodes(), 0U) << "store unavailable";
}

// Guards against a node that serves before it knows what is evacuated: it has the evacuations
// before it asks a peer for the configuration.
TEST(evacuation_spread, a_node_that_starts_knows_it_before_it_can_serve)
{
    simulated_fleet fleet(5, 1, 3, true);
    fleet.store.reached_by = {0, 1, 2};
    fleet.write_store({"a"});
    fleet.perform(1, fleet.nodes[1].set_generation(7, false, fleet.now));
    fleet.run(5s);
    fleet.nodes.push_back(fleet.start(5, 99));
    fleet.alive.push_back(true);
    fleet.run(1s);
    EXPECT_EQ(fleet.evacuations_at_fetch[5], fleet.store.domains);
}

// Guards against a node that counts as informed by a peer's store contact without having the
// evacuations of that time, for example while links are cut and heal.
RC_GTEST_PROP(evacuation_spread, knows_all_that_its_last_store_contact_saw, ())
{
    constexpr std::size_t size = 6;
    simulated_fleet fleet(size, *rc::gen::inRange<std::uint64_t>(1, 1000), 3, true);
    fleet.store.reached_by = {0, *rc::gen::inRange<std::size_t>(0, size)};
    std::map<std::string, time_point> written;
    for (int n = 0; n < 6; ++n) {
        const std::string name = "d" + std::to_string(n);
        std::vector<std::string> domains = fleet.store.domains;
        domains.push_back(name);
        fleet.write_store(domains);
        written[name] = fleet.now;
        const auto a = *rc::gen::inRange<std::size_t>(0, size);
        if (n % 3 == 2)
            fleet.cuts.clear();
        else
            fleet.cuts.insert({a, *rc::gen::inRange<std::size_t>(0, size)});
        fleet.run(*rc::gen::inRange(1, 40) * step);
        for (const membership& it : fleet.nodes) {
            const auto age = it.store_age(fleet.now);
            const auto& known = it.evacuations().domains;
            for (const auto& [domain, at] : written)
                RC_ASSERT(!age || fleet.now - *age < at ||
                          std::binary_search(known.begin(), known.end(), domain));
        }
    }
}

// Two partitions whose nodes have equal directories within each partition are connected. Equal
// digests from the own partition must not hide that the digest of the other partition differs.
TEST(membership, two_partitions_with_stable_directories_merge_once_connected)
{
    simulated_fleet fleet(8);
    for (std::size_t a = 0; a < 4; ++a) {
        for (std::size_t b = 4; b < 8; ++b)
            fleet.cut_between(a, b);
    }
    // All seeds are in the first partition, so nodes of the second join by one of its own nodes.
    const std::vector<endpoint> own{simulated_fleet::link(4)};
    for (std::size_t n = 5; n < 8; ++n)
        fleet.nodes[n].add_seeds(own);
    fleet.run(10s);
    ASSERT_TRUE(fleet.knows(0, 3));
    ASSERT_TRUE(fleet.knows(5, 7));
    ASSERT_FALSE(fleet.knows(0, 5));
    fleet.cuts.clear();
    fleet.run(5s);
    for (std::size_t a = 0; a < 8; ++a) {
        for (std::size_t b = 0; b < 8; ++b)
            EXPECT_TRUE(fleet.knows(a, b)) << a << " does not know " << b;
    }
}

// All nodes start at the same time, as after a power failure.
TEST(membership, nodes_started_together_know_each_other_within_half_a_second)
{
    simulated_fleet fleet(20);
    std::vector<endpoint> seeds;
    for (std::size_t n = 0; n < 20; ++n)
        seeds.push_back(simulated_fleet::link(n));
    for (membership& it : fleet.nodes)
        it.add_seeds(seeds);
    fleet.run(500ms);
    std::size_t known = 0;
    for (std::size_t a = 0; a < 20; ++a) {
        for (std::size_t b = 0; b < 20; ++b)
            known += fleet.knows(a, b) ? 1 : 0;
    }
    EXPECT_EQ(known, 400U);
}

// With few contacts between failure domains, all members are still known and a killed one is still
// removed, for less than half of the bytes between domains.
TEST(membership, few_contacts_between_domains_suffice)
{
    std::array<std::size_t, 2> bytes{};
    for (const std::size_t pingers : {0U, 3U}) {
        simulated_fleet fleet(45, 7, pingers);
        fleet.run(5s);
        for (std::size_t n = 0; n < 45; ++n)
            ASSERT_EQ(fleet.nodes[n].directory().members().size(), 45U) << n;
        fleet.bytes_between_domains = 0;
        for (std::size_t n = 0; n < 10; ++n) {
            fleet.perform(
                n, fleet.nodes[n].announce({.servers = {server_record{.id = {n + 1}}}}, fleet.now));
            fleet.run(1s);
        }
        bytes.at(pingers == 0 ? 0 : 1) = fleet.bytes_between_domains;
        for (std::size_t n = 0; n < 45; ++n)
            EXPECT_EQ(fleet.nodes[n].directory().digest(), fleet.nodes[0].directory().digest());
        fleet.alive[10] = false;
        fleet.run(20s);
        for (std::size_t n = 0; n < 45; ++n)
            EXPECT_TRUE(n == 10 || !fleet.knows(n, 10)) << n << " with " << pingers;
    }
    EXPECT_LT(bytes[1], bytes[0] / 2);
}

// Guards against a member that nobody misses because the nodes of another region share its pings,
// and against pings between regions that nodes near by could send.
TEST(membership, few_contacts_between_regions_suffice)
{
    std::array<std::size_t, 2> bytes{};
    for (const bool has_regions : {false, true}) {
        simulated_fleet fleet(45, 7, 3, false, has_regions);
        fleet.run(5s);
        fleet.bytes_between_regions = 0;
        fleet.run(30s);
        bytes.at(has_regions ? 1 : 0) = fleet.bytes_between_regions;
        for (const std::size_t gone : {10U, 11U}) // one of each region
            fleet.alive[gone] = false;
        fleet.run(20s);
        for (std::size_t n = 0; n < 45; ++n) {
            EXPECT_TRUE(!fleet.alive[n] || !fleet.knows(n, 10)) << n;
            EXPECT_TRUE(!fleet.alive[n] || !fleet.knows(n, 11)) << n;
        }
    }
    // Only the region of two domains can share the pings; the other one sends as many as before.
    EXPECT_LT(bytes[1], bytes[0] * 5 / 6);
}

// A region that is cut off is the smaller part of the fleet: it must not take the others for gone.
TEST(membership, region_that_is_cut_off_removes_no_member)
{
    simulated_fleet fleet(30, 3, 3, true);
    fleet.run(5s);
    for (std::size_t a = 2; a < 30; a += 3) {
        for (std::size_t b = 0; b < 30; ++b) {
            if (b % 3 != 2)
                fleet.cut_between(a, b);
        }
    }
    fleet.run(30s);
    for (std::size_t a = 2; a < 30; a += 3)
        EXPECT_EQ(fleet.nodes[a].directory().members().size(), 30U) << a;
}

// A domain that is cut off is the smaller part of the fleet: it must not take the others for gone.
TEST(membership, domain_that_is_cut_off_removes_no_member)
{
    simulated_fleet fleet(30, 3, 3);
    fleet.run(5s);
    for (std::size_t a = 0; a < 30; a += 3) {
        for (std::size_t b = 0; b < 30; ++b) {
            if (b % 3 != 0)
                fleet.cut_between(a, b);
        }
    }
    fleet.run(30s);
    for (std::size_t a = 0; a < 30; a += 3)
        EXPECT_EQ(fleet.nodes[a].directory().members().size(), 30U) << a;
}
