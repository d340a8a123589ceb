#include "router.h"
#include "server_search.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace jasminebank;

namespace {

member_record member(std::uint64_t vm, std::uint64_t domain, std::vector<server_record> servers)
{
    return {.vm = {vm},
            .name = "vm" + std::to_string(vm),
            .run = {1},
            .version = 1,
            .link = {"127.0.0.1", 1},
            .domain = {domain},
            .servers = std::move(servers)};
}

server_record server(std::uint64_t id, bool draining = false)
{
    return {
        .id = {id}, .service = {7}, .address = {"127.0.0.1", 2}, .slots = 4, .draining = draining};
}

const time_point start{};

member_record leaving(member_record it)
{
    it.leaving = true;
    return it;
}

// Gates with `slots` each; requests that they accept do not end.
struct simulated_gates {
    std::uint32_t slots = 4;
    std::set<backend_server_id> closed{};
    std::map<backend_server_id, std::uint32_t> running{};

    bool is_full(backend_server_id server) { return running[server] >= slots; }
};

// Sends one request with as many attempts as an entry node makes; false if no gate accepted it.
bool send_one(router& it, simulated_gates& gates, std::mt19937_64& random)
{
    constexpr int max_attempts = 24;
    server_search search({.start = start});
    for (int n = 0; n < max_attempts; ++n) {
        const search_step step = search.step(start);
        const auto choice = it.choose(
            {.service = {7}, .excluded = step.excluded, .examines_all = step.consider_all_servers},
            random(), start);
        if (!choice && !search.advance_stage())
            return false;
        if (!choice)
            continue;
        it.started(choice->server);
        if (gates.closed.contains(choice->server)) {
            it.finished(choice->server, std::nullopt, start);
            it.gate_closed(choice->gate, choice->gate_run);
            search.on_refused(choice->server, refusal::stopping);
        }
        else if (gates.is_full(choice->server)) {
            it.finished(choice->server, 1.0, start);
            it.refused(choice->server, false, 1.0, start);
            search.on_refused(choice->server, refusal::overloaded);
        }
        else {
            ++gates.running[choice->server];
            return true;
        }
    }
    return false;
}

} // namespace

RC_GTEST_PROP(member_directory, merges_in_any_order_to_the_same_state, ())
{
    auto records = *rc::gen::container<std::vector<member_record>>(rc::gen::apply(
        [](std::uint64_t vm, std::uint64_t run, std::uint64_t version) {
            member_record it = member(vm, run % 3, {server(vm * 10 + version)});
            it.run = {run};
            it.version = version;
            return it;
        },
        rc::gen::inRange<std::uint64_t>(0, 4), rc::gen::inRange<std::uint64_t>(0, 3),
        rc::gen::inRange<std::uint64_t>(0, 4)));
    member_directory a;
    member_directory b;
    for (const auto& it : records)
        a.merge(it);
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        b.merge(*it);
        b.merge(*it);
    }
    RC_ASSERT(a.members() == b.members());
}

TEST(router, draining_ejected_excluded_and_closed_servers_get_no_new_requests)
{
    member_directory directory;
    directory.merge(leaving(member(3, 1, {server(30)})));
    directory.merge(member(1, 1, {server(10, true), server(11)}));
    directory.merge(member(2, 2, {server(20)}));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    it.gate_closed({3}, {1});
    for (std::uint64_t n = 0; n < 50; ++n)
        EXPECT_EQ(it.choose({.service = {7}}, mix(n, 5), start)->server.value, 11U);
    const std::vector<backend_server_id> tried{{11}};
    EXPECT_EQ(it.choose({.service = {7}, .excluded = tried}, 1, start)->server.value, 20U);
    member_record other = member(2, 2, {server(20)});
    other.version = 2;
    other.servers[0].standing = server_standing::on_trial;
    directory.merge(other);
    it.update(directory);
    EXPECT_FALSE(it.choose({.service = {7}, .excluded = tried}, 1, start).has_value());
    EXPECT_TRUE(
        it.choose({.service = {7}, .idempotent = true, .excluded = tried}, 1, start).has_value());
    other.version = 3;
    other.servers[0].standing = server_standing::held_out;
    directory.merge(other);
    it.update(directory);
    EXPECT_FALSE(it.choose({.service = {7}, .excluded = tried}, 1, start).has_value());
    EXPECT_FALSE(it.choose({.service = {8}}, 1, start).has_value());
}

TEST(router, leaving_node_is_chosen_only_when_the_others_are_busier_by_a_full_server)
{
    member_directory directory;
    directory.merge(member(1, 1, {server(10)}));
    directory.merge(leaving(member(2, 1, {server(20)})));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    for (std::uint32_t n = 0; n < server(10).slots; ++n) {
        for (std::uint64_t draw = 0; draw < 50; ++draw) {
            const auto choice =
                it.choose({.service = {7}, .examines_all = true}, mix(draw, 5), start);
            EXPECT_EQ(choice->server.value, 10U);
        }
        it.started({10});
    }
    it.started({10});
    EXPECT_EQ(it.choose({.service = {7}, .examines_all = true}, 1, start)->server.value, 20U);
}

