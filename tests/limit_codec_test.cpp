#include "limit_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

TEST(limit_codec, round_trips_every_message_type)
{
    const std::vector<limit_message> messages{
        grant_request{
            .number = 7, .organisation = {~0ULL}, .need = 2, .prefetch = 9, .lifetime = 60ms},
        grant_request{.number = 8, .organisation = {1}, .need = 1, .reported_grant = 7, .spent = 2},
        grant{.number = 7, .tokens = 11, .lifetime = 59ms},
        grant{.number = 7, .status = grant_status::empty, .retry_after = 20ms},
        grant_return{.number = 7, .organisation = {1}, .spent = 3},
        loan_request{.number = 1ULL << 40, .organisation = {1}, .wanted = 5, .urgent = true},
        loan{.number = 1,
             .organisation = {1},
             .amount = 5,
             .remaining = one_token,
             .lifetime = 99ms},
        loan_return{.number = 1, .organisation = {1}, .amount = 5}};
    for (const limit_message& it : messages) {
        const std::string text = encode_limit_message(it);
        const auto back = decode_limit_message(text);
        ASSERT_TRUE(back) << it.index();
        EXPECT_EQ(back->index(), it.index());
        if (it.index() != 1) { // retry_after of a grant is rounded up
            EXPECT_EQ(encode_limit_message(*back), text);
        }
        EXPECT_FALSE(decode_limit_message(text + "x"));
        EXPECT_FALSE(decode_limit_message(text.substr(0, text.size() - 1)));
    }
}

RC_GTEST_PROP(limit_codec, decodes_arbitrary_bytes_without_crashing, (const std::string& text))
{
    decode_limit_message(text);
}

TEST(limit_codec, rejects_negative_and_out_of_range_values)
{
    EXPECT_FALSE(decode_limit_message("\x94\x05\x01\x01\xff"));     // amount -1
    EXPECT_FALSE(decode_limit_message("\x95\x01\x01\x07\x01\x01")); // status 7
    EXPECT_FALSE(decode_limit_message("\x94\x05\x01\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff"));
    EXPECT_FALSE(decode_limit_message("\x91\x09"));
}

TEST(limit_codec, batch_round_trips_and_malformed_batch_is_rejected)
{
    const std::vector<limit_message> messages{
        grant{.number = 7, .tokens = 11, .lifetime = 59ms},
        loan_return{.number = 1, .organisation = {~0ULL}, .amount = 5}};
    const std::string text = encode_limit_batch(messages);
    const auto back = decode_limit_batch(text);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->size(), 2U);
    EXPECT_EQ(encode_limit_batch(*back), text);
    EXPECT_TRUE(decode_limit_batch(""));
    EXPECT_FALSE(decode_limit_batch(text.substr(0, text.size() - 1)));
    EXPECT_FALSE(decode_limit_batch(text + '\x01'));
    std::string many;
    for (std::size_t n = 0; n <= max_limit_batch; ++n)
        many += text.substr(0, 1U + static_cast<unsigned char>(text[0]));
    EXPECT_FALSE(decode_limit_batch(many));
}

RC_GTEST_PROP(limit_codec, decodes_arbitrary_batch_without_crashing, (const std::string& text))
{
    decode_limit_batch(text);
}
