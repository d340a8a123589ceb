#include "fake_backend.h"

#include "system_clock.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace jasminebank;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace {

fake_backend_options quick_options()
{
    return {.slots = 1, .waiting = 0, .service_time = 1ms, .service_noise = 0};
}

httplib::Client client_of(const endpoint& to)
{
    httplib::Client out(to.host, to.port);
    out.set_keep_alive(true);
    out.set_connection_timeout(5s);
    out.set_read_timeout(10s);
    return out;
}

httplib::Headers headers_of(const std::string& id)
{
    return {{"X-Request-Id", id}, {"Jasmine-Organisation", "org1"}};
}

// Waits until `condition` holds and returns true; returns false after ten seconds.
template <class Condition>
bool eventually(Condition condition)
{
    for (const time_point end = boot_now() + 10s; boot_now() < end;) {
        if (condition())
            return true;
        std::this_thread::sleep_for(2ms);
    }
    return false;
}

// A node that records the announcements it receives.
struct fake_node {
    socket_server server{{.listen = {.host = "127.0.0.1", .port = 0}}};
    std::mutex mutex;
    std::vector<json> announcements;

    bool start()
    {
        server.Post("/announce", [this](const httplib::Request& req, httplib::Response&) {
            const std::lock_guard lock(mutex);
            announcements.push_back(json::parse(req.body));
        });
        return server.start();
    }

    bool received(const endpoint& address, bool draining)
    {
        const std::lock_guard lock(mutex);
        return std::any_of(announcements.begin(), announcements.end(), [&](const json& it) {
            return it.at("address") == to_string(address) && it.at("draining") == draining;
        });
    }
};

} // namespace

TEST(fake_backend, returns_the_answer_of_the_request_and_counts_one_run)
{
    fake_backend backend(quick_options());
    ASSERT_TRUE(backend.start());
    auto client = client_of(backend.address());
    for (const std::string target : {"/a?size=70000", "/a?size=70000&chunked=1"}) {
        const auto answer =
            client.Post(target, headers_of(target), "upload", "multipart/form-data");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->get_header_value("X-Request-Id"), target);
        EXPECT_EQ(answer->get_header_value("X-Organisation"), "org1");
        EXPECT_EQ(answer->body.size(), 70000U);
        EXPECT_TRUE(answer_body(target, 70000, digest_of("upload")).matches(0, answer->body));
        EXPECT_FALSE(answer_body("other", 70000, digest_of("upload")).matches(0, answer->body));
        EXPECT_EQ(backend.account().runs_of(target), 1U);
    }
    EXPECT_EQ(backend.account().find_lines("org1").lines, 1U);
    EXPECT_EQ(backend.account().find_lines("a key").lines, 0U);
}

TEST(fake_backend, sheds_requests_when_slots_are_full_and_frees_the_slot_on_disconnect)
{
    fake_backend backend(quick_options());
    ASSERT_TRUE(backend.start());
    auto control = client_of(backend.address());
    EXPECT_EQ(control.Post("/control/mode", R"({"hang_share": 2})", "")->status, 400);
    EXPECT_EQ(control.Post("/control/mode", R"({"hang_share": 1})", "")->status, 200);
    auto first = client_of(backend.address());
    std::thread hanging([&] { EXPECT_FALSE(first.Get("/", headers_of("first"))); });
    EXPECT_TRUE(eventually([&] { return backend.account().runs_of("first") == 1; }));
    const auto shed = control.Get("/", headers_of("second"));
    EXPECT_TRUE(shed && shed->status == 503 && shed->has_header("X-Backend-Shed"));
    EXPECT_EQ(backend.account().runs_of("second"), 0U);
    first.stop();
    hanging.join();
    EXPECT_TRUE(eventually([&] { return backend.cancelled_requests() == 1; }));
    httplib::Headers late = headers_of("late");
    late.emplace("Jasmine-Deadline-Ms", "20");
    EXPECT_TRUE(eventually([&] { return control.Get("/", late)->status == 504; }));
    EXPECT_EQ(backend.expired_requests(), 1U);
}