TEST(router, closed_gate_is_chosen_again_after_its_restart)
{
    member_directory directory;
    member_record record = leaving(member(1, 1, {server(10)}));
    directory.merge(record);
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    it.gate_closed({1}, {1});
    EXPECT_FALSE(it.choose({.service = {7}}, 1, start).has_value());
    record.run = {2};
    record.leaving = false;
    directory.merge(record);
    it.update(directory);
    EXPECT_TRUE(it.choose({.service = {7}}, 1, start).has_value());
}

TEST(router, leaving_nodes_do_not_reduce_the_subset_of_other_nodes)
{
    member_directory directory;
    for (std::uint64_t n = 1; n <= 60; ++n)
        directory.merge(n % 2 == 0 ? member(n, 1, {server(n)})
                                   : leaving(member(n, 1, {server(n)})));
    router it({.self = {1}, .domain = {1}, .subset = 12});
    it.update(directory);
    std::vector<backend_server_id> tried;
    std::size_t others = 0;
    while (const auto choice = it.choose({.service = {7}, .excluded = tried}, 1, start)) {
        others += choice->server.value % 2 == 0 ? 1 : 0;
        tried.push_back(choice->server);
    }
    EXPECT_EQ(others, 12U);
    EXPECT_EQ(tried.size(), 24U);
}

RC_GTEST_PROP(router, requests_are_accepted_until_the_floor_share_of_open_gates_is_busy,
              (std::uint64_t seed))
{
    constexpr double floor_share = 0.7;
    std::mt19937_64 random(seed);
    const std::uint64_t servers = 2 + random() % 20;
    member_directory directory;
    simulated_gates gates;
    for (std::uint64_t n = 1; n <= servers; ++n) {
        const member_record record = member(n, random() % 3, {server(n)});
        const bool is_leaving = random() % 2 == 0;
        directory.merge(is_leaving ? leaving(record) : record);
        if (is_leaving && random() % 4 == 0)
            gates.closed.insert({n});
    }
    router it({.self = {1}, .domain = {0}});
    it.update(directory);
    while (send_one(it, gates, random)) {
    }
    const auto busy_gates = static_cast<double>(std::count_if(
        gates.running.begin(), gates.running.end(), [](const auto& a) { return a.second > 0; }));
    RC_ASSERT(busy_gates >= floor_share * static_cast<double>(servers - gates.closed.size()));
}

TEST(router, failed_gate_is_not_chosen_until_its_pause_ends)
{
    member_directory directory;
    directory.merge(member(1, 1, {server(10)}));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    it.gate_failed({1}, start);
    EXPECT_FALSE(it.choose({.service = {7}}, 1, start).has_value());
    EXPECT_TRUE(it.choose({.service = {7}}, 1, start + std::chrono::seconds(1)).has_value());
}

TEST(router, subset_is_bounded_and_includes_other_domains)
{
    member_directory directory;
    for (std::uint64_t n = 1; n <= 60; ++n)
        directory.merge(member(n, n % 2, {server(n * 100)}));
    router it({.self = {1}, .domain = {1}, .subset = 12});
    it.update(directory);
    std::set<std::uint64_t> seen;
    std::vector<backend_server_id> tried;
    while (const auto choice = it.choose({.service = {7}, .excluded = tried}, 1, start)) {
        seen.insert(choice->gate.value % 2);
        tried.push_back(choice->server);
    }
    EXPECT_EQ(tried.size(), 12U);
    EXPECT_EQ(seen.size(), 2U);
}

// The servers of one service in two regions with two failure domains each; domain 5 has none.
static router_options options_with_regions(std::size_t subset)
{
    router_options out{.self = {99}, .domain = {1}, .subset = subset};
    for (const std::uint64_t domain : {1, 2})
        out.regions.assign({domain}, {1});
    for (const std::uint64_t domain : {3, 4})
        out.regions.assign({domain}, {2});
    return out;
}

