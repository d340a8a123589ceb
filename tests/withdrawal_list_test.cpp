#include "withdrawal_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace jasminebank;

TEST(withdrawal_list, a_withdrawal_covers_earlier_runs_but_no_later_one)
{
    withdrawal_list it;
    EXPECT_TRUE(it.add({.server = {7}, .run = {20}}));
    EXPECT_FALSE(it.add({.server = {7}, .run = {20}}));
    EXPECT_TRUE(it.contains({.server = {7}, .run = {20}}));
    EXPECT_TRUE(it.contains({.server = {7}, .run = {19}}));
    EXPECT_FALSE(it.contains({.server = {7}, .run = {21}}));
    EXPECT_FALSE(it.contains({.server = {8}, .run = {20}}));
}

TEST(withdrawal_list, a_server_that_does_not_tell_its_run_is_not_recorded)
{
    withdrawal_list it;
    EXPECT_FALSE(it.add({.server = {7}, .run = {0}}));
    EXPECT_FALSE(it.contains({.server = {7}, .run = {0}}));
}

TEST(withdrawal_list, drops_the_oldest_beyond_its_size)
{
    withdrawal_list it;
    for (std::uint64_t n = 1; n <= 1000; ++n)
        it.add({.server = {n}, .run = {n}});
    EXPECT_LE(it.entries().size(), 64U);
    EXPECT_TRUE(it.contains({.server = {1000}, .run = {1000}}));
    EXPECT_FALSE(it.contains({.server = {1}, .run = {1}}));
}

RC_GTEST_PROP(withdrawal_list, decodes_what_it_encodes_and_no_other_bytes, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    withdrawal_list list;
    for (std::size_t n = random() % 5; n > 0; --n)
        list.add({.server = {random()}, .run = {random()}});
    std::string text = encode_withdrawals(list.entries());
    RC_ASSERT(decode_withdrawals(text) == std::optional(list.entries()));
    for (std::size_t n = 1 + random() % 4; n > 0 && !text.empty(); --n)
        text[random() % text.size()] = static_cast<char>(random());
    const auto damaged = decode_withdrawals(text);
    const bool is_bounded = !damaged || damaged->size() <= list.entries().size() + 4;
    RC_ASSERT(is_bounded);
}
