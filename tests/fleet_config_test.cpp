#include "fleet_config.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminebank;

namespace {

constexpr const char* base = R"([fleet]
failure_domains = west, east
[service-template web]
timeout = 2s
[service catalogue]
template = web
floor_slots = 20
[service reservations]
template = web
[route lookup]
path = /lids/
service = catalogue
methods = GET, HEAD
[route reserve]
path = /lids/reserve
service = reservations
organisations = honey
[organisation-template small]
rate = 5
burst = 10
[organisation honey]
template = small
rate = 7
[organisation pepper]
template = small
)";

result<fleet_config, ini_error> build(const std::string& text)
{
    const auto file = parse_ini("fleet.ini", text);
    if (failed(file))
        return error_of(file);
    return build_fleet_config({value_of(file)});
}

} // namespace

TEST(fleet_config, section_fields_override_template_fields)
{
    const auto config = build(base);
    ASSERT_FALSE(failed(config)) << describe(error_of(config));
    const auto* honey = find_organisation(value_of(config), id_of<organisation_id>("honey"));
    ASSERT_NE(honey, nullptr);
    EXPECT_EQ(honey->rate, 7);
    EXPECT_EQ(honey->burst, 10);
    EXPECT_EQ(value_of(config).failure_domains, (std::vector<std::string>{"east", "west"}));
}

// Guards against a cold-start limit that the configuration does not name or gets wrong.
TEST(fleet_config, warm_up_of_a_service_is_read_and_bounded)
{
    const auto config = build("[service a]\nwarm_up = 20s\nwarm_up_rate = 2.5\n");
    ASSERT_FALSE(failed(config)) << describe(error_of(config));
    EXPECT_EQ(value_of(config).services.front().warm_up, duration(std::chrono::seconds(20)));
    EXPECT_EQ(value_of(config).services.front().warm_up_rate, 2.5);
    EXPECT_EQ(error_of(build("[service a]\nwarm_up_rate = -1\n")).field, "warm_up_rate");
    EXPECT_EQ(error_of(build("[service a]\nwarm_up = 601s\n")).field, "warm_up");
}

TEST(fleet_config, longest_path_wins_and_stops_at_a_slash)
{
    const auto config = build(base);
    const fleet_config& it = value_of(config);
    EXPECT_EQ(find_route(it, "GET", "/lids/70mm")->name, "lookup");
    EXPECT_EQ(find_route(it, "POST", "/lids/reserve")->name, "reserve");
    EXPECT_EQ(find_route(it, "POST", "/lids/reserve/7")->name, "reserve");
    EXPECT_EQ(find_route(it, "GET", "/lids/reserved")->name, "lookup");
    EXPECT_EQ(find_route(it, "POST", "/lids/70mm"), nullptr);
    EXPECT_FALSE(
        may_use(*find_route(it, "POST", "/lids/reserve"), id_of<organisation_id>("pepper")));
}

TEST(fleet_config, a_key_held_by_two_organisations_is_rejected)
{
    const std::string key = to_hex(digest_of("secret"));
    const auto one = build(std::string(base) + "key = " + key + "\n");
    ASSERT_FALSE(failed(one));
    EXPECT_EQ(find_organisation_by_key(value_of(one), digest_of("secret"))->name, "pepper");
    EXPECT_EQ(find_organisation_by_key(value_of(one), digest_of("other")), nullptr);
    const auto two = build(std::string(base) + "key = " + key +
                           "\n[organisation jam]\ntemplate = small\nkey.old = " + key + "\n");
    ASSERT_TRUE(failed(two));
    EXPECT_EQ(error_of(two).field, "key");
}

TEST(fleet_config, errors_name_the_line)
{
    const auto unknown = build("[route r]\npath = /a\nservice = none\n");
    ASSERT_TRUE(failed(unknown));
    EXPECT_EQ(error_of(unknown).line, 3);
    EXPECT_EQ(error_of(unknown).field, "service");
    EXPECT_TRUE(failed(build("[organisation a]\nrate = -1\nburst = 1\n")));
    EXPECT_TRUE(failed(build("[organisation a]\ntemplate = b\n")));
    EXPECT_TRUE(failed(build("[organisations a]\n")));
    EXPECT_TRUE(failed(build("[organisation a]\nrate = 1\n")));
}

// Guards against a restriction that is dropped because it is written in another way, or misspelt.
TEST(fleet_config, reads_the_regions_of_routes_and_organisations)
{
    const auto config = build(std::string(base) + "regions = north south, north\n");
    ASSERT_FALSE(failed(config)) << describe(error_of(config));
    const auto* pepper = find_organisation(value_of(config), id_of<organisation_id>("pepper"));
    EXPECT_EQ(pepper->regions.size(), 2U);
    EXPECT_TRUE(std::ranges::is_sorted(pepper->regions));
    EXPECT_EQ(value_of(config).region_names.at(id_of<region_id>("south")), "south");
    EXPECT_TRUE(find_route(value_of(config), "GET", "/lids/")->regions.empty());
    const auto wrong = build(std::string(base) + "regions = n/a\n");
    ASSERT_TRUE(failed(wrong));
    EXPECT_EQ(error_of(wrong).field, "regions");
}
