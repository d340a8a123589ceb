// Backend servers in trouble that send bytes without end, in a head or in a body, until the caller
// closes.

#include "backend_call.h"

#include "http_pool.h"
#include "link_hub.h"
#include "raw_server.h"
#include "refusal.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <array>
#include <future>
#include <ostream>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* fleet_key = "fleet key of the tests";
const header_names names{.request_id = "x-request-id", .not_run = "x-not-run"};

// What a server may have sent into the connection's buffers before it sees the close.
constexpr std::size_t most_sent_bytes = std::size_t{32} << 20;
constexpr std::size_t fast_bytes = std::size_t{64} << 20;
constexpr std::size_t no_fast_bytes = 0;

struct seen_by_caller {
    call_result call;
    duration took{};
    bool body_is_whole = false;
    std::size_t body_bytes = 0;
};

// Reads the answer as an entry does; true when its body came whole.
bool read_answer(link_stream& stream, time_point end, std::size_t& bytes)
{
    if (failed(stream.read_head(end)))
        return false;
    std::array<char, 4096> buf{};
    while (true) {
        const auto n = stream.read(buf, end);
        if (failed(n) || value_of(n) == 0)
            return !failed(n);
        bytes += value_of(n);
    }
}

seen_by_caller call(const raw_server& server, duration time_limit)
{
    std::promise<seen_by_caller> ended;
    std::thread worker;
    const auto gate =
        link_hub::start({.self = {.vm_name = "gate", .run = {1}},
                         .fleet_key = fleet_key,
                         .on_stream = [&](const std::shared_ptr<link_stream>& stream) {
                             worker = std::thread([&, it = stream]() mutable {
                                 const dispatch request{.time_left = time_limit};
                                 const std::string expected;
                                 const time_point start = boot_now();
                                 seen_by_caller out;
                                 out.call = call_backend(connect_backend(server.address()), it,
                                                         {.deadline = start + time_limit,
                                                          .names = names,
                                                          .request = request,
                                                          .expected_server = expected});
                                 out.took = boot_now() - start;
                                 it.reset();
                                 ended.set_value(out);
                             });
                         }});
    const auto links =
        link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key});
    message_head head{.method = "GET", .path = "/a", .status = 0, .fields = {}};
    head.fields.push_back({.name = "x-request-id", .value = "r1"});
    const auto stream = links->open(gate->local(), std::move(head), true);
    std::size_t bytes = 0;
    const bool whole = read_answer(*stream, boot_now() + time_limit + 20s, bytes);
    seen_by_caller out = ended.get_future().get();
    worker.join();
    out.body_is_whole = whole;
    out.body_bytes = bytes;
    links->stop();
    gate->stop();
    return out;
}

// One way to send bytes without end.
struct trouble {
    std::string name;
    std::string begin;
    std::string again;
    std::size_t fast = fast_bytes;
};

std::ostream& operator<<(std::ostream& out, const trouble& it)
{
    return out << it.name;
}

std::string test_name(const testing::TestParamInfo<trouble>& it)
{
    return it.param.name;
}

class endless_head : public testing::TestWithParam<trouble> {};
class slow_head : public testing::TestWithParam<trouble> {};
class endless_body : public testing::TestWithParam<trouble> {};

raw_server server_of(const trouble& it)
{
    return {"127.0.0.1", 15s, [it](raw_connection& to) {
                if (to.send(it.begin))
                    to.send_without_end(it.again, it.fast);
            }};
}

const std::string block(16384, 'x');

} // namespace

