#include "limit_lease_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

static lease_record sample()
{
    lease_record out;
    out.holder = {.vm = {~0ULL}, .run = {7}};
    out.epoch = 3;
    out.renewal = 1ULL << 40;
    out.ttl = 10s;
    out.reserve_share = 204;
    out.possibly_active = {{.holder = {.vm = {5}, .run = {6}}, .epoch = 2, .reserve_share = 41}};
    return out;
}

TEST(mandate_codec, lease_record_round_trip)
{
    lease_record it = sample();
    EXPECT_EQ(decode_lease_record(encode_lease_record(it)), it);
    it.is_released = true;
    EXPECT_EQ(decode_lease_record(encode_lease_record(it)), it);
}

// A record that is decoded wrongly could lead to granting the same tokens twice.
TEST(mandate_codec, rejects_missing_or_out_of_range_members)
{
    const std::string good = encode_lease_record(sample());
    for (const char* name :
         {"vm", "run", "epoch", "renewal", "lasts_ms", "reserve_share", "released", "unproven"}) {
        std::string text = good;
        text.replace(text.find(std::string("\"") + name + "\""), 2, "\"_");
        EXPECT_FALSE(decode_lease_record(text)) << text;
    }
    const auto with = [&](const std::string& old, const std::string& other) {
        std::string text = good;
        return text.replace(text.find(old), old.size(), other);
    };
    EXPECT_FALSE(decode_lease_record(with("\"epoch\":3", "\"epoch\":-3")));
    EXPECT_FALSE(decode_lease_record(with("\"reserve_share\":204", "\"reserve_share\":257")));
    EXPECT_FALSE(decode_lease_record(with("\"released\":0", "\"released\":2")));
    EXPECT_FALSE(decode_lease_record(with("\"unproven\":[{", "\"unproven\":[3,{")));
    EXPECT_FALSE(decode_lease_record("[]"));
}

RC_GTEST_PROP(mandate_codec, decodes_arbitrary_bytes_without_crash, (const std::string& text))
{
    decode_lease_record(text);
    decode_stop_notice(text);
}

TEST(mandate_codec, stop_notice_round_trip)
{
    const auto it = decode_stop_notice(
        encode_stop_notice({.shard = 15, .past = {.holder = {{4}, {5}}, .epoch = 9}}));
    ASSERT_TRUE(it);
    EXPECT_EQ(it->shard, 15U);
    EXPECT_EQ(it->past, (past_lease{.holder = {{4}, {5}}, .epoch = 9}));
}
