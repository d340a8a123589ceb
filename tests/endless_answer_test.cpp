// Faulty backend servers that send an endless head or body until the client closes the connection.
// Without limits they would block a worker thread and exhaust memory.

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

// Limit of the bytes that a server can send, socket buffers included, before it detects the close.
constexpr std::size_t max_sent_bytes = std::size_t{32} << 20;
constexpr std::size_t many_unpaced_bytes = std::size_t{64} << 20;
constexpr std::size_t no_unpaced_bytes = 0;

struct observed_call {
    call_result call;
    duration took{};
    bool body_complete = false;
    std::size_t body_bytes = 0;
};

// Reads the answer as an entry node does; true if its body was complete.
bool read_whole_answer(link_stream& stream, time_point end, std::size_t& bytes)
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

observed_call call(const raw_server& server, duration time_limit)
{
    std::promise<observed_call> ended;
    std::thread worker;
    const auto gate =
        link_hub::start({.self = {.vm_name = "gate", .run = {1}},
                         .fleet_key = fleet_key,
                         .on_stream = [&](const std::shared_ptr<link_stream>& stream) {
                             worker = std::thread([&, it = stream]() mutable {
                                 const dispatch request{.time_left = time_limit};
                                 const std::string expected;
                                 const time_point start = boot_now();
                                 observed_call out;
                                 out.call =
                                     call_backend(make_backend_connection(server.address()), it,
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
    const bool complete = read_whole_answer(*stream, boot_now() + time_limit + 20s, bytes);
    observed_call out = ended.get_future().get();
    worker.join();
    out.body_complete = complete;
    out.body_bytes = bytes;
    links->stop();
    gate->stop();
    return out;
}

// One form of an endless answer: `prefix` once, then `repeated`, the first `unpaced_bytes` without
// pauses.
struct endless_case {
    std::string name;
    std::string prefix;
    std::string repeated;
    std::size_t unpaced_bytes = many_unpaced_bytes;
};

std::ostream& operator<<(std::ostream& out, const endless_case& it)
{
    return out << it.name;
}

std::string test_name(const testing::TestParamInfo<endless_case>& it)
{
    return it.param.name;
}

class endless_head : public testing::TestWithParam<endless_case> {};
class slow_head : public testing::TestWithParam<endless_case> {};
class endless_body : public testing::TestWithParam<endless_case> {};

raw_server make_server(const endless_case& it)
{
    return {"127.0.0.1", 15s, [it](raw_connection& to) {
                if (to.send(it.prefix))
                    to.send_repeatedly(it.repeated, it.unpaced_bytes);
            }};
}

const std::string filler(16384, 'x');

} // namespace

TEST_P(endless_head, ends_at_the_size_limit_before_the_deadline)
{
    const raw_server server = make_server(GetParam());
    const observed_call it = call(server, 30s);
    EXPECT_LT(it.took, 12s);
    EXPECT_EQ(it.call.outcome, call_outcome::no_answer);
    EXPECT_FALSE(it.call.head_forwarded);
    EXPECT_FALSE(it.call.timed_out);
    EXPECT_FALSE(it.call.connection_reusable);
    EXPECT_EQ(server.timed_out_connections(), 0U);
    EXPECT_LT(server.bytes_sent(), max_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_head,
    testing::Values(
        endless_case{.name = "status_line", .prefix = "HTTP/1.1 200 ", .repeated = filler},
        endless_case{.name = "bytes_without_status_line", .prefix = "", .repeated = filler},
        endless_case{
            .name = "lines_that_are_no_fields", .prefix = "HTTP/1.1 200 OK\r\n", .repeated = "x\n"},
        endless_case{.name = "fields",
                     .prefix = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                     .repeated = "x-a: 1\r\n"},
        endless_case{.name = "one_field", .prefix = "HTTP/1.1 200 OK\r\nx-a: ", .repeated = filler},
        endless_case{.name = "provisional_answers",
                     .prefix = "",
                     .repeated = "HTTP/1.1 100 Continue\r\n\r\n"}),
    test_name);

TEST_P(slow_head, ends_at_the_deadline_although_bytes_keep_coming)
{
    const raw_server server = make_server(GetParam());
    const observed_call it = call(server, 1s);
    EXPECT_LT(it.took, 10s);
    EXPECT_EQ(it.call.outcome, call_outcome::no_answer);
    EXPECT_FALSE(it.call.head_forwarded);
    EXPECT_TRUE(it.call.timed_out);
    EXPECT_FALSE(it.call.connection_reusable);
    EXPECT_EQ(server.timed_out_connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(endless_answer, slow_head,
                         testing::Values(endless_case{.name = "byte_by_byte",
                                                      .prefix = "HTTP/1.1 200 OK\r\nx-a: ",
                                                      .repeated = "x",
                                                      .unpaced_bytes = no_unpaced_bytes},
                                         endless_case{.name = "field_by_field",
                                                      .prefix = "HTTP/1.1 200 OK\r\n",
                                                      .repeated = "x-a: 1\r\n",
                                                      .unpaced_bytes = no_unpaced_bytes},
                                         endless_case{.name = "provisional_answers",
                                                      .prefix = "",
                                                      .repeated = "HTTP/1.1 100 Continue\r\n\r\n",
                                                      .unpaced_bytes = no_unpaced_bytes}),
                         test_name);

TEST_P(endless_body, ends_by_the_deadline_and_is_not_reported_complete)
{
    const raw_server server = make_server(GetParam());
    const observed_call it = call(server, 1s);
    EXPECT_LT(it.took, 10s);
    EXPECT_NE(it.call.outcome, call_outcome::whole_answer);
    EXPECT_NE(it.call.outcome, call_outcome::shed);
    EXPECT_FALSE(it.body_complete);
    EXPECT_FALSE(it.call.connection_reusable);
    EXPECT_EQ(server.timed_out_connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_body,
    testing::Values(
        endless_case{.name = "without_length_slow",
                     .prefix = "HTTP/1.1 200 OK\r\n\r\n",
                     .repeated = "x",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{
            .name = "without_length_fast", .prefix = "HTTP/1.1 200 OK\r\n\r\n", .repeated = filler},
        endless_case{.name = "with_length_slow",
                     .prefix = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
                     .repeated = "x",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{.name = "chunks_slow",
                     .prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     .repeated = "1\r\nx\r\n",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{.name = "chunks_fast",
                     .prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     .repeated = "1\r\nx\r\n"},
        endless_case{.name = "size_of_a_chunk",
                     .prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                     .repeated = filler},
        endless_case{.name = "failure",
                     .prefix = "HTTP/1.1 500 No\r\n\r\n",
                     .repeated = "x",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{.name = "refusal_slow",
                     .prefix = "HTTP/1.1 503 No\r\nx-not-run: full\r\n\r\n",
                     .repeated = "x",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{.name = "refusal_fast",
                     .prefix = "HTTP/1.1 503 No\r\nx-not-run: full\r\n\r\n",
                     .repeated = filler}),
    test_name);

// The library matches the status line recursively, one level per byte.
TEST(endless_answer, a_long_status_line_does_not_overflow_the_stack)
{
    const raw_server server("127.0.0.1", 15s, [](raw_connection& to) {
        to.send("HTTP/1.1 200 " + std::string(200'000, 'x') + "\r\nContent-Length: 0\r\n\r\n");
    });
    const observed_call it = call(server, 30s);
    EXPECT_EQ(it.call.outcome, call_outcome::no_answer);
    EXPECT_FALSE(it.call.head_forwarded);
}

TEST(endless_answer, an_overlong_chunk_size_line_ends_the_call_before_the_deadline)
{
    const raw_server server =
        make_server({.name = {},
                     .prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                     .repeated = filler});
    const observed_call it = call(server, 30s);
    EXPECT_LT(it.took, 12s);
    EXPECT_EQ(it.call.outcome, call_outcome::cut_answer);
    EXPECT_FALSE(it.call.timed_out);
    EXPECT_FALSE(it.body_complete);
    EXPECT_LT(server.bytes_sent(), max_sent_bytes);
}

// The limits on heads and lines must not limit bodies.
TEST(endless_answer, complete_answers_of_every_framing_are_forwarded_in_full)
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
        const observed_call seen = call(server, 30s);
        EXPECT_EQ(seen.call.outcome, call_outcome::whole_answer);
        EXPECT_TRUE(seen.body_complete);
        EXPECT_EQ(seen.body_bytes, it.bytes);
    }
}

// Otherwise the excess bytes would be read as the head of the next answer.
TEST(endless_answer, a_connection_with_bytes_after_a_complete_answer_is_not_reused)
{
    const raw_server server("127.0.0.1", 15s, [](raw_connection& to) {
        to.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokBYTES BEYOND");
        std::this_thread::sleep_for(300ms);
    });
    EXPECT_FALSE(call(server, 10s).call.connection_reusable);
}

// `http_pool` makes the calls to the store and to other servers of the platform.
class endless_answer_to_pool : public testing::TestWithParam<endless_case> {};

TEST_P(endless_answer_to_pool, fails_at_the_size_limit_or_the_deadline)
{
    const raw_server server = make_server(GetParam());
    http_pool pool({.server = server.address()});
    const time_point start = boot_now();
    const auto answer = pool.post("/a", "{}", start + 3s);
    EXPECT_LT(boot_now() - start, 12s);
    ASSERT_TRUE(failed(answer));
    EXPECT_EQ(error_of(answer), GetParam().unpaced_bytes == no_unpaced_bytes
                                    ? http_failure::deadline_exceeded
                                    : http_failure::too_large);
    EXPECT_EQ(server.timed_out_connections(), 0U);
    EXPECT_LT(server.bytes_sent(), max_sent_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    endless_answer, endless_answer_to_pool,
    testing::Values(
        endless_case{.name = "status_line", .prefix = "HTTP/1.1 200 ", .repeated = filler},
        endless_case{.name = "fields", .prefix = "HTTP/1.1 200 OK\r\n", .repeated = "x-a: 1\r\n"},
        endless_case{.name = "one_field", .prefix = "HTTP/1.1 200 OK\r\nx-a: ", .repeated = filler},
        endless_case{.name = "body", .prefix = "HTTP/1.1 200 OK\r\n\r\n", .repeated = filler},
        endless_case{.name = "slow_head",
                     .prefix = "HTTP/1.1 200 OK\r\n",
                     .repeated = "x-a: 1\r\n",
                     .unpaced_bytes = no_unpaced_bytes},
        endless_case{.name = "slow_body",
                     .prefix = "HTTP/1.1 200 OK\r\n\r\n",
                     .repeated = "1",
                     .unpaced_bytes = no_unpaced_bytes}),
    test_name);
