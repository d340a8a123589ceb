#include "link_silence.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1h};
constexpr link_silence_options options{.ping_after = 1s, .doubt_after = 400ms, .ping_timeout = 2s};

} // namespace

TEST(link_silence, short_streams_add_up)
{
    link_silence it(options);
    it.received(start);
    for (duration after = 0s; after < 900ms; after += 300ms) {
        it.expect_answer(start + after);
        EXPECT_EQ(it.step(true, start + after), silence_action::none);
        EXPECT_EQ(it.step(false, start + after + 100ms), silence_action::none);
    }
    EXPECT_EQ(it.step(false, start + 1s), silence_action::ping);
    EXPECT_FALSE(it.is_doubtful());
    EXPECT_EQ(it.step(false, start + 1400ms), silence_action::none);
    EXPECT_TRUE(it.is_doubtful());
    EXPECT_EQ(it.step(false, start + 3s), silence_action::close);
}

TEST(link_silence, input_ends_all_doubt)
{
    link_silence it(options);
    it.received(start);
    it.expect_answer(start);
    EXPECT_EQ(it.step(true, start + 1s), silence_action::ping);
    EXPECT_EQ(it.step(true, start + 1900ms), silence_action::none);
    EXPECT_TRUE(it.is_doubtful());
    it.received(start + 2s);
    EXPECT_FALSE(it.is_doubtful());
    EXPECT_EQ(it.step(true, start + 2900ms), silence_action::none);
    EXPECT_EQ(it.step(true, start + 3s), silence_action::ping);
}

// The end that only answers need not hear from its peer after that.
TEST(link_silence, a_link_may_be_silent_after_the_streams_of_its_peer)
{
    link_silence it(options);
    it.received(start);
    EXPECT_EQ(it.step(true, start + 900ms), silence_action::none);
    EXPECT_FALSE(it.is_expecting());
    EXPECT_EQ(it.step(false, start + 1h), silence_action::none);
    it.received(start + 1h);
    EXPECT_EQ(it.step(true, start + 1h + 1s), silence_action::ping);
}

TEST(link_silence, an_idle_link_may_be_silent)
{
    link_silence it(options);
    it.received(start);
    it.expect_answer(start);
    it.received(start + 10ms);
    EXPECT_EQ(it.step(false, start + 1h), silence_action::none);
    EXPECT_FALSE(it.is_expecting());
}
