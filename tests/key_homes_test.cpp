// The coordinator of an idempotency key whose request is restricted to regions.

#include "key_homes.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t organisation_shard_epoch = 4;
constexpr organisation_id organisation{1};
const time_point start{1000s};
const std::uint32_t shard = shard_of(organisation, limit_shards);

region_map two_regions()
{
    region_map out;
    out.assign(id_of<failure_domain_id>("a"), id_of<region_id>("north"));
    out.assign(id_of<failure_domain_id>("b"), id_of<region_id>("south"));
    return out;
}

std::shared_ptr<const fleet_config> config(std::vector<region_id> regions = {})
{
    fleet_config out{.generation = 1, .failure_domains = {"a", "b", "c"}};
    out.organisations.push_back({.id = organisation, .name = "o", .keys = {}});
    out.organisations.back().regions = std::move(regions);
    return std::make_shared<const fleet_config>(std::move(out));
}

// One node in each failure domain holds the lease of the organisation's shard.
member_directory directory()
{
    member_directory out;
    std::uint64_t vm = 0;
    for (const char* domain : {"a", "b", "c"})
        out.merge({.vm = {++vm},
                   .name = domain,
                   .run = {1},
                   .version = 1,
                   .link = {"127.0.0.1", 1},
                   .domain = id_of<failure_domain_id>(domain),
                   .shards = {{.shard = shard, .epoch = organisation_shard_epoch}}});
    return out;
}

key_coordinators coordinators_of(vm_id self, const char* domain)
{
    return {self, id_of<failure_domain_id>(domain), two_regions()};
}

std::optional<key_coordinator> find(const key_coordinators& it,
                                    const std::vector<const char*>& regions)
{
    idempotency_key key{.organisation = organisation};
    for (const char* region : regions)
        key.regions.push_back(id_of<region_id>(region));
    std::ranges::sort(key.regions);
    return it.find(key);
}

} // namespace

// Guards against a record of a restricted request that is kept in another region.
TEST(key_homes, restricted_keys_are_coordinated_in_the_first_allowed_domain)
{
    key_coordinators it = coordinators_of({9}, "a");
    it.set_config(config(), start);
    it.set_directory(directory());
    EXPECT_EQ(find(it, {})->vm, vm_id{1});
    EXPECT_EQ(find(it, {"north", "south"})->vm, vm_id{1});
    EXPECT_EQ(find(it, {"south"})->vm, vm_id{2});
    EXPECT_EQ(find(it, {"west"}), std::nullopt);
}

// Guards against a coordinator that accepts a key which its region may not keep.
TEST(key_homes, an_own_lease_coordinates_only_the_keys_of_its_region)
{
    key_coordinators it = coordinators_of({2}, "b");
    it.set_config(config(), start);
    it.set_terms({.shard = shard, .epoch = organisation_shard_epoch, .terms = {.share = 1}}, start);
    EXPECT_EQ(find(it, {}), std::nullopt);
    EXPECT_EQ(find(it, {"north"}), std::nullopt);
    ASSERT_TRUE(find(it, {"south"}));
    EXPECT_TRUE(find(it, {"south"})->is_self);
    EXPECT_EQ(find(it, {"south"})->placed, std::nullopt);
}

// Guards against a second run of a request whose key was granted elsewhere before the restriction
// changed.
TEST(key_homes, a_changed_restriction_is_told_with_the_coordinator)
{
    key_coordinators it = coordinators_of({1}, "a");
    it.set_terms({.shard = shard, .epoch = 1, .terms = {.share = 1}}, start);
    it.set_config(config({id_of<region_id>("south")}), start);
    it.set_config(config({id_of<region_id>("south")}), start + 1s);
    EXPECT_EQ(find(it, {})->placed, std::nullopt);
    it.set_config(config(), start + 2s);
    ASSERT_TRUE(find(it, {})->placed);
    EXPECT_GT(*find(it, {})->placed, start + 2s);
}
