#include "deflated_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;

RC_GTEST_PROP(deflated_text, texts_are_restored, (const std::string& text))
{
    const std::string twice = text + text;
    RC_ASSERT(inflate_text(deflate_text(twice), twice.size()) == twice);
}

// Guards against a peer's bytes that fill this node's memory or are taken for a whole text.
TEST(deflated_text, too_long_truncated_and_malformed_texts_are_refused)
{
    const std::string packed = deflate_text(std::string(100'000, 'x'));
    EXPECT_EQ(inflate_text(packed, 99'999), std::nullopt);
    EXPECT_EQ(inflate_text(packed.substr(0, packed.size() - 1), 200'000), std::nullopt);
    EXPECT_EQ(inflate_text(packed + "x", 200'000), std::nullopt);
    EXPECT_EQ(inflate_text("{}", 200'000), std::nullopt);
    EXPECT_EQ(inflate_text("", 200'000), std::nullopt);
}
