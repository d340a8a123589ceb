#include "connection_ids.h"

#include <gtest/gtest.h>

using namespace jasminebank;

namespace {

const std::string first = "r1";
const std::string second = "r2";

} // namespace

TEST(connection_ids, an_id_is_sent_once_on_a_connection)
{
    connection_ids ids;
    EXPECT_TRUE(ids.may_send(&first));
    ids.sent(&first);
    EXPECT_FALSE(ids.may_send(&first));
    EXPECT_TRUE(ids.may_send(&second));
    ids.sent(&second);
    EXPECT_FALSE(ids.may_send(&first));
}

TEST(connection_ids, a_request_without_an_id_is_sent_on_a_new_connection_only)
{
    connection_ids ids;
    EXPECT_TRUE(ids.may_send(nullptr));
    ids.sent(&first);
    EXPECT_FALSE(ids.may_send(nullptr));
}

TEST(connection_ids, only_the_answer_with_the_id_of_the_last_request_is_its_own)
{
    connection_ids ids;
    ids.sent(&first);
    EXPECT_TRUE(ids.is_own(&first));
    EXPECT_FALSE(ids.is_own(&second));
    ids.sent(&second);
    EXPECT_FALSE(ids.is_own(&first));
    EXPECT_TRUE(ids.is_own(&second));
}

TEST(connection_ids, an_answer_without_an_id_is_the_first_of_its_connection)
{
    connection_ids ids;
    ids.sent(&first);
    EXPECT_TRUE(ids.is_own(nullptr));
    EXPECT_FALSE(ids.may_be_kept(nullptr));
    ids.sent(&second);
    EXPECT_FALSE(ids.is_own(nullptr));
}

TEST(connection_ids, a_connection_is_kept_after_an_answer_with_the_id_of_its_request)
{
    connection_ids ids;
    ids.sent(&first);
    EXPECT_TRUE(ids.may_be_kept(&first));
    EXPECT_FALSE(ids.may_be_kept(&second));
    connection_ids without;
    without.sent(nullptr);
    EXPECT_TRUE(without.is_own(&first));
    EXPECT_FALSE(without.may_be_kept(&first));
    EXPECT_FALSE(without.may_be_kept(nullptr));
}

TEST(connection_ids, the_number_of_requests_on_a_connection_is_bounded)
{
    connection_ids ids;
    int n = 0;
    for (std::string id = "0"; ids.may_send(&id); id = std::to_string(n)) {
        ids.sent(&id);
        ASSERT_LT(++n, 100'000);
    }
    EXPECT_GT(n, 100);
}
