// Faulty backend servers that write an answer once more on a kept connection, where the answer to
// the next request is due.

#include "gate_fixture.h"
#include "http_pool.h"
#include "raw_server.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration time_limit = 3s;
constexpr duration run_time = 50ms;
constexpr std::uint32_t server_slots = 4;
const header_names names = gate_fixture::names();

// An answer of the backend server; without an id if `id` is empty.
std::string answer_text(int status, const std::string& id)
{
    const std::string proof = status < 300 ? "x-mark: m\r\n" : "x-not-run: full\r\n";
    return fmt::format("HTTP/1.1 {} Status\r\n{}{}Content-Length: 0\r\n\r\n", status, proof,
                       id.empty() ? "" : "x-request-id: " + id + "\r\n");
}

std::string id_in(const std::string& head)
{
    const std::string name = names.request_id + ": ";
    const std::size_t at = head.find(name) + name.size();
    return head.substr(at, head.find('\r', at) - at);
}

// Answers the first request on its first connection with `first`. It runs the next request there
// and answers it with `second`, but writes `copy` first. Requests on other connections run and get
// `second` at once.
class repeating_server {
public:
    repeating_server(const std::string& first, const std::string& copy, const std::string& second)
        : server_("127.0.0.1", 10s, [=, this](raw_connection& it) {
              if (connections_++ == 0) {
                  if (!it.send(first) || !it.receive_head())
                      return;
                  ++runs_;
                  it.send(copy);
                  std::this_thread::sleep_for(run_time);
                  it.send(second);
                  return;
              }
              do {
                  ++runs_;
                  it.send(second);
              } while (it.receive_head());
          })
    {
    }

    endpoint address() const { return server_.address(); }
    int runs() const { return runs_; }

private:
    std::atomic<int> connections_ = 0;
    std::atomic<int> runs_ = 0;
    raw_server server_;
};

bool is_not_run(const std::string& outcome)
{
    return outcome.starts_with("not-run");
}

} // namespace

TEST(kept_connection, copied_refusal_is_not_the_answer_to_a_repetition_of_its_request)
{
    for (const int status : {503, 429}) {
        SCOPED_TRACE(status);
        const std::string refused = answer_text(status, "r1");
        repeating_server server(refused, refused, answer_text(200, "r1"));
        gate_fixture fleet(server.address(), server_slots);
        EXPECT_TRUE(is_not_run(fleet.send("r1")));
        const std::string outcome = fleet.send("r1");
        EXPECT_EQ(server.runs(), 1);
        EXPECT_EQ(outcome, "ran");
    }
}

TEST(kept_connection, copied_refusal_without_an_id_is_not_the_answer_to_another_request)
{
    for (const int status : {503, 429}) {
        SCOPED_TRACE(status);
        repeating_server server(answer_text(status, "r1"), answer_text(status, ""),
                                answer_text(200, "r2"));
        gate_fixture fleet(server.address(), server_slots);
        EXPECT_TRUE(is_not_run(fleet.send("r1")));
        const std::string outcome = fleet.send("r2");
        EXPECT_EQ(server.runs(), 1);
        EXPECT_FALSE(is_not_run(outcome)) << outcome;
    }
}

TEST(kept_connection, copied_refusal_is_not_the_answer_to_a_request_without_an_id)
{
    repeating_server server(answer_text(503, ""), answer_text(503, ""), answer_text(200, ""));
    gate_fixture fleet(server.address(), server_slots);
    EXPECT_TRUE(is_not_run(fleet.send("")));
    EXPECT_EQ(fleet.send(""), "ran");
    EXPECT_EQ(server.runs(), 1);
}

TEST(kept_connection, copied_answer_without_an_id_is_not_the_answer_to_another_request)
{
    repeating_server server(answer_text(200, "r1"), answer_text(200, ""), answer_text(503, "r2"));
    gate_fixture fleet(server.address(), server_slots);
    EXPECT_EQ(fleet.send("r1"), "ran");
    EXPECT_NE(fleet.send("r2"), "ran");
}

TEST(kept_connection, copied_answer_is_not_the_answer_to_a_repetition_of_its_request)
{
    repeating_server server(answer_text(200, "r1"), answer_text(200, "r1"), answer_text(503, "r1"));
    gate_fixture fleet(server.address(), server_slots);
    EXPECT_EQ(fleet.send("r1"), "ran");
    EXPECT_TRUE(is_not_run(fleet.send("r1")));
}

// A store that writes a refusal once more: the next change would be reported as not made.
TEST(kept_connection, copied_refusal_is_not_the_answer_to_the_next_call_of_a_pool)
{
    for (const int status : {429, 503, 412, 404}) {
        SCOPED_TRACE(status);
        repeating_server server(answer_text(status, ""), answer_text(status, ""),
                                answer_text(200, ""));
        http_pool pool({.server = server.address()});
        for (const int expected : {status, 200}) {
            const auto answer = pool.send("GET", "/a", "", boot_now() + time_limit);
            ASSERT_FALSE(failed(answer));
            EXPECT_EQ(value_of(answer).status, expected);
        }
        EXPECT_EQ(server.runs(), 1);
    }
}

// The gate may still hold a connection when the next request arrives, but opens one a slot at most.
TEST(kept_connection, requests_with_ids_of_their_own_share_connections)
{
    std::atomic<std::uint32_t> connections = 0;
    const raw_server server("127.0.0.1", 10s, [&](raw_connection& it) {
        ++connections;
        do {
            it.send(answer_text(200, id_in(it.head())));
        } while (it.receive_head());
    });
    gate_fixture fleet(server.address(), server_slots);
    for (int n = 1; n <= 50; ++n)
        EXPECT_EQ(fleet.send(fmt::format("r{}", n)), "ran");
    EXPECT_LE(connections, server_slots);
}
