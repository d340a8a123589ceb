// Callers that leave while their requests wait for a slot or for a worker of the gate.

#include "gate_fixture.h"
#include "raw_server.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration long_limit = 20s;
constexpr duration step = 5ms;

void wait_for(const std::function<bool()>& condition)
{
    const time_point end = boot_now() + long_limit;
    while (!condition() && boot_now() < end)
        std::this_thread::sleep_for(step);
    ASSERT_TRUE(condition());
}

} // namespace

// Guards against a gate that takes the expiry of another request for the removal of the cancelled
// one, and ends its process when a worker looks the removed request up.
TEST(cancelled_request, that_has_a_slot_survives_the_expiry_of_one_that_waits)
{
    std::atomic<std::size_t> runs = 0;
    std::atomic<bool> is_released = false;
    raw_server server{"127.0.0.1", 30s, [&](raw_connection& it) {
                          ++runs;
                          while (!is_released)
                              std::this_thread::sleep_for(step);
                          it.send("HTTP/1.1 200 OK\r\nx-mark: m\r\nContent-Length: 0\r\n\r\n");
                      }};
    gate_fixture gate{server.address(), gate_fixture::threads + 1};
    std::vector<std::shared_ptr<link_stream>> running;
    for (std::size_t n = 0; n < gate_fixture::threads; ++n)
        running.push_back(gate.open("", long_limit));
    wait_for([&] { return runs == gate_fixture::threads; });
    const auto load = [&] { return gate.tested().loads(boot_now()).front(); };
    const auto started = gate.open("", long_limit);
    wait_for([&] { return load().running == gate_fixture::threads + 1; });
    const auto waiting = gate.open("", 200ms);
    wait_for([&] { return load().waiting == 1; });
    std::this_thread::sleep_for(200ms);

    started->reset(reset_reason::cancelled);
    // Arrives on the same link after the cancellation.
    EXPECT_EQ(gate.send("", gate_fixture::other_service), "not-run; reason=no_backend_server");
    is_released = true;
    wait_for([&] { return load().running + load().waiting == 0; });
    EXPECT_EQ(gate.send(""), "ran");
    EXPECT_EQ(runs, gate_fixture::threads + 1) << "the cancelled request was not sent";
}
