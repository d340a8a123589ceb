#include "limit_placement.h"
#include "member_codec.h"

#include <gtest/gtest.h>

#include <set>

using namespace jasminebank;

static std::vector<member_record> members_in(const std::vector<std::string>& domains)
{
    std::vector<member_record> out;
    for (std::uint64_t n = 0; n < domains.size(); ++n) {
        member_record it;
        it.name = "vm" + std::to_string(n);
        it.vm = id_of<vm_id>(it.name);
        it.run = {1};
        it.domain = id_of<failure_domain_id>(domains[n]);
        out.push_back(it);
    }
    return out;
}

static fleet_config config_with(std::vector<std::string> domains)
{
    fleet_config out;
    out.failure_domains = std::move(domains);
    return out;
}

TEST(limit_placement, ranks_are_unique_within_a_domain)
{
    const fleet_config config = config_with({"a", "b"});
    auto members = members_in({"a", "a", "b", "a", "c"});
    members[3].leaving = true;
    for (std::uint32_t shard = 0; shard < limit_shards; ++shard) {
        std::set<std::uint32_t> ranks;
        for (const std::size_t n : {0, 1})
            ranks.insert(shard_rank(shard, config, members, members[n]).value());
        EXPECT_EQ(ranks, (std::set<std::uint32_t>{0, 1}));
        EXPECT_EQ(shard_rank(shard, config, members, members[2]), 0U);
        EXPECT_FALSE(shard_rank(shard, config, members, members[3])) << "leaving";
        EXPECT_FALSE(shard_rank(shard, config, members, members[4])) << "domain not listed";
    }
    EXPECT_TRUE(shard_rank(0, config_with({}), members, members[4]));
}

TEST(limit_placement, finds_the_holder_with_the_newest_epoch_per_domain)
{
    auto members = members_in({"a", "a", "b", "c"});
    members[0].shards = {{.shard = 3, .epoch = 7}};
    members[1].shards = {{.shard = 2, .epoch = 9}, {.shard = 3, .epoch = 8}};
    members[2].shards = {{.shard = 3, .epoch = 1}};
    members[3].shards = {{.shard = 3, .epoch = 99}};
    const auto holders = find_holders(3, config_with({"a", "b"}), members);
    ASSERT_EQ(holders.size(), 2U);
    EXPECT_EQ(holders[0].vm, members[1].vm);
    EXPECT_EQ(holders[1].vm, members[2].vm);
    EXPECT_EQ(holders[1].domain, 1U);
}

TEST(limit_placement, member_records_round_trip_shards)
{
    auto members = members_in({"a", "b"});
    members[1].shards = {{.shard = 2, .epoch = 9}, {.shard = 15, .epoch = 1ULL << 50}};
    EXPECT_EQ(decode_members(encode_members(members)), members);
}
