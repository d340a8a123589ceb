#include "router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

TEST(router, keeps_new_work_from_draining_ejected_tried_and_leaving)
{
    member_directory directory;
    member_record leaving = member(3, 1, {server(30)});
    leaving.leaving = true;
    directory.merge(leaving);
    directory.merge(member(1, 1, {server(10, true), server(11)}));
    directory.merge(member(2, 2, {server(20)}));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    for (std::uint64_t n = 0; n < 50; ++n)
        EXPECT_EQ(it.choose({.service = {7}}, mix(n, 5), start)->server.value, 11U);
    const std::vector<backend_server_id> tried{{11}};
    EXPECT_EQ(it.choose({.service = {7}, .tried = tried}, 1, start)->server.value, 20U);
    member_record other = member(2, 2, {server(20)});
    other.version = 2;
    other.servers[0].standing = server_standing::on_trial;
    directory.merge(other);
    it.update(directory);
    EXPECT_FALSE(it.choose({.service = {7}, .tried = tried}, 1, start).has_value());
    EXPECT_TRUE(
        it.choose({.service = {7}, .idempotent = true, .tried = tried}, 1, start).has_value());
    other.version = 3;
    other.servers[0].standing = server_standing::held_out;
    directory.merge(other);
    it.update(directory);
    EXPECT_FALSE(it.choose({.service = {7}, .tried = tried}, 1, start).has_value());
    EXPECT_FALSE(it.choose({.service = {8}}, 1, start).has_value());
}

TEST(router, leaves_a_failed_gate_alone_for_a_while)
{
    member_directory directory;
    directory.merge(member(1, 1, {server(10)}));
    router it({.self = {1}, .domain = {1}});
    it.update(directory);
    it.gate_failed({1}, start);
    EXPECT_FALSE(it.choose({.service = {7}}, 1, start).has_value());
    EXPECT_TRUE(it.choose({.service = {7}}, 1, start + std::chrono::seconds(1)).has_value());
}

TEST(router, subset_is_bounded_and_reaches_other_domains)
{
    member_directory directory;
    for (std::uint64_t n = 1; n <= 60; ++n)
        directory.merge(member(n, n % 2, {server(n * 100)}));
    router it({.self = {1}, .domain = {1}, .subset = 12});
    it.update(directory);
    std::set<std::uint64_t> seen;
    std::vector<backend_server_id> tried;
    while (const auto choice = it.choose({.service = {7}, .tried = tried}, 1, start)) {
        seen.insert(choice->gate.value % 2);
        tried.push_back(choice->server);
    }
    EXPECT_EQ(tried.size(), 12U);
    EXPECT_EQ(seen.size(), 2U);
}
