// The fleet's promises, with real processes that are stopped, killed, paused and cut off.

#include "process_fleet.h"
#include "system_clock.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <csignal>
#include <future>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

httplib::Request request(const std::string& method, const std::string& target,
                         const std::string& key = honey_key)
{
    httplib::Request out;
    out.method = method;
    out.path = target;
    out.set_header("Authorization", "Bearer " + key);
    return out;
}

std::unique_ptr<httplib::Client> connect(const endpoint& to)
{
    auto out = std::make_unique<httplib::Client>(to.host, to.port);
    out->set_keep_alive(true);
    out->set_read_timeout(15s);
    return out;
}

// Answers that are neither whole nor a refusal that says "not run"; a node that is gone takes no
// connection, and then nothing was sent.
std::uint64_t cut_answers(const load_report& report)
{
    std::uint64_t out = report.total.sent - report.total.count(answer_kind::ok) -
                        report.total.count(answer_kind::refused);
    for (const reason_count& it : report.total.reasons)
        out -= it.reason == "no connection" ? it.count : 0;
    return out;
}

std::string reasons(const load_report& report)
{
    std::string out = "sent " + std::to_string(report.total.sent);
    for (const reason_count& it : report.total.reasons)
        out +=
            ", " + std::string(name_of(it.kind)) + " " + it.reason + " " + std::to_string(it.count);
    return out;
}

std::string examples(const run_violations& it)
{
    std::string out;
    for (const std::string& line : it.examples)
        out += line + "\n";
    return out;
}

std::uint64_t seen(const endpoint& backend, const std::string& text)
{
    httplib::Client client(backend.host, backend.port);
    const httplib::Result answer = client.Get("/control/seen?text=" + text);
    const auto it = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    EXPECT_TRUE(it.is_object() && it.at("complete") == true);
    return it.is_object() ? it.at("count").get<std::uint64_t>() : 1;
}

// An upload that takes about two seconds, and what its caller got.
int upload_slowly(const endpoint& to)
{
    constexpr std::size_t total = 2'000'000;
    constexpr std::size_t part = 50'000;
    const auto client = connect(to);
    const httplib::Headers headers{{"Authorization", "Bearer " + honey_key}};
    const std::string text(part, 'x');
    const httplib::Result answer = client->Post(
        "/orders/photos?size=70000", headers, total,
        [&](std::size_t, std::size_t, httplib::DataSink& sink) {
            std::this_thread::sleep_for(50ms);
            return sink.write(text.data(), text.size());
        },
        "image/jpeg");
    return answer && answer->body.size() == 70'000 ? answer->status : -1;
}

int status_of(const httplib::Result& answer)
{
    return answer ? answer->status : -1;
}

} // namespace

TEST(process, planned_stops_of_all_nodes_cut_no_request)
{
    process_fleet fleet({.services = {{.name = "lids"},
                                      {.name = "orders", .method = "POST"},
                                      {.name = "proofs", .method = "GET", .service_time = "2s"}}});
    load_options options = fleet.load({.name = "lids"}, 1min);
    options.closed_loop = 6;
    load_generator load(options);
    auto lookups = std::async(std::launch::async, [&] { return load.run(); });
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        auto upload =
            std::async(std::launch::async, [&] { return upload_slowly(fleet.callers(n)); });
        auto proof = std::async(std::launch::async, [&] {
            return status_of(connect(fleet.callers(n))->send(request("GET", "/proofs/1")));
        });
        std::this_thread::sleep_for(500ms);
        EXPECT_EQ(fleet.stop_node(n), 0);
        EXPECT_EQ(upload.get(), 200);
        EXPECT_EQ(proof.get(), 200);
        fleet.start_node(n);
        EXPECT_TRUE(fleet.wait_until_joined({0, 1, 2}, fleet.backends().size()));
    }
    load.stop();
    const load_report report = lookups.get();
    EXPECT_GT(report.total.count(answer_kind::ok), 100U);
    EXPECT_EQ(cut_answers(report), 0U) << reasons(report);
    const run_violations broken = fleet.check(report, true);
    EXPECT_EQ(broken.total(), 0U) << examples(broken);
}

TEST(process, a_withdrawn_key_stops_on_open_connections_also_without_the_store)
{
    process_fleet fleet;
    EXPECT_EQ(fleet.stop_node(2), 0);
    fleet.cut_from_store(2);
    fleet.start_node(2);
    ASSERT_TRUE(fleet.wait_until_joined({0, 1, 2}, fleet.backends().size()));
    const command_result given = fleet.run_command({"key", "give", "honey", "second"});
    ASSERT_EQ(given.code, 0) << given.output;
    const std::size_t at = given.output.find("key ") + 4;
    const std::string key = given.output.substr(at, given.output.find('\n', at) - at);
    std::vector<std::unique_ptr<httplib::Client>> open;
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        open.push_back(connect(fleet.callers(n)));
        EXPECT_TRUE(wait_until(
            [&] { return status_of(open[n]->send(request("GET", "/lids/1", key))) == 200; }, 5s));
    }
    EXPECT_EQ(fleet.run_command({"key", "withdraw", "honey", "second"}).code, 0);
    const time_point withdrawn = boot_now();
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        EXPECT_TRUE(wait_until(
            [&] { return status_of(open[n]->send(request("GET", "/lids/1", key))) == 401; },
            withdrawn + 5s - boot_now()));
        EXPECT_EQ(status_of(open[n]->send(request("GET", "/lids/1"))), 200);
    }
}

TEST(process, no_backend_server_sees_a_key)
{
    process_fleet fleet;
    const std::string secret = "process-test";
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        const auto client = connect(fleet.callers(n));
        EXPECT_EQ(status_of(client->send(request("GET", "/lids/1"))), 200);
        EXPECT_EQ(status_of(client->send(request("POST", "/orders/1"))), 200);
        httplib::Request api_key = request("GET", "/lids/2");
        api_key.headers.clear();
        api_key.set_header("x-Api-KEY", honey_key);
        EXPECT_EQ(status_of(client->send(api_key)), 200);
        httplib::Request proxy = request("GET", "/lids/3");
        proxy.set_header("Proxy-Authorization", "Bearer " + honey_key);
        EXPECT_EQ(status_of(client->send(proxy)), 200);
        EXPECT_EQ(status_of(client->send(request("GET", "/lids/4?key=" + honey_key))), 400);
        EXPECT_EQ(status_of(client->send(request("GET", "/lids/PROCESS-TEST-%6Bey-%2568oney"))),
                  400);
        httplib::Request other = request("GET", "/lids/5");
        other.set_header("X-Note", "my PROCESS-test-key-HONEY");
        EXPECT_EQ(status_of(client->send(other)), 400);
        httplib::Request cookie = request("GET", "/lids/6");
        cookie.set_header("Cookie", "k=process%2dtest%2dkey%2dhoney");
        EXPECT_EQ(status_of(client->send(cookie)), 400);
    }
    for (const endpoint& it : fleet.backends()) {
        EXPECT_EQ(seen(it, secret), 0U);
        EXPECT_EQ(seen(it, "PROCESS"), 0U);
        EXPECT_EQ(seen(it, "2dhoney"), 0U);
    }
    EXPECT_GT(seen(fleet.backend(0, 0), "honey"),
              0U); // the organisation's name, so it is looked at
}
