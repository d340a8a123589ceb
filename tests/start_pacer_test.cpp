#include "notice_record.h"
#include "slot_queue.h"
#include "start_pacer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

std::optional<server_notice> notice(const char* max_rate)
{
    return parse_notice(max_rate, std::nullopt);
}

} // namespace

// More requests than the rate allows, at random moments, with answers of any length in between.
RC_GTEST_PROP(start_pacer, server_gets_at_most_its_rate_in_every_window, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const double rate = 0.5 + static_cast<double>(random() % 80) / 10;
    slot_queue queue({.slots = 1 + static_cast<std::uint32_t>(random() % 8)});
    time_point now{1h};
    std::vector<time_point> starts;
    std::vector<request_id> running;
    const auto apply = [&](const slot_actions& actions) {
        for (const slot_action& it : actions) {
            if (const auto* start = std::get_if<start_request>(&it)) {
                starts.push_back(now);
                running.push_back(start->request);
            }
        }
    };
    apply(queue.set_start_rate(rate, now));
    for (std::uint64_t n = 1; n < 600; ++n) {
        now += std::chrono::milliseconds(random() % 60);
        apply(queue.enqueue({.request = {n},
                             .organisation = {random() % 3},
                             .deadline = now + std::chrono::milliseconds(random() % 3000)},
                            now));
        if (!running.empty() && random() % 2 == 0) {
            apply(queue.finished(running.front(), now));
            running.erase(running.begin());
        }
        apply(queue.tick(now));
    }
    for (std::size_t a = 0; a < starts.size(); ++a) {
        for (std::size_t b = a; b < starts.size(); ++b) {
            const double allowed =
                std::max(1.0, rate) + rate * seconds(starts[b] - starts[a]) + 1e-3;
            RC_ASSERT(static_cast<double>(b - a + 1) <= allowed);
        }
    }
    RC_ASSERT(static_cast<double>(starts.size()) >= rate * seconds(now - time_point{1h}) / 2 - 2);
}

TEST(start_pacer, request_that_cannot_start_in_time_is_refused_at_once)
{
    slot_queue queue({.slots = 4});
    const time_point now{1h};
    queue.set_start_rate(1.0, now);
    const auto first =
        queue.enqueue({.request = {1}, .organisation = {1}, .deadline = now + 1500ms}, now);
    EXPECT_TRUE(first.empty());
    const auto second =
        queue.enqueue({.request = {2}, .organisation = {1}, .deadline = now + 1500ms}, now);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<refuse_request>(second.front()));
    const auto later = queue.tick(now + 1s);
    ASSERT_EQ(later.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<start_request>(later.front()));
}

TEST(start_pacer, waiting_requests_beyond_a_newly_named_rate_are_refused_at_once)
{
    slot_queue queue({.slots = 1});
    const time_point now{1h};
    for (std::uint64_t n = 1; n <= 5; ++n)
        queue.enqueue({.request = {n}, .organisation = {n % 2}, .deadline = now + 2500ms}, now);
    EXPECT_EQ(queue.waiting(), 4U);
    EXPECT_EQ(queue.set_start_rate(1.0, now).size(), 2U);
    EXPECT_EQ(queue.waiting(), 2U);
}

TEST(start_pacer, request_that_others_overtake_is_refused_before_its_deadline)
{
    slot_queue queue({.slots = 4});
    const time_point now{1h};
    queue.set_start_rate(1.0, now);
    EXPECT_TRUE(
        queue
            .enqueue({.request = {1}, .organisation = {1}, .deadline = now + 1500ms, .rank = 2},
                     now)
            .empty());
    const auto actions = queue.enqueue(
        {.request = {2}, .organisation = {2}, .deadline = now + 1500ms, .rank = 1}, now);
    ASSERT_EQ(actions.size(), 1U);
    const auto* refused = std::get_if<refuse_request>(&actions.front());
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->request.value, 1U);
}

TEST(start_pacer, server_that_takes_nothing_gets_a_request_now_and_then)
{
    start_pacer it;
    const time_point now{1h};
    it.set_rate(0.0, now);
    EXPECT_FALSE(it.may_start(now + 4s));
    EXPECT_TRUE(it.may_start(now + 6s));
}

