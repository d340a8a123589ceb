#include "limit_mandate.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr limit_peer first{.vm = {1}, .run = {1}};
constexpr limit_peer second{.vm = {2}, .run = {1}};
constexpr time_point start{1000s};
constexpr duration token_end = with_drift_margin(max_token_lifetime);

limit_mandate idle_candidate(limit_peer self)
{
    limit_mandate it(
        {.self = self, .lasts = 10s, .renew_every = 3s, .retry_every = 1s, .reserve_share = 204},
        start);
    it.observe({}, 0, start);
    return it;
}

std::optional<mandate_write> write_of(limit_mandate& it, time_point now)
{
    mandate_actions out;
    it.tick(0, now, out);
    const auto* write = out.empty() ? nullptr : std::get_if<mandate_write>(&out.front());
    return write == nullptr ? std::nullopt : std::optional(*write);
}

// A holder of epoch 1 since `start`, and its record.
limit_mandate holder_of(limit_peer self, mandate_record& record)
{
    limit_mandate it = idle_candidate(self);
    record = write_of(it, start)->record;
    it.answered(record.renewal, mandate_outcome::written, 1, start + 10ms);
    return it;
}

} // namespace

TEST(limit_mandate, runs_from_when_the_write_was_sent)
{
    mandate_record record;
    limit_mandate it = holder_of(first, record);
    EXPECT_EQ(it.terms().until, start + 10s);
    EXPECT_EQ(it.terms().share, whole_share);
}

TEST(limit_mandate, late_answer_does_not_count_for_the_next_write)
{
    mandate_record record;
    limit_mandate it = holder_of(first, record);
    const auto renewal = write_of(it, start + 3s);
    EXPECT_FALSE(write_of(it, start + 4s + 1ms)); // unknown: reads first
    it.observe(record, 1, start + 4s + 2ms);
    const auto next = write_of(it, start + 6s);
    ASSERT_TRUE(renewal && next);
    it.answered(renewal->record.renewal, mandate_outcome::written, 2, start + 6s + 1ms);
    EXPECT_EQ(it.terms().until, start + 10s);
}

TEST(limit_mandate, lost_answer_is_recognised_by_reading)
{
    mandate_record record;
    limit_mandate it = holder_of(first, record);
    const auto renewal = write_of(it, start + 3s);
    it.answered(renewal->record.renewal, mandate_outcome::unknown, 0, start + 4s);
    EXPECT_EQ(it.terms().until, start + 10s);
    it.observe(renewal->record, 2, start + 5s);
    EXPECT_EQ(it.terms().until, start + 13s);
}

TEST(limit_mandate, successor_waits_and_leaves_the_reserve)
{
    mandate_record record;
    const limit_mandate old = holder_of(first, record);
    limit_mandate it = idle_candidate(second);
    it.observe(record, 1, start + 1s);
    EXPECT_FALSE(write_of(it, start + 11s));
    const auto write = write_of(it, start + 1s + with_drift_margin(10s));
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.epoch, 2U);
    const time_point now = start + 12s;
    it.answered(write->record.renewal, mandate_outcome::written, 2, now);
    EXPECT_EQ(it.terms().share + old.terms().reserve_share, whole_share);
    it.retired({.holder = first, .epoch = 1});
    write_of(it, now);
    EXPECT_EQ(it.terms().share, whole_share);
}

// A new run on the same VM proves the old one dead, but tokens that it gave live on for a while.
TEST(limit_mandate, successor_of_a_dead_run_waits_for_its_tokens)
{
    mandate_record record;
    holder_of(first, record);
    limit_mandate it = idle_candidate(second);
    it.observe(record, 1, start + 1s);
    it.seen({.vm = first.vm, .run = {2}}, start + 2s);
    EXPECT_FALSE(write_of(it, start + 2s + token_end - 1ns));
    const auto write = write_of(it, start + 2s + token_end);
    ASSERT_TRUE(write);
    EXPECT_TRUE(write->record.unproven.empty());
}

TEST(limit_mandate, release_is_written_when_no_token_is_left)
{
    mandate_record record;
    limit_mandate it = holder_of(first, record);
    it.release(start + 1s);
    EXPECT_EQ(it.terms().share, 0U);
    EXPECT_FALSE(write_of(it, start + 1s + token_end - 1ns));
    const auto write = write_of(it, start + 1s + token_end);
    ASSERT_TRUE(write);
    EXPECT_TRUE(write->record.is_released);
    it.answered(write->record.renewal, mandate_outcome::written, 2, start + 2s);
    EXPECT_TRUE(it.is_gone());
    limit_mandate next = idle_candidate(second);
    next.observe(write->record, 2, start + 2s);
    const auto taken = write_of(next, start + 2s);
    ASSERT_TRUE(taken);
    EXPECT_TRUE(taken->record.unproven.empty());
}

// Store away: the holder falls back to its reserve by itself, and is whole again after a renewal.
TEST(limit_mandate, reserve_while_the_store_is_away)
{
    mandate_record record;
    limit_mandate it = holder_of(first, record);
    const mandate_terms terms = it.terms();
    EXPECT_EQ(terms.reserve_share, 204U);
    EXPECT_EQ(terms.reserve_until, start + 10s + 6h);
    write_of(it, start + 3h);
    write_of(it, start + 3h + 2s);
    it.observe(record, 1, start + 3h + 3s);
    const auto renewal = write_of(it, start + 3h + 4s);
    ASSERT_TRUE(renewal);
    it.answered(renewal->record.renewal, mandate_outcome::written, 2, start + 3h + 5s);
    EXPECT_EQ(it.terms().until, start + 3h + 14s);
}
