// Regions of the failure domains, and which requests a domain may serve.

#include "node_settings.h"
#include "region_map.h"
#include "region_watch.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminebank {
namespace {

ini_file settings_with(const std::string& section)
{
    const auto out = parse_ini("node.ini", "[node]\nplatform = yes\nvm = a\nfailure_domain = x\n"
                                           "store = 127.0.0.1:1\n" +
                                               section);
    EXPECT_FALSE(failed(out));
    return value_of(out);
}

std::vector<region_id> regions(std::initializer_list<const char*> names)
{
    std::vector<region_id> out;
    for (const char* name : names)
        out.push_back(id_of<region_id>(name));
    std::sort(out.begin(), out.end());
    return out;
}

constexpr auto in_north = id_of<failure_domain_id>("n-1");
constexpr auto unlisted = id_of<failure_domain_id>("u-1");

// Guards against a request that leaves its regions for a domain whose region is unknown.
TEST(region_map, only_a_listed_domain_serves_a_restricted_request)
{
    const auto settings =
        read_node_settings(settings_with("[regions]\nn-1 = north\ns-1 = south\n"));
    ASSERT_FALSE(failed(settings));
    const region_map& map = value_of(settings).regions.map;
    EXPECT_EQ(map.region_of(in_north), id_of<region_id>("north"));
    EXPECT_TRUE(map.is_allowed(in_north, regions({"north"})));
    EXPECT_FALSE(map.is_allowed(in_north, regions({"south"})));
    EXPECT_FALSE(map.is_allowed(in_north, std::vector<region_id>{}));
    EXPECT_FALSE(map.is_allowed(unlisted, regions({"north", "south"})));
    EXPECT_TRUE(map.is_allowed(unlisted, std::nullopt));
}

// Guards against a typing error in one line, or an empty section, that stops the process.
TEST(region_map, reports_and_ignores_a_domain_without_a_name_of_a_region)
{
    EXPECT_TRUE(read_region_map(settings_with("")).map.empty());
    EXPECT_FALSE(failed(read_node_settings(settings_with("[regions]\n"))));
    const auto read = read_region_map(settings_with("[regions]\nn-1 = north\nu-1 =\n"));
    ASSERT_EQ(read.rejected.size(), 1U);
    EXPECT_EQ(read.rejected.front().field, "u-1");
    EXPECT_EQ(read.map.region_of(unlisted), std::nullopt);
    EXPECT_EQ(read.map.region_of(in_north), id_of<region_id>("north"));
}

// Guards against a list that is ignored because the other one is empty or shares no region.
TEST(region_map, both_lists_apply)
{
    EXPECT_EQ(intersect_regions({}, {}), std::nullopt);
    EXPECT_EQ(intersect_regions(regions({"a"}), {}), regions({"a"}));
    EXPECT_EQ(intersect_regions({}, regions({"a", "b"})), regions({"a", "b"}));
    EXPECT_EQ(intersect_regions(regions({"a", "b"}), regions({"b", "c"})), regions({"b"}));
    EXPECT_EQ(intersect_regions(regions({"a"}), regions({"b"})), std::vector<region_id>{});
}

// Guards against a misspelt region that stays unnoticed, and against a report by a node that has
// just started and does not know the others yet.
TEST(region_watch, reports_a_region_without_a_node_once_per_configuration)
{
    const time_point start{};
    region_map map;
    map.assign(in_north, id_of<region_id>("north"));
    region_watch it(map);
    fleet_config config;
    add_regions(config, {"north", "nroth"});
    member_directory directory;
    directory.merge({.vm = {1}, .run = {1}, .version = 1, .domain = in_north});
    it.set_config(config, start);
    it.set_directory(directory);
    EXPECT_TRUE(it.new_absentees(start).empty());
    const std::vector<std::string> absent{"nroth"};
    EXPECT_EQ(it.new_absentees(start + region_report_delay), absent);
    EXPECT_TRUE(it.new_absentees(start + 2 * region_report_delay).empty());
    EXPECT_EQ(it.node_counts().at("north"), 1U);
    it.set_directory({});
    EXPECT_EQ(it.new_absentees(start + 2 * region_report_delay), std::vector<std::string>{"north"});
    it.set_config(config, start + 2 * region_report_delay);
    EXPECT_EQ(it.new_absentees(start + 3 * region_report_delay).size(), 2U);
}

} // namespace
} // namespace jasminebank