TEST(fake_backend, sheds_connections_over_the_limit_and_keeps_serving_the_others)
{
    fake_backend_options options = quick_options();
    options.connections = 1;
    fake_backend backend(options);
    ASSERT_TRUE(backend.start());
    auto first = client_of(backend.address());
    ASSERT_TRUE(first.Get("/health"));
    const auto refused = client_of(backend.address()).Get("/health");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->get_header_value("X-Backend-Shed"), "1");
    EXPECT_EQ(first.Get("/health")->status, 200);
}

TEST(fake_backend, crash_text_in_a_request_cuts_all_connections_and_counts_as_a_run)
{
    fake_backend backend(quick_options());
    ASSERT_TRUE(backend.start());
    backend.set_mode({.crash_text = "bad lid"});
    auto other = client_of(backend.address());
    ASSERT_TRUE(other.Get("/health"));
    EXPECT_FALSE(
        client_of(backend.address()).Post("/", headers_of("p"), "a bad lid", "text/plain"));
    EXPECT_TRUE(backend.has_crashed());
    EXPECT_EQ(backend.account().runs_of("p"), 1U);
    EXPECT_FALSE(other.Get("/health"));
}

TEST(fake_backend, first_requests_are_slower_and_flapping_activates_faults_for_half_of_each_period)
{
    fake_backend_options options = quick_options();
    options.cold_requests = 1;
    options.cold_factor = 200;
    fake_backend backend(options);
    ASSERT_TRUE(backend.start());
    const time_point start = boot_now();
    ASSERT_TRUE(client_of(backend.address()).Get("/"));
    EXPECT_GE(boot_now() - start, 200ms);
    const backend_mode mode{.error_share = 1, .flap_period = 100ms, .honest_health = true};
    EXPECT_TRUE(has_active_faults(mode, time_point(40ms)));
    EXPECT_FALSE(has_active_faults(mode, time_point(60ms)));
    EXPECT_TRUE(has_active_faults(mode, time_point(140ms)));
    backend.set_mode({.error_share = 1, .honest_health = true, .fixed_load = 0.5});
    EXPECT_EQ(client_of(backend.address()).Get("/health")->status, 503);
    EXPECT_EQ(json::parse(client_of(backend.address()).Get("/load")->body).at("load"), 0.5);
}

TEST(fake_backend, reports_an_incomplete_account_when_a_table_is_full)
{
    run_account account({.max_entries = 1, .max_line_bytes = 8});
    account.count_run("r1", "k", "org1", "POST");
    account.count_run("r1", "k", "org2", "POST");
    EXPECT_TRUE(account.report().by_request.at(0).mixed);
    EXPECT_FALSE(account.report().complete);
    account.record_line("name", "a long value");
    EXPECT_FALSE(account.find_lines("secret").complete);
}

TEST(fake_backend, announces_to_the_first_reachable_node_and_fails_over_when_it_stops)
{
    fake_node first;
    fake_node second;
    ASSERT_TRUE(first.start());
    ASSERT_TRUE(second.start());
    fake_backend_options options = quick_options();
    options.nodes = {
        {.host = "127.0.0.1", .port = 1}, first.server.address(), second.server.address()};
    options.announce_interval = 10ms;
    fake_backend backend(options);
    ASSERT_TRUE(backend.start());
    EXPECT_TRUE(eventually([&] { return first.received(backend.address(), false); }));
    EXPECT_FALSE(second.received(backend.address(), false));
    first.server.stop_gracefully();
    EXPECT_TRUE(eventually([&] { return second.received(backend.address(), false); }));
    backend.shut_down(0ms, 10s);
    EXPECT_TRUE(second.received(backend.address(), true));
}

TEST(fake_backend, start_fails_when_the_port_is_in_use)
{
    fake_backend backend(quick_options());
    ASSERT_TRUE(backend.start());
    fake_backend_options options = quick_options();
    options.listen = backend.address();
    EXPECT_FALSE(fake_backend(options).start());
}
