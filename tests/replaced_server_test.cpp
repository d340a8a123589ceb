// Backend servers whose address goes to another server, or whose failure domain is evacuated, while
// requests wait for a slot.

#include "gate_fixture.h"
#include "raw_server.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 5ms;
constexpr int steps = 400;

// A server with one slot that gives no answer to its first request until it is released.
class replaced_server : public testing::Test {
protected:
    std::future<std::string> send(const std::string& id)
    {
        return std::async(std::launch::async, [this, id] { return gate.send(id); });
    }
    void wait_for(const std::function<bool()>& condition)
    {
        for (int n = 0; n < steps && !condition(); ++n)
            std::this_thread::sleep_for(step);
        ASSERT_TRUE(condition());
    }

    std::atomic<bool> is_released = false;
    std::atomic<int> runs = 0;
    raw_server server{"127.0.0.1", 10s, [this](raw_connection& it) {
                          ++runs;
                          while (!is_released)
                              std::this_thread::sleep_for(step);
                          it.send("HTTP/1.1 200 OK\r\nx-mark: m\r\nx-request-id: second\r\n"
                                  "Content-Length: 0\r\n\r\n");
                      }};
    gate_fixture gate{server.address(), 1};
};

} // namespace

// Guards against a request that runs at a service that its route does not allow.
TEST_F(replaced_server, of_another_service_gets_no_request_that_waited)
{
    auto first = send("first");
    wait_for([&] { return runs == 1; });
    auto second = send("second");
    wait_for([&] { return gate.waiting() == 1; });
    gate.announce({2}, gate_fixture::other_service);
    is_released = true;
    first.get();
    EXPECT_EQ(second.get(), "not-run; reason=no_backend_server");
    EXPECT_EQ(runs, 1);
}

// A later run of the same service may take what waited.
TEST_F(replaced_server, of_the_same_service_runs_what_waited)
{
    auto first = send("first");
    wait_for([&] { return runs == 1; });
    auto second = send("second");
    wait_for([&] { return gate.waiting() == 1; });
    gate.announce({2});
    is_released = true;
    first.get();
    EXPECT_EQ(second.get(), "ran");
}

// Guards against requests that run at a server of an evacuated domain because they waited there,
// and against a running one that is lost.
TEST_F(replaced_server, of_an_evacuated_domain_gives_back_what_waited)
{
    auto first = send("second");
    wait_for([&] { return runs == 1; });
    auto second = send("third");
    wait_for([&] { return gate.waiting() == 1; });
    gate.set_evacuated(true);
    EXPECT_EQ(second.get(), "not-run; reason=evacuated") << "at once";
    EXPECT_EQ(gate.send("late"), "not-run; reason=evacuated");
    is_released = true;
    EXPECT_EQ(first.get(), "ran");
    EXPECT_EQ(runs, 1);
    gate.set_evacuated(false);
    EXPECT_EQ(gate.send("second"), "ran");
}
