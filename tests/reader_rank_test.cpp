#include "reader_rank.h"

#include <gtest/gtest.h>

#include <vector>

using namespace jasminebank;

namespace {

member_record node_of(std::uint64_t vm, std::uint64_t domain, std::uint32_t link_rate)
{
    return {.vm = {vm},
            .name = "n",
            .run = {1},
            .link = {.host = "127.0.0.1", .port = static_cast<std::uint16_t>(vm)},
            .domain = {domain},
            .link_rate = link_rate};
}

} // namespace

// Guards against a configuration that waits behind the slowest link of a failure domain.
TEST(reader_rank, nodes_with_the_fastest_links_read_first)
{
    std::vector<member_record> members;
    for (std::uint64_t n = 1; n <= 18; ++n)
        members.push_back(node_of(n, 1, n > 16 ? 200 : 10));
    members.push_back(node_of(19, 2, 1000));
    std::vector<std::size_t> ranks;
    ranks.reserve(members.size());
    for (const member_record& it : members)
        ranks.push_back(rank_reader(members, it).higher);
    EXPECT_LT(ranks[16], 2U);
    EXPECT_LT(ranks[17], 2U);
    EXPECT_EQ(ranks[18], 0U);
    EXPECT_EQ(rank_reader(members, members[0]).domain_size, 18U);
    const std::uint64_t first = ranks[16] == 0 ? 17 : 18;
    EXPECT_EQ(first_reader_of_each_other_domain(members, members[18])[0]->vm.value, first);
    members[first - 1].leaving = true;
    EXPECT_EQ(first_reader_of_each_other_domain(members, members[18])[0]->vm.value, 35 - first);
}

// Guards against a domain without a reader, or with several, while all nodes know each other.
TEST(reader_rank, equal_links_give_each_node_a_rank_of_its_own)
{
    std::vector<member_record> members;
    for (std::uint64_t n = 1; n <= 5; ++n)
        members.push_back(node_of(n, 1, 0));
    std::vector<bool> seen(5);
    for (const member_record& it : members)
        seen[rank_reader(members, it).higher] = true;
    EXPECT_EQ(seen, std::vector<bool>(5, true));
}