TEST(notice_record, answer_overtaken_by_one_that_names_a_limit_does_not_lift_it)
{
    notice_record it;
    const time_point start{1h};
    it.answered(*notice("2.5"), start, start + 100ms);
    it.answered({}, start + 50ms, start + 150ms);
    EXPECT_EQ(it.max_rate(), 2.5);
    it.answered({}, start + 200ms, start + 300ms);
    EXPECT_EQ(it.max_rate(), std::nullopt);
}

TEST(notice_record, report_of_another_node_holds_until_the_first_answer)
{
    notice_record it;
    const time_point start{1h};
    it.reported(*notice("2"));
    EXPECT_EQ(it.max_rate(), 2.0);
    it.answered({}, start + 50ms, start + 100ms);
    it.reported(*notice("2"));
    EXPECT_EQ(it.max_rate(), std::nullopt);
}

TEST(notice_record, late_ready_announcement_does_not_undo_leaving)
{
    notice_record it;
    const time_point start{1h};
    it.announced(false, 0, start);
    it.answered({.is_leaving = true}, start, start + 1s);
    it.announced(false, 0, start + 20s);
    EXPECT_TRUE(it.is_leaving());
    it.announced(true, 0, start + 21s);
    it.announced(false, 0, start + 31s);
    EXPECT_TRUE(it.is_leaving());
    it.announced(false, 0, start + 42s);
    EXPECT_FALSE(it.is_leaving());
    it.withdrawn();
    it.announced(false, 0, start + 43s);
    EXPECT_TRUE(it.is_leaving());
}

// Guards against a server that has left and gets requests again because two announcements from
// before its leaving arrive far apart.
TEST(notice_record, late_announcements_do_not_undo_leaving_however_far_apart_they_arrive)
{
    notice_record it;
    const time_point start{1h};
    it.announced(false, 100, start);
    it.withdrawn();
    it.announced(false, 101, start + 100ms);
    it.announced(false, 102, start + 10'300ms);
    it.announced(false, 119, start + 1min);
    EXPECT_TRUE(it.is_leaving());
    it.announced(false, 120, start + 61s);
    EXPECT_FALSE(it.is_leaving()) << "a server that goes on announcing itself is used again";
}

// The same if the node was restarted in between, and does not know the announcements from before.
TEST(notice_record, late_announcements_after_a_restart_of_the_node_do_not_undo_leaving)
{
    notice_record it;
    const time_point start{1h};
    it.withdrawn();
    it.announced(false, 101, start);
    it.announced(false, 120, start + 30s);
    EXPECT_TRUE(it.is_leaving());
    it.announced(false, 121, start + 31s);
    EXPECT_FALSE(it.is_leaving());
}

TEST(server_notice, is_decoded_as_encoded)
{
    for (const reported_notice& it :
         {reported_notice{.notice = {.max_rate = 4.2}, .run = {0x18f3a}},
          reported_notice{.notice = {.max_rate = {}, .is_leaving = true}, .run = {}}})
        EXPECT_EQ(decode_notice(encode_notice(it)), it);
    for (const char* text : {"", "1", "1 0", "1 0 ", "x 0 1", "1 2 1", "1 0 -1", "1 0 1 "})
        EXPECT_FALSE(decode_notice(text)) << text;
}

TEST(server_notice, malformed_values_are_no_notice)
{
    for (const char* text : {"", "-1", "x", "1x", "nan", "inf", " 2", "-0"})
        EXPECT_FALSE(notice(text)) << text;
    EXPECT_EQ(notice("4.2")->max_rate, 4.2);
    EXPECT_EQ(notice("0")->max_rate, 0.0);
    EXPECT_FALSE(parse_notice(std::nullopt, "yes"));
    EXPECT_TRUE(parse_notice(std::nullopt, "1")->is_leaving);
    EXPECT_FALSE(parse_notice(std::nullopt, std::nullopt)->is_leaving);
}
