#include "bench_crossing.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

crossing_case case_named(std::string_view name)
{
    const auto cases = crossing_cases();
    return *std::ranges::find(cases, name, &crossing_case::name);
}

crossing_outcome play(const crossing_case& load, bool has_policy, std::uint64_t seed)
{
    bench_report report;
    return simulate_crossing(load, has_policy, seed, report);
}

double share(std::uint64_t part, const crossing_outcome& it)
{
    return static_cast<double>(part) / static_cast<double>(it.offered);
}

} // namespace

// Load: each domain can serve its own callers. Guards against traffic between regions for nothing.
TEST(bench_crossing, nothing_leaves_the_region_while_the_domains_suffice)
{
    const crossing_outcome it = play(case_named("fitting"), true, 1);
    EXPECT_EQ(it.region_bytes, 0U);
    EXPECT_GT(share(it.in_target, it), 0.999);
}

// Load: demand moves between the domains every 2 s, and a region is short at times. Guards against
// callers that lose answers, or get them late, because requests stay where there is no capacity.
TEST(bench_crossing, callers_of_a_moving_load_are_served_with_fewer_bytes_between_regions)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const crossing_outcome before = play(case_named("moving"), false, seed);
        const crossing_outcome after = play(case_named("moving"), true, seed);
        EXPECT_GE(after.served, before.served);
        EXPECT_GE(after.in_target, before.in_target);
        EXPECT_GT(share(after.in_target, after), 0.995);
        EXPECT_LT(2 * after.region_bytes, before.region_bytes);
        EXPECT_LT(after.longest_link_wait, 50ms);
    }
}

// Load: a region needs more from the other than the link between them carries. Guards against a
// link so full that answers to all who use it are late.
TEST(bench_crossing, callers_of_a_crowded_fleet_are_not_delayed_by_the_link)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const crossing_outcome before = play(case_named("crowded"), false, seed);
        const crossing_outcome after = play(case_named("crowded"), true, seed);
        EXPECT_GT(share(after.served, after), share(before.served, before) + 0.05);
        EXPECT_LT(after.longest_link_wait, before.longest_link_wait / 4);
    }
}

// Guards against a result that cannot be repeated.
TEST(bench_crossing, equal_seeds_make_equal_decisions)
{
    bench_report a;
    bench_report b;
    simulate_crossing(case_named("uneven"), true, 5, a);
    simulate_crossing(case_named("uneven"), true, 5, b);
    EXPECT_EQ(a.signature(), b.signature());
}
