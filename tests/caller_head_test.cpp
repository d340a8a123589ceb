#include "caller_head.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jasminebank;

namespace {

const std::string key = "K3y-of-honey-makers";

message_head head(std::string path, std::vector<header_field> fields)
{
    return {.method = "GET", .path = std::move(path), .status = 0, .fields = std::move(fields)};
}

} // namespace

TEST(caller_head, key_is_not_forwarded)
{
    const auto it = split_caller_head(head("/a", {{"AUTHORIZATION", "Bearer " + key},
                                                  {"Jasmine-Organisation", "pepper"},
                                                  {"Accept", "text/html"},
                                                  {"Connection", "close"}}));
    ASSERT_FALSE(failed(it));
    EXPECT_EQ(value_of(it).key, digest_of(key));
    ASSERT_EQ(value_of(it).sanitised.fields.size(), 1U);
    EXPECT_EQ(value_of(it).sanitised.fields[0].name, "accept");
}

// A key in the target or in another field is refused, whatever its letter case and however often it
// is percent-encoded.
RC_GTEST_PROP(caller_head, rejects_a_key_outside_the_key_fields, ())
{
    std::string text = key;
    for (char& c : text) {
        if (*rc::gen::arbitrary<bool>())
            c = static_cast<char>(std::toupper(c));
    }
    for (int n = *rc::gen::inRange(0, 3); n > 0; --n) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        char buf[8];
        std::snprintf(buf, sizeof buf, "%%%02X", static_cast<unsigned char>(text[place]));
        text.replace(place, 1, buf);
    }
    std::vector<header_field> fields{{"x-api-key", key}, {"cookie", "a=b"}};
    std::string path = "/a";
    if (*rc::gen::arbitrary<bool>())
        path += "?k=" + text;
    else
        fields[1].value += "; k=" + text;
    const auto it = split_caller_head(head(path, fields));
    RC_ASSERT(failed(it));
    RC_ASSERT(error_of(it) == refusal::bad_request);
}

TEST(caller_head, rejects_missing_key_two_keys_and_ambiguous_lengths)
{
    const header_field shown{"Authorization", "Bearer " + key};
    EXPECT_EQ(value_of(split_caller_head(head("/", {}))).key_error, refusal::no_key);
    EXPECT_EQ(error_of(split_caller_head(head("/", {shown, {"x-api-key", key + "2"}}))),
              refusal::bad_request);
    EXPECT_EQ(error_of(split_caller_head(
                  head("/", {shown, {"Content-Length", "1"}, {"content-length", "2"}}))),
              refusal::bad_request);
    EXPECT_EQ(error_of(split_caller_head(
                  head("/", {shown, {"Content-Length", "1"}, {"transfer-encoding", "chunked"}}))),
              refusal::bad_request);
}

TEST(caller_head, fields_set_by_the_fleet_are_dropped_and_the_deadline_is_read)
{
    header_names names;
    names.caller_deadline = "x-wait-ms";
    names.caller_service = "x-from-service";
    names.expected_server = "x-server";
    const auto it = split_caller_head(head("/a", {{"Host", "Jars.Example:80"},
                                                  {"X-Wait-Ms", "1500"},
                                                  {"X-From-Service", "forged"},
                                                  {"X-Server", "forged"},
                                                  {"Connection", "close, X-Hop"},
                                                  {"X-Hop", "1"},
                                                  {"accept", "a/b"}}),
                                      names);
    ASSERT_FALSE(failed(it));
    EXPECT_EQ(value_of(it).host, "jars.example");
    EXPECT_EQ(value_of(it).time_left, duration(std::chrono::milliseconds(1500)));
    ASSERT_EQ(value_of(it).sanitised.fields.size(), 2U);
    EXPECT_EQ(value_of(it).sanitised.fields[1].name, "accept");
}

// A malformed field is refused here: sent over a link, it would fail there and the link would be
// considered broken.
TEST(caller_head, refuses_fields_that_no_link_can_carry)
{
    for (const header_field& bad : std::vector<header_field>{
             {"x y", "z"}, {"x", "a\x01b"}, {"x", "a\rb"}, {"", "z"}, {":path", "/"}}) {
        EXPECT_TRUE(failed(split_caller_head(head("/", {{"x-api-key", key}, bad})))) << bad.name;
    }
}

TEST(caller_head, rejects_a_body_where_the_method_has_none)
{
    for (const char* method : {"GET", "HEAD", "OPTIONS"}) {
        for (const header_field& field :
             {header_field{"Content-Length", "5"}, header_field{"Transfer-Encoding", "chunked"}}) {
            message_head it = head("/a", {{"X-Api-Key", key}, field});
            it.method = method;
            const auto refused = split_caller_head(it);
            ASSERT_TRUE(failed(refused)) << method;
            EXPECT_EQ(error_of(refused), refusal::bad_request);
            it.method = "DELETE";
            EXPECT_FALSE(failed(split_caller_head(it)));
        }
        message_head it = head("/a", {{"X-Api-Key", key}, {"Content-Length", "0"}});
        it.method = method;
        EXPECT_FALSE(failed(split_caller_head(it)));
    }
}
