// Callers whose requests break off, or whose heads can't be parsed, in ways that the HTTP library
// does not report. Such a request is not run, and what follows it is not taken as another one.

#include "process_fleet.h"
#include "raw_client.h"
#include "socket_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <ostream>
#include <string>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// The caller of these tests has nothing more to send.
std::string exchange(const endpoint& to, const std::string& text)
{
    return exchange(to, text, after_sending::half_close);
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++out;
    return out;
}

// Runs requests whose body was read completely.
class counting_server {
public:
    counting_server() : server_({.listen = {.host = "127.0.0.1", .port = 0}})
    {
        server_.Get("/.*", [this](const httplib::Request&, httplib::Response&) { ++runs; });
        server_.Post("/.*", [this](const httplib::Request&, httplib::Response& res,
                                   const httplib::ContentReader& reader) {
            const bool whole = reader([](const char*, std::size_t) { return true; });
            runs += whole ? 1 : 0;
            res.status = whole ? 200 : 400;
        });
        EXPECT_TRUE(server_.start());
    }

    endpoint address() const { return server_.address(); }

    std::atomic<int> runs = 0;

private:
    socket_server server_;
};

const std::string next_request = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n";

struct request_case {
    std::string name;
    std::string fields; ///< after the request line and the host
    std::string body = "short";
};

std::ostream& operator<<(std::ostream& out, const request_case& it)
{
    return out << it.name;
}

std::string test_name(const testing::TestParamInfo<request_case>& it)
{
    return it.param.name;
}

class broken_request : public testing::TestWithParam<request_case> {};

} // namespace

TEST_P(broken_request, is_refused_and_ends_its_connection)
{
    counting_server server;
    const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\n" + GetParam().fields + "\r\n";
    const std::string answer = exchange(server.address(), head + GetParam().body + next_request);
    EXPECT_EQ(server.runs, 0);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer;
    EXPECT_EQ(count(answer, "HTTP/1.1 "), 1U) << answer;
    EXPECT_EQ(count(answer, "Connection: close\r\n"), 1U) << answer;
}

INSTANTIATE_TEST_SUITE_P(
    head, broken_request,
    testing::Values(request_case{"length_with_a_bare_lf", "Content-Length: 5\n"},
                    request_case{"length_without_colon", "Content-Length 5\r\n"},
                    request_case{"length_not_a_number", "Content-Length: x5\r\n"},
                    request_case{"length_with_a_sign", "Content-Length: +5\r\n"},
                    request_case{"length_with_a_suffix", "Content-Length: 5x\r\n"},
                    request_case{"length_too_large", "Content-Length: 99999999999999999999999\r\n"},
                    request_case{"two_lengths", "Content-Length: 0\r\nContent-Length: 5\r\n"},
                    request_case{"length_beside_chunks",
                                 "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                 "0\r\n\r\n"},
                    request_case{"unknown_coding", "Transfer-Encoding: gzip\r\n"},
                    request_case{"blank_before_the_colon", "Content-Length : 5\r\n"},
                    request_case{"continued_line", "x-a: 1\r\n Content-Length: 5\r\n"},
                    request_case{"carriage_return_in_a_value", "x-a: 1\rContent-Length: 5\r\n"},
                    request_case{"empty_name", ": 5\r\n"}),
    test_name);

const std::string chunked = "Transfer-Encoding: chunked\r\n";

INSTANTIATE_TEST_SUITE_P(
    body, broken_request,
    testing::Values(request_case{"other_bytes_after_a_chunk", chunked, "5\r\nshortxx\r\n"},
                    request_case{"bare_lf_after_a_chunk", chunked, "5\r\nshort\n0\r\n\r\n"},
                    request_case{"chunk_size_with_a_sign", chunked, "+5\r\nshort\r\n0\r\n\r\n"},
                    request_case{"chunk_size_with_a_prefix", chunked, "0x5\r\nshort\r\n0\r\n\r\n"}),
    test_name);

TEST(request_framing, an_upload_that_ends_within_a_chunks_line_end_is_not_run)
{
    for (const std::string body : {"5\r\nshort", "5\r\nshort\r", "5\r\nshort\r\n",
                                   "5\r\nshort\r\n0", "5\r\nshort\r\n0\r\n"}) {
        SCOPED_TRACE(body);
        counting_server server;
        std::string request = "POST /a HTTP/1.1\r\nHost: x\r\n" + chunked + "\r\n";
        request += body;
        const std::string answer = exchange(server.address(), request);
        EXPECT_EQ(server.runs, 0);
        EXPECT_EQ(count(answer, "HTTP/1.1 200"), 0U) << answer;
    }
}

// The library does not read the body of a GET.
TEST(request_framing, a_body_that_was_not_read_is_not_taken_as_a_request)
{
    counting_server server;
    const std::string answer = exchange(
        server.address(), "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                              std::to_string(next_request.size()) + "\r\n\r\n" + next_request);
    EXPECT_EQ(server.runs, 1);
    EXPECT_EQ(count(answer, "HTTP/1.1 "), 1U) << answer;
}

TEST(request_framing, sound_requests_share_a_connection)
{
    counting_server server;
    const std::string answer = exchange(
        server.address(), "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nwhole"
                          "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "5\r\nwhole\r\n0\r\n\r\n"
                          "POST /a HTTP/1.1\r\nHost: x\r\n\r\n" +
                              next_request);
    EXPECT_EQ(server.runs, 4);
    EXPECT_EQ(count(answer, "HTTP/1.1 200"), 4U) << answer;
}

// A body of unknown length is passed on as it arrives, so its outcome is unknown to the node.
TEST(request_framing, a_broken_request_to_a_node_is_refused_and_not_run)
{
    process_fleet fleet({.services = {{.name = "orders", .method = "POST"}}});
    const std::string common = "Host: x\r\nAuthorization: Bearer " + honey_key + "\r\n";
    const std::vector<std::string> requests{
        "POST /orders/1 HTTP/1.1\r\nX-Request-Id: broken-1\r\n" + common +
            "Content-Length: 5\n\r\nshort",
        "POST /orders/1 HTTP/1.1\r\nX-Request-Id: broken-2\r\n" + common +
            "Content-Length: 5x\r\n\r\nshort",
        "POST /orders/1 HTTP/1.1\r\nX-Request-Id: broken-3\r\n" + common +
            "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r",
    };
    for (const std::string& it : requests) {
        const std::string answer = exchange(fleet.callers(0), it);
        EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 400 ")) << answer;
        const bool is_streamed = it.find("chunked") != std::string::npos;
        EXPECT_EQ(count(answer, is_streamed ? "Jasmine-Outcome: unknown"
                                            : "Jasmine-Outcome: not-run; reason=bad_request\r\n"),
                  count(answer, "HTTP/1.1 "))
            << answer;
    }
    for (const endpoint& server : fleet.backends()) {
        const auto account = fetch_account(server);
        ASSERT_FALSE(failed(account));
        for (const run_entry& it : value_of(account).by_request)
            EXPECT_FALSE(it.id.starts_with("broken-")) << it.id;
    }
}
