#include "digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

TEST(digest, known_vector)
{
    EXPECT_EQ(to_hex(digest_of("abc")),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

RC_GTEST_PROP(digest, hex_round_trip, (const std::string& text))
{
    const digest it = digest_of(text);
    const auto back = digest_from_hex(to_hex(it));
    RC_ASSERT(back.has_value());
    RC_ASSERT(same_digest(*back, it));
}