TEST_P(endless_head, is_cut_at_its_bound_long_before_the_deadline)
{
    const raw_server server = server_of(GetParam());
    const seen_by_caller it = call(server, 30s);
    EXPECT_LT(it.took, 12s);
    EXPECT_EQ(it.call.end, call_end::no_answer);
    EXPECT_FALSE(it.call.answered);
    EXPECT_FALSE(it.call.timed_out);
    EXPECT_FALSE(it.call.may_reuse);
    EXPECT_EQ(server.held_too_long(), 0U);
    EXPECT_LT(server.bytes_sent(), most_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_head,
    testing::Values(
        trouble{.name = "status_line", .begin = "HTTP/1.1 200 ", .again = block},
        trouble{.name = "no_answer_at_all", .begin = "", .again = block},
        trouble{.name = "lines_that_are_no_fields", .begin = "HTTP/1.1 200 OK\r\n", .again = "x\n"},
        trouble{.name = "fields",
                .begin = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                .again = "x-a: 1\r\n"},
        trouble{.name = "one_field", .begin = "HTTP/1.1 200 OK\r\nx-a: ", .again = block},
        trouble{
            .name = "provisional_answers", .begin = "", .again = "HTTP/1.1 100 Continue\r\n\r\n"}),
    test_name);

TEST_P(slow_head, ends_at_the_deadline_although_bytes_keep_coming)
{
    const raw_server server = server_of(GetParam());
    const seen_by_caller it = call(server, 1s);
    EXPECT_LT(it.took, 10s);
    EXPECT_EQ(it.call.end, call_end::no_answer);
    EXPECT_FALSE(it.call.answered);
    EXPECT_TRUE(it.call.timed_out);
    EXPECT_FALSE(it.call.may_reuse);
    EXPECT_EQ(server.held_too_long(), 0U);
}

INSTANTIATE_TEST_SUITE_P(endless_answer, slow_head,
                         testing::Values(trouble{.name = "byte_by_byte",
                                                 .begin = "HTTP/1.1 200 OK\r\nx-a: ",
                                                 .again = "x",
                                                 .fast = no_fast_bytes},
                                         trouble{.name = "field_by_field",
                                                 .begin = "HTTP/1.1 200 OK\r\n",
                                                 .again = "x-a: 1\r\n",
                                                 .fast = no_fast_bytes},
                                         trouble{.name = "provisional_answers",
                                                 .begin = "",
                                                 .again = "HTTP/1.1 100 Continue\r\n\r\n",
                                                 .fast = no_fast_bytes}),
                         test_name);

TEST_P(endless_body, ends_at_the_deadline_and_never_looks_whole)
{
    const raw_server server = server_of(GetParam());
    const seen_by_caller it = call(server, 1s);
    EXPECT_LT(it.took, 10s);
    EXPECT_NE(it.call.end, call_end::whole_answer);
    EXPECT_NE(it.call.end, call_end::shed);
    EXPECT_FALSE(it.body_is_whole);
    EXPECT_FALSE(it.call.may_reuse);
    EXPECT_EQ(server.held_too_long(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_body,
    testing::Values(
        trouble{.name = "without_length_slow",
                .begin = "HTTP/1.1 200 OK\r\n\r\n",
                .again = "x",
                .fast = no_fast_bytes},
        trouble{.name = "without_length_fast", .begin = "HTTP/1.1 200 OK\r\n\r\n", .again = block},
        trouble{.name = "with_length_slow",
                .begin = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
                .again = "x",
                .fast = no_fast_bytes},
        trouble{.name = "chunks_slow",
                .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                .again = "1\r\nx\r\n",
                .fast = no_fast_bytes},
        trouble{.name = "chunks_fast",
                .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                .again = "1\r\nx\r\n"},
        trouble{.name = "size_of_a_chunk",
                .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                .again = block},
        trouble{.name = "failure",
                .begin = "HTTP/1.1 500 No\r\n\r\n",
                .again = "x",
                .fast = no_fast_bytes},
        trouble{.name = "refusal_slow",
                .begin = "HTTP/1.1 503 No\r\nx-not-run: full\r\n\r\n",
                .again = "x",
                .fast = no_fast_bytes},
        trouble{.name = "refusal_fast",
                .begin = "HTTP/1.1 503 No\r\nx-not-run: full\r\n\r\n",
                .again = block}),
    test_name);

// The library matches the status line by recursion, one step a byte.
TEST(endless_answer, a_long_status_line_does_not_overflow_the_stack)
{
    const raw_server server("127.0.0.1", 15s, [](raw_connection& to) {
        to.send("HTTP/1.1 200 " + std::string(200'000, 'x') + "\r\nContent-Length: 0\r\n\r\n");
    });
    const seen_by_caller it = call(server, 30s);
    EXPECT_EQ(it.call.end, call_end::no_answer);
    EXPECT_FALSE(it.call.answered);
}

TEST(endless_answer, the_size_of_a_chunk_is_cut_at_its_bound)
{
    const raw_server server =
        server_of({.name = {},
                   .begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                   .again = block});
    const seen_by_caller it = call(server, 30s);
    EXPECT_LT(it.took, 12s);
    EXPECT_EQ(it.call.end, call_end::cut_answer);
    EXPECT_FALSE(it.call.timed_out);
    EXPECT_FALSE(it.body_is_whole);
    EXPECT_LT(server.bytes_sent(), most_sent_bytes);
}

// Bounds of heads and lines are none of bodies.
TEST(endless_answer, whole_answers_of_every_framing_still_come_whole)
{
    const std::string body(3'000'000, 'y');
    std::string single;
    for (int n = 0; n < 20'000; ++n)
        single += "1\r\nz\r\n";
    struct framing {
        std::string answer;
        std::size_t bytes;
    };
    const std::vector<framing> framings{
        {"HTTP/1.1 200 OK\r\n\r\n" + body, body.size()},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + body, body.size()},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + single + "0\r\n\r\n", 20'000},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2},
        {"HTTP/1.1 200 " + std::string(300, 'x') + "\r\nx-a: " + std::string(8000, 'a') +
             "\r\nContent-Length: 2\r\n\r\nok",
         2}};
    for (const framing& it : framings) {
        SCOPED_TRACE(it.answer.substr(0, 60));
        const raw_server server("127.0.0.1", 30s, [&](raw_connection& to) { to.send(it.answer); });
        const seen_by_caller seen = call(server, 30s);
        EXPECT_EQ(seen.call.end, call_end::whole_answer);
        EXPECT_TRUE(seen.body_is_whole);
        EXPECT_EQ(seen.body_bytes, it.bytes);
    }
}

// Else the rest of them would pass for the head of the next answer.
TEST(endless_answer, a_connection_with_bytes_beyond_a_whole_answer_is_not_used_again)
{
    const raw_server server("127.0.0.1", 15s, [](raw_connection& to) {
        to.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokBYTES BEYOND");
        std::this_thread::sleep_for(300ms);
    });
    EXPECT_FALSE(call(server, 10s).call.may_reuse);
}

// Calls to the store and other servers of the platform.
class endless_answer_to_pool : public testing::TestWithParam<trouble> {};

TEST_P(endless_answer_to_pool, is_cut_and_no_answer)
{
    const raw_server server = server_of(GetParam());
    http_pool pool({.server = server.address()});
    const time_point start = boot_now();
    const auto answer = pool.post("/a", "{}", start + 3s);
    EXPECT_LT(boot_now() - start, 12s);
    ASSERT_TRUE(failed(answer));
    EXPECT_EQ(error_of(answer),
              GetParam().fast == no_fast_bytes ? http_failure::late : http_failure::too_large);
    EXPECT_EQ(server.held_too_long(), 0U);
    EXPECT_LT(server.bytes_sent(), most_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_answer_to_pool,
    testing::Values(
        trouble{.name = "status_line", .begin = "HTTP/1.1 200 ", .again = block},
        trouble{.name = "fields", .begin = "HTTP/1.1 200 OK\r\n", .again = "x-a: 1\r\n"},
        trouble{.name = "one_field", .begin = "HTTP/1.1 200 OK\r\nx-a: ", .again = block},
        trouble{.name = "body", .begin = "HTTP/1.1 200 OK\r\n\r\n", .again = block},
        trouble{.name = "slow_head",
                .begin = "HTTP/1.1 200 OK\r\n",
                .again = "x-a: 1\r\n",
                .fast = no_fast_bytes},
        trouble{.name = "slow_body",
                .begin = "HTTP/1.1 200 OK\r\n\r\n",
                .again = "1",
                .fast = no_fast_bytes}),
    test_name);
