#include "config_feed.h"

#include <gtest/gtest.h>

using namespace jasminebank;

// A store that was restored from an older copy may lack the newest configuration, too.
TEST(config_feed, older_configuration_does_not_confirm_the_one_in_force)
{
    const auto links = link_hub::start(
        {.self = {.vm_name = "a", .run = {1}}, .fleet_key = "fleet key of the tests"});
    std::uint64_t in_force = 0;
    config_feed feed(
        {.decode = [](std::string_view text) -> result<fleet_config, config_value_error> {
             fleet_config out;
             out.generation = static_cast<std::uint64_t>(text.size());
             return out;
         },
         .on_generation = [&](const auto& it, const auto&) { in_force = it->generation; }},
        *links);
    EXPECT_TRUE(feed.apply("xxx", {}));
    EXPECT_FALSE(feed.apply("xx", {}));
    EXPECT_FALSE(feed.apply("xx", {}));
    EXPECT_TRUE(feed.apply("xxx", {}));
    EXPECT_EQ(in_force, 3U);
    links->stop();
}

// Guards against answers that a node of the version before cannot read.
TEST(config_feed, answer_is_compressed_only_for_nodes_that_accept_it)
{
    const auto links = link_hub::start(
        {.self = {.vm_name = "a", .run = {1}}, .fleet_key = "fleet key of the tests"});
    config_feed feed(
        {.decode = [](std::string_view text) -> result<fleet_config, config_value_error> {
             fleet_config out;
             out.generation = static_cast<std::uint64_t>(text.size());
             return out;
         },
         .on_generation = [](const auto&, const auto&) {}},
        *links);
    const std::string text(10'000, 'x');
    ASSERT_TRUE(feed.apply(text, {}));
    EXPECT_EQ(feed.answer("3"), text);
    EXPECT_TRUE(feed.answer("3 deflate").starts_with("deflate:"));
    EXPECT_LT(feed.answer("3 deflate").size(), 200U);
    EXPECT_EQ(feed.answer("10000 deflate"), "");
    ASSERT_TRUE(feed.apply(text + "y", {}));
    EXPECT_TRUE(feed.answer("10000 deflate").starts_with("deflate:"));
    links->stop();
}