// Guards against a request that leaves its regions when those are full, excluded or small.
RC_GTEST_PROP(router, a_restricted_request_is_sent_to_its_regions_only, ())
{
    constexpr std::uint64_t domains = 5;
    const auto sizes = *rc::gen::container<std::vector<int>>(domains, rc::gen::inRange(0, 40));
    const bool own_first = *rc::gen::arbitrary<bool>();
    const bool examines_all = *rc::gen::arbitrary<bool>();
    const region_id region{*rc::gen::inRange<std::uint64_t>(1, 4)}; // 3: of no domain
    router_options options = options_with_regions(12);
    options.own_domain_first = own_first;
    router it(options);
    member_directory directory;
    std::map<backend_server_id, std::uint64_t> domain_of;
    std::uint64_t id = 0;
    for (std::uint64_t domain = 1; domain <= domains; ++domain) {
        for (int n = 0; n < sizes[domain - 1]; ++n) {
            ++id;
            member_record record = member(id, domain, {server(id)});
            record.leaving = *rc::gen::inRange(0, 4) == 0;
            directory.merge(record);
            domain_of[{id}] = domain;
        }
    }
    it.update(directory);
    const region_restriction regions = std::vector{region};
    std::vector<backend_server_id> tried;
    std::mt19937_64 random(7);
    for (auto choice = it.choose({.service = {7}, .regions = &regions}, random(), start); choice;) {
        RC_ASSERT(options.regions.region_of({domain_of.at(choice->server)}) == region);
        it.started(choice->server);
        tried.push_back(choice->server);
        choice = it.choose(
            {.service = {7}, .excluded = tried, .examines_all = examines_all, .regions = &regions},
            random(), start);
    }
    const bool has_servers =
        region.value < 3 && sizes[region.value * 2 - 2] + sizes[region.value * 2 - 1] > 0;
    RC_ASSERT(has_servers != tried.empty());
    RC_ASSERT(it.has_server({.service = {7}, .regions = &regions}, start) == has_servers);
}

// Guards against a subset without a server of a region that restricted requests need, and against
// unrestricted requests that reach more servers than the subset allows.
TEST(router, a_subset_keeps_servers_of_each_region)
{
    constexpr std::size_t subset = 6;
    router it(options_with_regions(subset));
    member_directory directory;
    for (std::uint64_t n = 1; n <= 200; ++n)
        directory.merge(member(n, n <= 190 ? 1 : 3, {server(n)}));
    it.update(directory);
    const region_restriction other = std::vector{region_id{2}};
    std::set<backend_server_id> restricted;
    std::set<backend_server_id> unrestricted;
    for (std::uint64_t n = 0; n < 500; ++n) {
        restricted.insert(it.choose({.service = {7}, .regions = &other}, n, start)->server);
        unrestricted.insert(it.choose({.service = {7}, .examines_all = true}, n, start)->server);
    }
    EXPECT_EQ(restricted.size(), subset);
    EXPECT_LE(unrestricted.size(), subset);
    EXPECT_EQ(it.candidate_counts().at({7}), subset);
}

// Guards against an entry of an evacuated domain that keeps only the third of its subset that is in
// other domains, and so overloads few servers.
TEST(router, evacuated_domains_leave_the_whole_subset_to_the_others)
{
    member_directory directory;
    for (std::uint64_t n = 0; n < 60; ++n)
        directory.merge(member(10 + n, n % 3, {server(100 + n)}));
    router it({.self = {1}, .domain = {1}, .subset = 12});
    it.set_evacuated({{1}});
    it.update(directory);
    EXPECT_EQ(it.candidate_counts().at({7}), 12U);
    std::mt19937_64 random(1);
    for (int n = 0; n < 1000; ++n)
        EXPECT_NE(it.choose({.service = {7}}, random(), start)->gate.value % 3, 2U);
    it.set_evacuated({{0}, {1}, {2}});
    it.update(directory);
    EXPECT_FALSE(it.choose({.service = {7}}, 1, start));
    EXPECT_TRUE(it.is_evacuated(service_id{7}));
    it.set_evacuated({});
    it.update(directory);
    EXPECT_FALSE(it.is_evacuated(service_id{7}));
    EXPECT_TRUE(it.choose({.service = {7}}, 1, start));
}

// Guards against an entry that does not know of the evacuation yet and spends its attempts on gates
// of the same domain, and against one gate that missed the end of an evacuation and so keeps the
// requests from its whole domain.
TEST(router, refusals_of_two_evacuated_gates_pause_their_domain)
{
    member_directory directory;
    for (std::uint64_t n = 0; n < 12; ++n)
        directory.merge(member(10 + n, n % 2, {server(100 + n)}));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    const auto gates = [&](time_point now) {
        std::set<std::uint64_t> out;
        std::mt19937_64 random(1);
        for (int n = 0; n < 1000; ++n)
            out.insert(it.choose({.service = {7}}, random(), now)->gate.value);
        return out;
    };
    it.gate_evacuated({11}, start);
    EXPECT_FALSE(gates(start).contains(11));
    EXPECT_TRUE(gates(start).contains(13));
    it.gate_evacuated({13}, start);
    EXPECT_EQ(gates(start), (std::set<std::uint64_t>{10, 12, 14, 16, 18, 20}));
    EXPECT_TRUE(gates(start + std::chrono::seconds(1)).contains(11));
}
