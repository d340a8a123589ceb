// Property tests of the check that a message was read to its end; broken_answer_test and
// broken_request_test have the single cases.

#include "message_framing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace jasminebank;

namespace {

struct sample {
    message_kind kind;
    std::string text;
};

const std::vector<sample> whole_messages{
    {message_kind::answer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
    {message_kind::answer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                           "2\r\nwh\r\n3;a=b\r\nole\r\n0\r\n\r\n"},
    {message_kind::answer, "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n"},
    {message_kind::answer,
     "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"},
    {message_kind::answer, "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
    {message_kind::answer_to_head, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
    {message_kind::request, "GET / HTTP/1.1\r\nHost:x\r\n\r\n"},
    {message_kind::request, "POST / HTTP/1.1\r\ncontent-length:\t5 \r\n\r\nwhole"},
};

message_framing framing_of(const sample& it, std::size_t bytes)
{
    message_framing out(it.kind);
    out.read(std::string_view(it.text).substr(0, bytes));
    return out;
}

} // namespace

TEST(message_framing, a_message_is_whole_at_its_last_byte_and_not_before)
{
    for (const sample& it : whole_messages) {
        SCOPED_TRACE(it.text);
        for (std::size_t n = 0; n < it.text.size(); ++n) {
            message_framing cut = framing_of(it, n);
            EXPECT_FALSE(cut.is_whole()) << n;
            EXPECT_FALSE(cut.is_malformed()) << n;
            cut.end_of_input();
            EXPECT_FALSE(cut.is_whole()) << n;
        }
        EXPECT_TRUE(framing_of(it, it.text.size()).is_whole());
    }
}

TEST(message_framing, an_answer_without_a_length_is_whole_when_its_connection_is_closed)
{
    const sample it{message_kind::answer, "HTTP/1.1 200 OK\r\n\r\nwhole"};
    message_framing framing = framing_of(it, it.text.size());
    EXPECT_FALSE(framing.is_whole());
    framing.end_of_input();
    EXPECT_TRUE(framing.is_whole());
}

TEST(message_framing, status_lines_without_a_status_are_malformed)
{
    for (const std::string line :
         {"", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 20x OK", "HTTP/1.1 2000 OK", "HTTP/2 200 OK",
          "HTTP/1.1 099 Low", "HTTP/1.1 101 Switching", "200 OK", "HTTP/1.1 600 High",
          "HTTP/1.1 999 Highest"}) {
        message_framing framing(message_kind::answer);
        EXPECT_FALSE(framing.read(line + "\r\n\r\n")) << line;
    }
}

RC_GTEST_PROP(message_framing, the_result_does_not_depend_on_how_the_bytes_are_split, ())
{
    sample it = *rc::gen::elementOf(whole_messages);
    // One byte may be changed, so that malformed messages are covered.
    const auto changed = *rc::gen::inRange<std::size_t>(0, 2 * it.text.size());
    if (changed < it.text.size())
        it.text[changed] = *rc::gen::element('\r', '\n', ':', ' ', '0', 'x', '\0');
    message_framing in_parts(it.kind);
    for (std::size_t at = 0; at < it.text.size();) {
        const auto n = *rc::gen::inRange<std::size_t>(1, it.text.size() - at + 1);
        in_parts.read(std::string_view(it.text).substr(at, n));
        at += n;
    }
    const message_framing at_once = framing_of(it, it.text.size());
    RC_ASSERT(in_parts.is_whole() == at_once.is_whole());
    RC_ASSERT(in_parts.is_malformed() == at_once.is_malformed());
}
