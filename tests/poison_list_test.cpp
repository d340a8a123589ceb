#include "poison_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <tuple>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{1h};

std::vector<poison_victim> random_victims(std::mt19937_64& random)
{
    std::vector<poison_victim> out(random() % 12);
    for (poison_victim& it : out)
        it = {.fingerprint = {0, random() % 3},
              .server = {random() % 3},
              .run = {random() % 2},
              .remaining = std::chrono::seconds(random() % 5)};
    return out;
}

auto contents(const poison_list& it)
{
    std::vector<std::tuple<request_fingerprint, backend_server_id, incarnation, duration>> out;
    for (const poison_victim& v : it.entries(now))
        out.emplace_back(v.fingerprint, v.server, v.run, v.remaining);
    return out;
}

} // namespace

// Nodes that receive the same entries in any order and any number of times have the same list, also
// when it is full.
RC_GTEST_PROP(poison_list, merge_is_idempotent_and_commutative, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const poison_list_options options{.max_victims = 4};
    std::vector<std::vector<poison_victim>> received;
    received.reserve(4);
    for (int n = 0; n < 4; ++n)
        received.push_back(random_victims(random));
    poison_list one(options);
    for (const auto& it : received)
        one.merge(it, now);
    std::shuffle(received.begin(), received.end(), random);
    poison_list other(options);
    for (const auto& it : received)
        other.merge(it, now);
    other.merge(received[random() % received.size()], now);
    RC_ASSERT(contents(one) == contents(other));
    RC_ASSERT(!one.merge(other.entries(now), now));
    RC_ASSERT(contents(one).size() <= 4U);
}

TEST(poison_list, request_is_refused_from_its_second_victim_until_one_expires)
{
    poison_list list;
    const request_fingerprint it = fingerprint_of({1}, {2}, "POST", "body");
    EXPECT_TRUE(list.on_server_crash(it, {1}, {1}, now));
    EXPECT_FALSE(list.on_server_crash(it, {1}, {1}, now));
    EXPECT_FALSE(list.is_refused(it, now));
    EXPECT_EQ(list.victim_count(it, now), 1U);
    EXPECT_TRUE(list.on_server_crash(it, {2}, {1}, now + 1min));
    EXPECT_TRUE(list.is_refused(it, now + 1min));
    EXPECT_EQ(list.remaining_refusal(it, now + 1min), 9min);
    EXPECT_FALSE(list.is_refused(it, now + 10min));
    EXPECT_FALSE(list.is_refused(fingerprint_of({2}, {2}, "POST", "body"), now + 1min));
}

TEST(poison_list, lifetime_of_a_received_entry_is_bounded)
{
    poison_list list;
    list.merge({{.fingerprint = {1, 1}, .server = {1}, .run = {1}, .remaining = 100h}}, now);
    EXPECT_EQ(list.victim_count({1, 1}, now + 11min), 0U);
}

TEST(poison_list, fingerprint_depends_on_the_boundaries_and_order_of_its_parts)
{
    EXPECT_NE(fingerprint_of({1}, {2}, "PUT", "x"), fingerprint_of({1}, {2}, "PU", "Tx"));
    EXPECT_NE(fingerprint_of({1}, {2}, "PUT", "x"), fingerprint_of({2}, {1}, "PUT", "x"));
}
