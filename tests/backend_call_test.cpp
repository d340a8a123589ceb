// Calls to a backend server whose answers promise more or less than a caller may be told.

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

// What the backend server answers.
struct told {
    int status = 200;
    httplib::Headers headers;
};

struct seen_by_caller {
    call_result call;
    bool has_head = false;
    int status = 0;
};

class one_server {
public:
    one_server()
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
    ~one_server()
    {
        server_.stop();
        thread_.join();
    }

    seen_by_caller call()
    {
        std::promise<call_result> ended;
        std::thread worker;
        const auto gate = link_hub::start(
            {.self = {.vm_name = "gate", .run = {1}},
             .fleet_key = fleet_key,
             .on_stream = [&](const std::shared_ptr<link_stream>& stream) {
                 worker = std::thread([&, stream] {
                     const dispatch request{.time_left = 2s};
                     const std::string expected;
                     ended.set_value(call_backend(
                         connect_backend({"127.0.0.1", static_cast<std::uint16_t>(port_)}), stream,
                         {.deadline = boot_now() + 2s,
                          .names = names,
                          .request = request,
                          .expected_server = expected}));
                 });
             }});
        const auto links =
            link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key});
        message_head head{.method = "GET", .path = "/a", .status = 0, .fields = {}};
        head.fields.push_back({.name = "x-request-id", .value = "r1"});
        const auto stream = links->open(gate->local(), std::move(head), true);
        seen_by_caller out;
        auto result = ended.get_future();
        out.call = result.get();
        worker.join();
        if (out.call.answered) {
            const auto answered = stream->read_head(boot_now() + 2s);
            out.has_head = !failed(answered);
            out.status = out.has_head ? value_of(answered).status : 0;
        }
        links->stop();
        gate->stop();
        return out;
    }

    told answer;

private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

} // namespace

TEST(backend_call, a_success_needs_its_mark)
{
    one_server server;
    server.answer = {.status = 200, .headers = {{"x-mark", "m"}}};
    EXPECT_EQ(server.call().call.end, call_end::whole_answer);
    server.answer = {.status = 200, .headers = {}};
    const seen_by_caller without = server.call();
    EXPECT_EQ(without.call.end, call_end::cut_answer);
    EXPECT_FALSE(without.call.answered);
    EXPECT_FALSE(without.call.may_reuse);
}

TEST(backend_call, a_failure_is_passed_on_with_or_without_a_mark)
{
    one_server server;
    for (const int status : {404, 500}) {
        server.answer = {.status = status, .headers = {}};
        const seen_by_caller it = server.call();
        EXPECT_EQ(it.call.end, call_end::whole_answer);
        EXPECT_EQ(it.status, status);
    }
}

// 408, 421, 429 and 503 promise that nothing ran; without a proof the promise is not passed on.
TEST(backend_call, a_promise_needs_a_proof)
{
    one_server server;
    for (const int status : {408, 421, 429, 503}) {
        server.answer = {.status = status, .headers = {}};
        const seen_by_caller without = server.call();
        EXPECT_EQ(without.call.end, call_end::cut_answer) << status;
        EXPECT_FALSE(without.call.answered) << status;
        server.answer = {.status = status, .headers = {{"x-not-run", "full"}}};
        EXPECT_EQ(server.call().call.end, call_end::shed) << status;
    }
}

TEST(backend_call, an_answer_to_another_request_is_no_answer)
{
    one_server server;
    server.answer = {.status = 200, .headers = {{"x-mark", "m"}, {"x-request-id", "r0"}}};
    const seen_by_caller stray = server.call();
    EXPECT_FALSE(stray.call.answered);
    EXPECT_FALSE(stray.call.may_reuse);
    server.answer.headers = {{"x-mark", "m"}, {"x-request-id", "r1"}};
    EXPECT_EQ(server.call().call.end, call_end::whole_answer);
}
