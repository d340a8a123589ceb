// Which answers of a backend server are forwarded, when its statuses and successes need a proof.

#include "backend_call.h"

#include "link_hub.h"
#include "refusal.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* fleet_key = "fleet key of the tests";

const header_names names{.request_id = "x-request-id",
                         .not_run = "x-not-run",
                         .success_mark = "x-mark",
                         .status_guarantees_not_run = true};

// The answer of the backend server to every request.
struct configured_answer {
    int status = 200;
    httplib::Headers headers;
};

struct observed_call {
    call_result call;
    bool has_head = false;
    int status = 0;
};

class fixed_answer_server {
public:
    fixed_answer_server()
    {
        server_.Get("/.*", [this](const httplib::Request&, httplib::Response& res) {
            res.status = answer.status;
            res.headers = answer.headers;
            res.set_content("body", "text/plain");
        });
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::yield();
    }
    ~fixed_answer_server()
    {
        server_.stop();
        thread_.join();
    }

    observed_call call()
    {
        std::promise<call_result> ended;
        std::thread worker;
        const auto gate = link_hub::start(
            {.self = {.vm_name = "gate", .run = {1}},
             .fleet_key = fleet_key,
             .on_stream = [&](const std::shared_ptr<link_stream>& stream) {
                 worker = std::thread([&, stream] {
                     const dispatch request{.time_left = 2s};
                     const std::string expected_server_name;
                     ended.set_value(call_backend(
                         make_backend_connection({"127.0.0.1", static_cast<std::uint16_t>(port_)}),
                         stream,
                         {.deadline = boot_now() + 2s,
                          .names = names,
                          .request = request,
                          .expected_server = expected_server_name}));
                 });
             }});
        const auto links =
            link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key});
        message_head head{.method = "GET", .path = "/a", .status = 0, .fields = {}};
        head.fields.push_back({.name = "x-request-id", .value = "r1"});
        const auto stream = links->open(gate->local(), std::move(head), true);
        observed_call out;
        auto result = ended.get_future();
        out.call = result.get();
        worker.join();
        if (out.call.head_forwarded) {
            const auto answered = stream->read_head(boot_now() + 2s);
            out.has_head = !failed(answered);
            out.status = out.has_head ? value_of(answered).status : 0;
        }
        links->stop();
        gate->stop();
        return out;
    }

    configured_answer answer;

private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

} // namespace

TEST(backend_call, a_success_without_the_success_mark_is_not_forwarded)
{
    fixed_answer_server server;
    server.answer = {.status = 200, .headers = {{"x-mark", "m"}}};
    EXPECT_EQ(server.call().call.outcome, call_outcome::whole_answer);
    server.answer = {.status = 200, .headers = {}};
    const observed_call without = server.call();
    EXPECT_EQ(without.call.outcome, call_outcome::cut_answer);
    EXPECT_FALSE(without.call.head_forwarded);
    EXPECT_FALSE(without.call.connection_reusable);
}

TEST(backend_call, an_error_status_without_the_success_mark_is_forwarded)
{
    fixed_answer_server server;
    for (const int status : {404, 500}) {
        server.answer = {.status = status, .headers = {}};
        const observed_call it = server.call();
        EXPECT_EQ(it.call.outcome, call_outcome::whole_answer);
        EXPECT_EQ(it.status, status);
    }
}

// The statuses 408, 421, 429 and 503 claim that the request did not run. Without the proof header
// they must not reach the caller.
TEST(backend_call, a_not_executed_status_without_proof_is_not_forwarded)
{
    fixed_answer_server server;
    for (const int status : {408, 421, 429, 503}) {
        server.answer = {.status = status, .headers = {}};
        const observed_call without = server.call();
        EXPECT_EQ(without.call.outcome, call_outcome::cut_answer) << status;
        EXPECT_FALSE(without.call.head_forwarded) << status;
        server.answer = {.status = status, .headers = {{"x-not-run", "full"}}};
        EXPECT_EQ(server.call().call.outcome, call_outcome::shed) << status;
    }
}

TEST(backend_call, an_answer_with_another_request_id_is_not_forwarded)
{
    fixed_answer_server server;
    server.answer = {.status = 200, .headers = {{"x-mark", "m"}, {"x-request-id", "r0"}}};
    const observed_call stray = server.call();
    EXPECT_FALSE(stray.call.head_forwarded);
    EXPECT_FALSE(stray.call.connection_reusable);
    EXPECT_EQ(stray.call.fault, answer_fault::foreign);
    server.answer.headers = {{"x-mark", "m"}, {"x-request-id", "r1"}};
    EXPECT_EQ(server.call().call.outcome, call_outcome::whole_answer);
}
