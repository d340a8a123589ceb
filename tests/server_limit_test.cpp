// Limits on what a backend server is sent, kept by node processes under load: the rate that it
// names in its answers, and that of its service while it may be cold.

#include "process_fleet.h"
#include "run_account.h"
#include "system_clock.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <csignal>
#include <future>
#include <thread>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr double max_rate = 2;
// The users' bound: in any 4 s at most one and a half times the rate, and 5 requests.
constexpr duration bound_window = 4s;
constexpr std::uint64_t bound_requests = 17;
constexpr duration load_time = 8s;
constexpr double load_rate = 60;

struct run_sample {
    time_point before;
    time_point after;
    std::uint64_t runs = 0;
};

std::uint64_t runs_of(const endpoint& backend)
{
    httplib::Client client(backend.host, backend.port);
    const httplib::Result answer = client.Get("/control/account?id=none");
    const auto it = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    EXPECT_TRUE(it.is_object());
    return it.is_object() ? it.at("runs").get<std::uint64_t>() : 0;
}

// Most requests that ran between two samples at most `window` apart.
std::uint64_t most_in_a_window(const std::vector<run_sample>& samples,
                               duration window = bound_window)
{
    std::uint64_t out = 0;
    for (std::size_t a = 0; a < samples.size(); ++a) {
        for (std::size_t b = a; b < samples.size(); ++b) {
            if (samples[b].after - samples[a].before <= window)
                out = std::max(out, samples[b].runs - samples[a].runs);
        }
    }
    return out;
}

std::vector<run_sample> sample_runs(const endpoint& backend, duration time)
{
    constexpr duration sample_interval = 100ms;
    std::vector<run_sample> out;
    for (const time_point end = boot_now() + time; boot_now() < end;) {
        const time_point before = boot_now();
        const std::uint64_t runs = runs_of(backend);
        out.push_back({.before = before, .after = boot_now(), .runs = runs});
        std::this_thread::sleep_for(sample_interval);
    }
    return out;
}

class server_limit : public testing::Test {
protected:
    // Sends requests to the node until the backend server has run one of them.
    void run_one_request(std::size_t node)
    {
        const std::uint64_t before = runs_of(limited);
        ASSERT_TRUE(wait_until([&] {
            httplib::Client client(fleet.callers(node).host, fleet.callers(node).port);
            client.set_read_timeout(10s);
            client.Get("/lids/x", {{"Authorization", "Bearer " + honey_key}});
            return runs_of(limited) > before;
        }));
    }

    void SetUp() override
    {
        fleet.set_mode(limited, {{"max_rate", max_rate}});
        for (std::size_t n = 0; n < fleet_nodes; ++n)
            run_one_request(n);
    }

    std::future<load_report> start_load(std::size_t first_node = 0)
    {
        load_options options = fleet.load({.name = "lids"}, load_time);
        options.targets.erase(options.targets.begin(),
                              options.targets.begin() + static_cast<std::ptrdiff_t>(first_node));
        options.rate = load_rate;
        return std::async(std::launch::async, [options] { return load_generator(options).run(); });
    }

    explicit server_limit(const std::string& service_time = "5ms",
                          const std::string& further_settings = "")
        : fleet({.services = {{.name = "lids", .service_time = service_time}},
                 .extra_node_settings =
                     "own_domain_first = no\nother_domain_penalty = 0\n" + further_settings})
    {
    }

    process_fleet fleet;
    const endpoint limited = fleet.backend(0, 0);
};

class slow_server_limit : public server_limit {
protected:
    slow_server_limit() : server_limit("700ms") {}
};

class cold_server_limit : public server_limit {
protected:
    cold_server_limit() : server_limit("5ms", "cold_over = 1.5\ncold_slack = 2\n") {}

    void SetUp() override
    {
        const std::string file = fleet.write("cold.ini", "[service lids]\nfloor_slots = 4\n"
                                                         "warm_up = 10s\nwarm_up_rate = 4\n");
        ASSERT_EQ(fleet.run_command({"apply", file}).code, 0);
        ASSERT_TRUE(wait_until([&] {
            httplib::Client client(fleet.control(0).host, fleet.control(0).port);
            const httplib::Result answer = client.Get("/metrics");
            return answer && answer->body.find("_start_limit{") != std::string::npos;
        }));
    }

    static constexpr std::uint64_t cold_bound = 8; // 1.5 * 4 + 2
};

} // namespace

TEST_F(server_limit, backend_server_gets_no_more_than_the_rate_that_it_named)
{
    auto load = start_load();
    const auto samples = sample_runs(limited, load_time);
    const load_report report = load.get();
    EXPECT_LE(most_in_a_window(samples), bound_requests);
    EXPECT_EQ(report.total.count(answer_kind::ok), report.total.sent);
    fleet.set_mode(limited, nlohmann::json::object());
    const std::uint64_t before = runs_of(limited);
    EXPECT_EQ(start_load().get().total.count(answer_kind::broken), 0U);
    EXPECT_GT(runs_of(limited) - before, bound_requests) << "the limit was not lifted";
}

// Slow answers: a node that forgot the rate fills all slots before the first answer names it again.
TEST_F(slow_server_limit, restart_of_the_node_does_not_forget_the_rate)
{
    auto load = start_load(1);
    auto counted = std::async(std::launch::async, [&] { return sample_runs(limited, load_time); });
    for (int n = 0; n < 4; ++n) {
        std::this_thread::sleep_for(1500ms);
        fleet.node(0).signal(SIGKILL);
        ASSERT_TRUE(fleet.node(0).wait_for_exit(20s).has_value());
        fleet.start_node(0);
    }
    load.get();
    EXPECT_LE(most_in_a_window(counted.get()), bound_requests);
}

TEST_F(server_limit, backend_server_that_says_it_is_leaving_gets_no_new_requests)
{
    fleet.set_mode(limited, {{"leaving", true}});
    run_one_request(0);
    const std::uint64_t before = runs_of(limited);
    const load_report report = start_load().get();
    EXPECT_EQ(runs_of(limited), before);
    EXPECT_EQ(report.total.count(answer_kind::ok), report.total.sent);
}

// Guards against a configuration that does not reach the gate of a registered server, and against
// nodes that together send a server that may be cold more than the bound.
TEST_F(cold_server_limit, holds_for_registered_servers_once_the_configuration_names_it)
{
    auto load = start_load();
    const auto samples = sample_runs(limited, load_time);
    EXPECT_EQ(load.get().total.count(answer_kind::broken), 0U);
    EXPECT_LE(most_in_a_window(samples, 1s), cold_bound);
    EXPECT_GT(samples.back().runs, cold_bound);
}
