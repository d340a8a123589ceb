#include "traffic_account.h"

#include <gtest/gtest.h>

using namespace jasminebank;

namespace {

constexpr failure_domain_id own{1};
constexpr failure_domain_id near{2};
constexpr failure_domain_id far{3};

member_record member_of(std::uint64_t vm, failure_domain_id domain, std::uint16_t port)
{
    return {.vm = {vm},
            .name = std::to_string(vm),
            .run = {1},
            .version = 1,
            .link = {.host = "127.0.0.1", .port = port},
            .domain = domain};
}

traffic_scope scope_of_other(failure_domain_id it)
{
    return it == near ? traffic_scope::same_region : traffic_scope::other_region;
}

member_directory directory_of(std::initializer_list<member_record> members)
{
    member_directory out;
    for (const member_record& it : members)
        out.merge(it);
    return out;
}

} // namespace

// Guards against bytes that are counted for the wrong side of a region's border.
TEST(traffic_account, peers_have_the_scope_of_their_domain)
{
    traffic_account it;
    it.set_peers(
        directory_of({member_of(1, own, 11), member_of(2, near, 12), member_of(3, far, 13)}), own,
        scope_of_other);
    EXPECT_EQ(it.scope_of(vm_id{1}), traffic_scope::same_domain);
    EXPECT_EQ(it.scope_of(vm_id{2}), traffic_scope::same_region);
    EXPECT_EQ(it.scope_of(vm_id{3}), traffic_scope::other_region);
    EXPECT_EQ(it.scope_of(vm_id{4}), traffic_scope::unknown);
    EXPECT_EQ(it.scope_of(endpoint{.host = "127.0.0.1", .port = 13}), traffic_scope::other_region);
    EXPECT_EQ(it.scope_of(endpoint{.host = "127.0.0.1", .port = 14}), traffic_scope::unknown);
}

// Guards against a domain without a region that counts as near or far.
TEST(traffic_account, scope_follows_the_regions)
{
    region_map regions;
    regions.assign(own, {10});
    regions.assign(near, {10});
    regions.assign(far, {20});
    EXPECT_EQ(scope_of_domain(regions, own, own), traffic_scope::same_domain);
    EXPECT_EQ(scope_of_domain(regions, own, near), traffic_scope::same_region);
    EXPECT_EQ(scope_of_domain(regions, own, far), traffic_scope::other_region);
    EXPECT_EQ(scope_of_domain(regions, own, {4}), traffic_scope::unknown);
    EXPECT_EQ(scope_of_domain({}, own, near), traffic_scope::unknown);
}

// Guards against links that keep counting for the former domain of a node that moved.
TEST(traffic_account, replaced_peers_change_the_version)
{
    traffic_account it;
    it.set_peers(directory_of({member_of(1, near, 11)}), own, scope_of_other);
    const std::uint64_t before = it.peers_version();
    it.set_peers(directory_of({member_of(1, far, 11)}), own, scope_of_other);
    EXPECT_NE(it.peers_version(), before);
    EXPECT_EQ(it.scope_of(vm_id{1}), traffic_scope::other_region);
}

// Guards against metrics that mix up causes or scopes.
TEST(traffic_account, metrics_name_cause_and_scope)
{
    traffic_account it;
    it.add(traffic_cause::other_frame, traffic_scope::unknown, 17);
    it.add(traffic_cause::request_head, traffic_scope::other_region, 30);
    it.add(traffic_cause::request_head, traffic_scope::other_region, 12);
    EXPECT_EQ(it.text(),
              "# TYPE jasminebank_sent_bytes_total counter\n"
              "jasminebank_sent_bytes_total{cause=\"request_head\",scope=\"other_region\"} 42\n"
              "jasminebank_sent_bytes_total{cause=\"other_frame\",scope=\"unknown\"} 17\n");
}
