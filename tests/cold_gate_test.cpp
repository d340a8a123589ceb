// What a gate sends to a backend server that may be cold.

#include "gate_fixture.h"
#include "raw_server.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr cold_start_tolerance tolerance{.over = 1.5, .slack = 2};
constexpr double rate = 4;
constexpr std::size_t bound = 8; // 1.5 * 4 + 2
constexpr std::size_t callers = 30;

std::shared_ptr<const fleet_config> config()
{
    fleet_config out;
    out.services.push_back(
        {.id = gate_fixture::own_service, .name = "cold", .warm_up = 10s, .warm_up_rate = rate});
    return std::make_shared<const fleet_config>(std::move(out));
}

// Sends requests until `count` have arrived in all, and closes the gate.
void send_until_arrived(gate_fixture& it, const raw_server& server, std::size_t count)
{
    std::vector<std::future<std::string>> sent;
    for (std::size_t n = 0; n < callers; ++n)
        sent.push_back(std::async(std::launch::async, [&] { return it.send(""); }));
    for (int n = 0; n < 4000 && server.requests() < count; ++n) {
        it.tested().tick(boot_now());
        std::this_thread::sleep_for(5ms);
    }
    it.tested().close();
}

} // namespace

// Guards against a gate that has forgotten after its restart what it sent just before, and against
// one that sends without knowing the service's rate.
TEST(cold_gate, server_gets_no_more_than_the_bound_through_restarts_of_its_gate)
{
    std::mutex mutex;
    std::vector<time_point> arrivals;
    raw_server server{"127.0.0.1", 10s, [&](raw_connection& it) {
                          const std::lock_guard lock(mutex);
                          arrivals.push_back(boot_now());
                          it.send("HTTP/1.1 200 OK\r\nx-mark: m\r\nContent-Length: 0\r\n\r\n");
                      }};
    for (std::size_t n = 1; n <= 3; ++n) {
        gate_fixture it(server.address(), 40, tolerance);
        EXPECT_EQ(it.send(""), "not-run; reason=overloaded") << "without a configuration";
        it.tested().set_config(config(), boot_now());
        send_until_arrived(it, server, n * bound);
        it.set_evacuated(true);
        it.set_evacuated(false);
        EXPECT_EQ(it.tested().loads(boot_now()).front().start_limit, 4U);
    }
    EXPECT_GE(server.requests(), 3 * bound);
    const std::lock_guard lock(mutex);
    for (std::size_t n = bound; n < arrivals.size(); ++n) {
        // Less than the second of the bound: on a busy machine arrivals are recorded late.
        EXPECT_GT(arrivals[n] - arrivals[n - bound], 800ms) << "more than the bound, from " << n;
    }
}
