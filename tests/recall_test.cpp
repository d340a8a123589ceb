#include "recall_codec.h"
#include "recall_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

member_record member(std::uint64_t vm, std::uint64_t run)
{
    return {.vm = {vm},
            .name = std::to_string(vm),
            .run = {run},
            .version = 1,
            .link = {.host = "127.0.0.1", .port = 9},
            .domain = {1}};
}

std::vector<std::uint64_t> vms(const std::vector<member_record>& records)
{
    std::vector<std::uint64_t> out;
    out.reserve(records.size());
    for (const member_record& it : records)
        out.push_back(it.vm.value);
    return out;
}

} // namespace

// Nodes that were restarted a moment ago know as little as this one.
TEST(recall_plan, asks_those_that_have_run_for_longest)
{
    member_directory directory;
    for (const auto& [vm, run] : {std::pair{1, 90}, {2, 30}, {3, 100}, {4, 20}, {5, 40}, {6, 110}})
        directory.merge(member(vm, run));
    recall_plan it({.self = {3}, .run = {100}});
    EXPECT_EQ(vms(it.next_peers(directory)), (std::vector<std::uint64_t>{4, 2, 5}));
    EXPECT_TRUE(it.next_peers(directory).empty());
    it.finished({2}, true);
    EXPECT_TRUE(it.next_peers(directory).empty());
    it.finished({4}, false);
    EXPECT_EQ(vms(it.next_peers(directory)), std::vector<std::uint64_t>{1});
    it.finished({5}, true);
    it.finished({1}, true);
    EXPECT_TRUE(it.is_complete());
    EXPECT_TRUE(it.next_peers(directory).empty());
}

// A node whose clock was set back takes all others for younger ones.
TEST(recall_plan, asks_younger_ones_if_there_is_no_other)
{
    member_directory directory;
    directory.merge(member(1, 90));
    directory.merge(member(2, 80));
    recall_plan it({.self = {3}, .run = {10}, .wanted_peers = 1});
    EXPECT_EQ(vms(it.next_peers(directory)), std::vector<std::uint64_t>{2});
    it.finished({2}, false);
    EXPECT_EQ(vms(it.next_peers(directory)), std::vector<std::uint64_t>{1});
}

RC_GTEST_PROP(recall_codec, decodes_what_it_encodes_and_no_other_bytes, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    recalled_facts facts;
    for (std::size_t n = random() % 4; n > 0; --n)
        facts.withdrawn.push_back({.server = {random()}, .run = {random()}});
    for (std::size_t n = random() % 4; n > 0; --n)
        facts.victims.push_back({.fingerprint = {.high = random(), .low = random()},
                                 .server = {random()},
                                 .run = {random()},
                                 .remaining = 1s});
    std::string bytes = encode_recalled(facts);
    const auto whole = decode_recalled(bytes);
    RC_ASSERT(whole.has_value());
    RC_ASSERT(whole->withdrawn == facts.withdrawn);
    RC_ASSERT(whole->victims.size() == facts.victims.size());
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(random() % (bytes.size() + 1));
    static_cast<void>(decode_recalled(bytes));
}

// A peer knows of withdrawals from a node by its record, and keeps them when the record of the
// node's next run replaces it.
TEST(member_directory, keeps_withdrawals_of_earlier_runs)
{
    member_directory it;
    member_record before = member(1, 10);
    before.withdrawn = {{.server = {7}, .run = {5}}};
    it.merge(before);
    EXPECT_TRUE(it.withdrawals_before({1}, {10}).entries().empty());
    EXPECT_EQ(it.withdrawals_before({1}, {11}).entries(), before.withdrawn);
    it.merge(member(1, 11));
    EXPECT_EQ(it.withdrawals_before({1}, {11}).entries(), before.withdrawn);
    EXPECT_TRUE(it.withdrawals_before({2}, {11}).entries().empty());
    member_record next = member(1, 12);
    next.withdrawn = {{.server = {8}, .run = {6}}};
    it.merge(next);
    it.remove(stamp_of(next));
    EXPECT_EQ(it.withdrawals_before({1}, {13}).entries().size(), 2U);
}
