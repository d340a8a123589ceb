#include "limit_lease.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr limit_peer first{.vm = {1}, .run = {1}};
constexpr limit_peer second{.vm = {2}, .run = {1}};
constexpr time_point start{1000s};
constexpr duration token_expiry = with_drift_margin(max_token_lifetime);

limit_lease make_candidate(limit_peer self)
{
    limit_lease it({.self = self,
                    .ttl = 10s,
                    .renew_interval = 3s,
                    .retry_interval = 1s,
                    .reserve_share = 204},
                   start);
    it.observe({}, 0, start);
    return it;
}

std::optional<lease_write> tick_for_write(limit_lease& it, time_point now)
{
    lease_actions out;
    it.tick(0, now, out);
    const auto* write = out.empty() ? nullptr : std::get_if<lease_write>(&out.front());
    return write == nullptr ? std::nullopt : std::optional(*write);
}

// Makes a holder of epoch 1 since `start` and sets `record` to its record.
limit_lease make_holder(limit_peer self, lease_record& record)
{
    limit_lease it = make_candidate(self);
    record = tick_for_write(it, start)->record;
    it.write_completed(record.renewal, lease_write_outcome::written, 1, start + 10ms);
    return it;
}

} // namespace

TEST(limit_mandate, lease_runs_from_the_sending_of_its_write)
{
    lease_record record;
    limit_lease it = make_holder(first, record);
    EXPECT_EQ(it.terms().until, start + 10s);
    EXPECT_EQ(it.terms().share, whole_share);
}

TEST(limit_mandate, late_write_result_does_not_confirm_a_newer_write)
{
    lease_record record;
    limit_lease it = make_holder(first, record);
    const auto renewal = tick_for_write(it, start + 3s);
    // The outcome of the renewal is unknown, so the lease reads the record first.
    EXPECT_FALSE(tick_for_write(it, start + 4s + 1ms));
    it.observe(record, 1, start + 4s + 2ms);
    const auto next = tick_for_write(it, start + 6s);
    ASSERT_TRUE(renewal && next);
    it.write_completed(renewal->record.renewal, lease_write_outcome::written, 2, start + 6s + 1ms);
    EXPECT_EQ(it.terms().until, start + 10s);
}

TEST(limit_mandate, write_with_unknown_outcome_is_confirmed_by_a_read)
{
    lease_record record;
    limit_lease it = make_holder(first, record);
    const auto renewal = tick_for_write(it, start + 3s);
    it.write_completed(renewal->record.renewal, lease_write_outcome::unknown, 0, start + 4s);
    EXPECT_EQ(it.terms().until, start + 10s);
    it.observe(renewal->record, 2, start + 5s);
    EXPECT_EQ(it.terms().until, start + 13s);
}

TEST(limit_mandate, successor_waits_for_expiry_and_leaves_the_reserve_unused)
{
    lease_record record;
    const limit_lease old = make_holder(first, record);
    limit_lease it = make_candidate(second);
    it.observe(record, 1, start + 1s);
    EXPECT_FALSE(tick_for_write(it, start + 11s));
    const auto write = tick_for_write(it, start + 1s + with_drift_margin(10s));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.epoch, 2U);
    const time_point now = start + 12s;
    it.write_completed(write->record.renewal, lease_write_outcome::written, 2, now);
    EXPECT_EQ(it.terms().share + old.terms().reserve_share, whole_share);
    it.holder_stopped({.holder = first, .epoch = 1});
    tick_for_write(it, now);
    EXPECT_EQ(it.terms().share, whole_share);
}

// A new run on the same VM proves that the old one has ended, but tokens that the old one granted
// can still be spent until they expire.
TEST(limit_mandate, successor_of_an_ended_run_waits_until_its_tokens_expired)
{
    lease_record record;
    make_holder(first, record);
    limit_lease it = make_candidate(second);
    it.observe(record, 1, start + 1s);
    it.observe_run({.vm = first.vm, .run = {2}}, start + 2s);
    EXPECT_FALSE(tick_for_write(it, start + 2s + token_expiry - 1ns));
    const auto write = tick_for_write(it, start + 2s + token_expiry);
    ASSERT_TRUE(write);
    EXPECT_TRUE(write->record.possibly_active.empty());
}

TEST(limit_mandate, release_is_written_after_all_granted_tokens_expired)
{
    lease_record record;
    limit_lease it = make_holder(first, record);
    it.release(start + 1s);
    EXPECT_EQ(it.terms().share, 0U);
    EXPECT_FALSE(tick_for_write(it, start + 1s + token_expiry - 1ns));
    const auto write = tick_for_write(it, start + 1s + token_expiry);
    ASSERT_TRUE(write);
    EXPECT_TRUE(write->record.is_released);
    it.write_completed(write->record.renewal, lease_write_outcome::written, 2, start + 2s);
    EXPECT_TRUE(it.is_idle());
    limit_lease next = make_candidate(second);
    next.observe(write->record, 2, start + 2s);
    const auto acquired = tick_for_write(next, start + 2s);
    ASSERT_TRUE(acquired);
    EXPECT_TRUE(acquired->record.possibly_active.empty());
}

// With the store unreachable the lease expires into its reserve; the next successful renewal
// restores the full share.
TEST(limit_mandate, holder_falls_back_to_its_reserve_while_the_store_is_unreachable)
{
    lease_record record;
    limit_lease it = make_holder(first, record);
    const lease_terms terms = it.terms();
    EXPECT_EQ(terms.reserve_share, 204U);
    EXPECT_EQ(terms.reserve_until, start + 10s + 6h);
    tick_for_write(it, start + 3h);
    tick_for_write(it, start + 3h + 2s);
    it.observe(record, 1, start + 3h + 3s);
    const auto renewal = tick_for_write(it, start + 3h + 4s);
    ASSERT_TRUE(renewal);
    it.write_completed(renewal->record.renewal, lease_write_outcome::written, 2, start + 3h + 5s);
    EXPECT_EQ(it.terms().until, start + 3h + 14s);
}
