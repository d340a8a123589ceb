#include "returned_requests.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const request_fingerprint first{.high = 1, .low = 2};
const request_fingerprint second{.high = 1, .low = 3};

} // namespace

// Load: callers that return after Retry-After. Guards against a returned request that is taken for
// a new one, and against new requests that are preferred since an identical one was refused.
TEST(returned_requests, each_refusal_counts_once)
{
    returned_requests it;
    it.refused(first, start + 1s, start);
    it.refused(first, start + 1s, start);
    EXPECT_FALSE(it.take(second, start));
    EXPECT_TRUE(it.take(first, start));
    EXPECT_TRUE(it.take(first, start));
    EXPECT_FALSE(it.take(first, start));
    EXPECT_EQ(it.returned(), 2U);
}

// Guards against memory that grows with the refusals, and against a preference without end.
TEST(returned_requests, entries_expire_and_are_bounded)
{
    returned_requests it({.max_requests = 2});
    it.refused(first, start + 1s, start);
    EXPECT_FALSE(it.take(first, start + 1s));
    for (std::uint64_t n = 0; n < 10; ++n)
        it.refused({.high = n, .low = 0}, start + 2s, start);
    EXPECT_EQ(it.size(), 2U);
    it.refused(second, start + 6s, start + 3s);
    EXPECT_EQ(it.size(), 1U);
}
