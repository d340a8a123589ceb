#include "saved_victims.h"

#include "poison_codec.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};
constexpr request_fingerprint crashing{1, 2};

std::vector<poison_victim> saved_by(const saved_victims& it, time_point now)
{
    return decode_victims(it.encode(now)).value();
}

} // namespace

// Guards against a crash that the second run of a node overwrites when it saves one of its own.
TEST(saved_victims, of_earlier_runs_are_saved_again)
{
    saved_victims first;
    EXPECT_TRUE(first.add(crashing, {1}, {1}, 0, start));
    saved_victims second;
    second.restore(saved_by(first, start + 1min), start + 2min);
    EXPECT_TRUE(second.add(crashing, {1}, {2}, 1, start + 2min));
    poison_list all;
    all.merge(saved_by(second, start + 3min), start + 3min);
    EXPECT_TRUE(all.is_refused(crashing, start + 3min));
    EXPECT_EQ(saved_by(second, start + 11min).size(), 1U) << "ten minutes after the first was read";
}

// Guards against many writes for a request that many callers send at once.
TEST(saved_victims, of_a_request_that_is_refused_are_not_saved)
{
    saved_victims it;
    EXPECT_TRUE(it.add(crashing, {1}, {1}, 0, start));
    EXPECT_FALSE(it.add(crashing, {1}, {1}, 1, start)) << "the same crash";
    EXPECT_TRUE(it.add(crashing, {1}, {2}, 1, start));
    EXPECT_FALSE(it.add(crashing, {1}, {3}, 2, start));
    EXPECT_EQ(saved_by(it, start).size(), 2U);
}

// Guards against a value that outgrows the store's limit.
TEST(saved_victims, are_bounded)
{
    saved_victims it;
    for (std::uint64_t n = 0; n < 1000; ++n)
        EXPECT_TRUE(it.add({n, n}, {n}, {n}, 0, start + std::chrono::milliseconds(n)));
    EXPECT_EQ(saved_by(it, start + 1min).size(), 64U);
    EXPECT_LT(it.encode(start + 1min).size(), 4096U);
}
