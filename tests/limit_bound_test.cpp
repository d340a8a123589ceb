// The bound of the rate limits: in every window, admitted <= burst + rate * length, under all
// faults.

#include "limit_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace jasminebank::test;

namespace {

constexpr organisation_id lids = id_of<organisation_id>("lids");

fleet_shape any_shape()
{
    fleet_shape shape;
    shape.domains = *rc::gen::element(1U, 2U, 3U, 4U);
    shape.entries = *rc::gen::element(1U, 2U, 4U);
    const double rate = *rc::gen::element(0.7, 2.0, 20.0, 50.0, 200.0);
    const double burst = *rc::gen::element(1.5, 3.0, 20.0, 50.0, 150.0);
    const std::uint32_t home = *rc::gen::element(no_home, no_home, 0U);
    shape.contract = make_contract(lids, rate, burst, home);
    shape.demand = *rc::gen::element(1.0, 3.0, 10.0);
    shape.is_bursting = true;
    shape.length = 12s;
    return shape;
}

double any_share(double most)
{
    return *rc::gen::element(0.0, most / 4, most);
}

fleet_faults any_faults()
{
    return {.lost = any_share(0.1),
            .repeated = any_share(0.3),
            .delayed = any_share(0.2),
            .link_cut = any_share(0.2),
            .kill = any_share(0.8),
            .freeze = any_share(1),
            .store_partition = any_share(1),
            .store_outage = any_share(0.4),
            .answer_lost = any_share(0.3),
            .release = any_share(1),
            .skewed_clocks = *rc::gen::arbitrary<bool>()};
}

} // namespace

RC_GTEST_PROP(limit_bound, holds_in_every_window_under_faults, ())
{
    fleet_shape shape = any_shape();
    shape.faults = any_faults();
    limit_fleet fleet(shape, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run();
    RC_ASSERT(fleet.worst_excess(shape.contract, 0s, shape.length) <= 0);
}

// Between two changes, the bound of the current contract holds from the time when the last grant
// under the earlier one has expired. Over the whole run, the bound of the largest rate and burst
// holds.
RC_GTEST_PROP(limit_bound, holds_across_contract_changes, ())
{
    fleet_shape shape = any_shape();
    shape.faults = any_faults();
    shape.faults.freeze = 0;
    shape.faults.change = 0.3;
    limit_fleet fleet(shape, *rc::gen::arbitrary<std::uint64_t>());
    fleet.run();
    rate_contract most = shape.contract;
    constexpr duration settling_time = 300ms + with_drift_margin(max_token_lifetime) + 10ms;
    for (std::size_t n = 0; n < fleet.changes.size(); ++n) {
        const auto& [at, contract] = fleet.changes[n];
        const duration end =
            n + 1 < fleet.changes.size() ? fleet.changes[n + 1].first : shape.length;
        most.rate = std::max(most.rate, contract.rate);
        most.burst = std::max(most.burst, contract.burst);
        RC_ASSERT(fleet.worst_excess(contract, at + settling_time, end) <= 0);
    }
    RC_ASSERT(fleet.worst_excess(most, 0s, shape.length) <= 0);
}

// Without faults and with demand below the rate, at most one request in a thousand is refused.
TEST(limit_service, refuses_hardly_any_request_below_the_rate)
{
    for (std::uint32_t rate : {2U, 20U, 200U}) {
        fleet_shape shape;
        shape.contract = make_contract(lids, rate, 2 * rate + 8);
        shape.demand = 0.7;
        shape.length = 120s;
        limit_fleet fleet(shape, rate);
        fleet.count_from = 10s;
        fleet.run();
        EXPECT_GT(fleet.offered, rate * 60) << rate;
        EXPECT_LE(fleet.refused * 1000, fleet.offered) << rate << ": " << fleet.refused;
    }
}

// With demand of ten times the rate, at least nine tenths of the rate is admitted.
TEST(limit_service, admits_about_the_rate_under_overload)
{
    fleet_shape shape;
    shape.contract = make_contract(lids, 50, 50);
    shape.demand = 10;
    shape.length = 60s;
    limit_fleet fleet(shape, 1);
    fleet.run();
    EXPECT_LE(fleet.worst_excess(shape.contract, 0s, shape.length), 0);
    EXPECT_GE(fleet.admitted, 50U * 60 * 9 / 10);
}

// Killed holders are replaced, and at most one request in twenty is refused meanwhile.
TEST(limit_service, recovers_after_holder_crashes)
{
    fleet_shape shape;
    shape.contract = make_contract(lids, 50, 50);
    shape.demand = 0.5;
    shape.length = 60s;
    shape.faults.kill = 0.2;
    limit_fleet fleet(shape, 1);
    fleet.run();
    EXPECT_GT(fleet.takeovers, 3U); // the first holder of each of the 3 domains, and successors
    EXPECT_LE(fleet.refused * 20, fleet.offered);
}
