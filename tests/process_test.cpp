// Guarantees of the fleet, tested with processes that are stopped, killed, paused and disconnected.

#include "process_fleet.h"
#include "raw_server.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <future>
#include <random>
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

// Number of answers that are neither complete nor a refusal with the outcome "not-run". Failures to
// connect do not count: the node had exited, and nothing was sent.
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

std::uint64_t count_received(const endpoint& backend, const std::string& text)
{
    httplib::Client client(backend.host, backend.port);
    const httplib::Result answer = client.Get("/control/seen?text=" + text);
    const auto it = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    EXPECT_TRUE(it.is_object() && it.at("complete") == true);
    return it.is_object() ? it.at("count").get<std::uint64_t>() : 1;
}

// Uploads for about two seconds; returns the status, or -1 if the answer is missing or incomplete.
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

TEST(process, planned_stops_of_all_nodes_interrupt_no_request)
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

TEST(process, revoked_key_is_refused_on_open_connections_even_if_the_store_is_unreachable)
{
    process_fleet fleet;
    EXPECT_EQ(fleet.stop_node(2), 0);
    fleet.use_unreachable_store(2);
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

TEST(process, api_keys_are_never_forwarded_to_backend_servers)
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
        EXPECT_EQ(count_received(it, secret), 0U);
        EXPECT_EQ(count_received(it, "PROCESS"), 0U);
        EXPECT_EQ(count_received(it, "2dhoney"), 0U);
    }
    EXPECT_GT(count_received(fleet.backend(0, 0), "honey"),
              0U); // the organisation's name, so the check does search
}

// Sends POST requests during several faults: one node is killed, one is paused beyond its lease and
// resumed, a backend server hangs on some requests, and the load exceeds the slots.
TEST(process, posts_run_at_most_once_and_refused_ones_never_run_under_faults)
{
    process_fleet fleet(
        {.services =
             {{.name = "orders", .method = "POST", .service_time = "30ms", .timeout = "2s"}},
         .extra_node_settings = "waiting_requests = 8\n"});
    load_options options = fleet.load({.name = "orders", .method = "POST"}, 8s);
    options.targets = {fleet.callers(0), fleet.callers(1)};
    options.closed_loop = 60;
    load_generator load(options);
    auto posts = std::async(std::launch::async, [&] { return load.run(); });
    std::this_thread::sleep_for(1s);
    fleet.node(1).signal(SIGSTOP);
    std::this_thread::sleep_for(3s);
    fleet.node(1).signal(SIGCONT);
    fleet.node(2).signal(SIGKILL);
    std::this_thread::sleep_for(1s);
    fleet.set_mode(fleet.backend(0, 0), {{"hang_share", 0.2}});
    const load_report report = posts.get();
    const run_violations broken = fleet.check(report);
    EXPECT_GT(report.total.count(answer_kind::ok), 200U) << reasons(report);
    EXPECT_GT(report.total.count(answer_kind::refused), 0U) << reasons(report);
    EXPECT_EQ(report.total.count(answer_kind::wrong), 0U) << reasons(report);
    EXPECT_EQ(broken.refused_but_run, 0U) << examples(broken);
    EXPECT_EQ(broken.run_twice, 0U) << examples(broken);
    EXPECT_TRUE(broken.complete);
}

// The request crashes the first backend server; its outcome must not be reported as "not-run".
TEST(process, post_that_crashes_its_backend_server_is_not_retried)
{
    process_fleet fleet;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        fleet.set_mode(fleet.backend(n, 1), {{"crash_text", "poisoned"}});
    httplib::Request req = request("POST", "/orders/1");
    req.set_header("X-Note", "poisoned");
    const httplib::Result answer = connect(fleet.callers(0))->send(req);
    EXPECT_TRUE(!answer || answer->get_header_value("Jasmine-Outcome").starts_with("unknown"));
    std::size_t dead = 0;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        dead += failed(fetch_account(fleet.backend(n, 1))) ? 1 : 0;
    EXPECT_EQ(dead, 1U);
}

// The caller repeats the request, each time to another node; it must crash only two backend
// servers.
TEST(process, request_is_refused_after_it_crashed_two_backend_servers)
{
    process_fleet fleet;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        fleet.set_mode(fleet.backend(n, 1), {{"crash_text", "poisoned"}});
    std::string last;
    for (std::size_t n = 0; n < 6; ++n) {
        httplib::Request req = request("POST", "/orders/1");
        req.set_header("X-Note", "poisoned");
        const httplib::Result answer = connect(fleet.callers(n % fleet_nodes))->send(req);
        last = answer ? answer->get_header_value("Jasmine-Outcome") : "none";
        std::this_thread::sleep_for(200ms);
    }
    EXPECT_EQ(last, "not-run; reason=poison");
    std::size_t dead = 0;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        dead += failed(fetch_account(fleet.backend(n, 1))) ? 1 : 0;
    EXPECT_EQ(dead, 2U);
}

// Guards against a restarted node that has forgotten which requests crash backend servers: each
// restart would cost one more of them.
TEST(process, restarted_nodes_refuse_a_request_that_crashed_two_backend_servers)
{
    process_fleet fleet;
    const auto send_poison = [&](std::size_t node) {
        httplib::Request req = request("POST", "/orders/1");
        req.set_header("X-Note", "poisoned");
        const httplib::Result answer = connect(fleet.callers(node))->send(req);
        return answer ? answer->get_header_value("Jasmine-Outcome") : "none";
    };
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        fleet.set_mode(fleet.backend(n, 1), {{"crash_text", "poisoned"}});
    ASSERT_TRUE(wait_until([&] { return send_poison(0) == "not-run; reason=poison"; }));
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        fleet.node(n).signal(n == 0 ? SIGKILL : SIGTERM);
        ASSERT_TRUE(fleet.node(n).wait_for_exit(20s).has_value());
        fleet.start_node(n);
        ASSERT_TRUE(wait_until([&] {
            const auto answer = connect(fleet.callers(n))->send(request("GET", "/lids/ready"));
            return answer && answer->status == 200;
        }));
        EXPECT_EQ(send_poison(n), "not-run; reason=poison") << "node " << n;
    }
    std::size_t dead = 0;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        dead += failed(fetch_account(fleet.backend(n, 1))) ? 1 : 0;
    EXPECT_EQ(dead, 2U);
}

TEST(process, draining_backend_server_gets_no_new_requests)
{
    process_fleet fleet;
    load_options options = fleet.load({.name = "lids"}, 8s);
    options.rate = 60;
    load_generator load(options);
    auto lookups = std::async(std::launch::async, [&] { return load.run(); });
    std::this_thread::sleep_for(1s);
    const endpoint leaving = fleet.backend(0, 0);
    EXPECT_EQ(status_of(connect(leaving)->Post("/control/drain")), 200);
    std::this_thread::sleep_for(3s);
    const auto before = fetch_account(leaving);
    const load_report report = lookups.get();
    const auto after = fetch_account(leaving);
    ASSERT_TRUE(!failed(before) && !failed(after));
    EXPECT_GT(value_of(before).runs, 0U);
    EXPECT_EQ(value_of(before).runs, value_of(after).runs);
    EXPECT_EQ(report.total.count(answer_kind::ok), report.total.sent) << reasons(report);
}

namespace {

std::string organisation_file(const process_fleet& fleet, const std::string& name, int rate)
{
    return fleet.write(name + ".ini", "[organisation " + name +
                                          "]\nrate = " + std::to_string(rate) + "\nburst = 100\n");
}

// Waits until all nodes have reached a generation, and expects that no node reverts meanwhile.
bool wait_for_generation(const process_fleet& fleet, std::uint64_t generation,
                         std::vector<std::uint64_t>& highest)
{
    return wait_until(
        [&] {
            bool all = true;
            for (std::size_t n = 0; n < fleet_nodes; ++n) {
                const std::uint64_t now = fleet.generation(n);
                EXPECT_GE(now, highest[n]);
                highest[n] = std::max(highest[n], now);
                all = all && now >= generation;
            }
            return all;
        },
        10s);
}

} // namespace

TEST(process, configuration_reaches_all_nodes_and_never_reverts_despite_store_faults)
{
    process_fleet fleet;
    std::vector<std::uint64_t> highest(fleet_nodes);
    fleet.set_fault({{"lose_answers", 1}});
    const command_result lost =
        fleet.run_command({"apply", organisation_file(fleet, "pepper", 10)});
    EXPECT_TRUE(lost.code == 0 || lost.code == 5) << lost.output;
    EXPECT_TRUE(wait_for_generation(fleet, 2, highest));
    fleet.set_fault({{"stale_revisions", 30}});
    fleet.run_command({"apply", organisation_file(fleet, "pepper", 20)});
    fleet.set_fault({{"down", "refuse"}});
    EXPECT_NE(fleet.run_command({"apply", organisation_file(fleet, "pepper", 30)}).code, 0);
    EXPECT_EQ(fleet.stop_node(1), 0);
    highest[1] = 0;
    fleet.start_node(1);
    EXPECT_TRUE(wait_for_generation(fleet, highest[0], highest));
    fleet.set_fault({{"down", "none"}, {"stale_revisions", 0}});
    command_result done;
    EXPECT_TRUE(wait_until(
        [&] {
            done = fleet.run_command({"apply", organisation_file(fleet, "pepper", 40)});
            return done.code == 0;
        },
        10s));
    EXPECT_TRUE(wait_for_generation(fleet, highest[0] + 1, highest)) << done.output;
    EXPECT_NE(fleet.run_command({"show"}).output.find("rate = 40"), std::string::npos);
    // Nodes that reconnect to the store read outdated revisions.
    for (const int stale : {10, 40, 160}) {
        fleet.set_fault({{"stale_revisions", stale}, {"down", "refuse"}});
        std::this_thread::sleep_for(300ms);
        fleet.set_fault({{"down", "none"}});
        const time_point end = boot_now() + 1500ms;
        while (boot_now() < end)
            EXPECT_TRUE(wait_for_generation(fleet, highest[0], highest));
    }
}

TEST(process, concurrent_applies_lose_no_accepted_change)
{
    process_fleet fleet;
    constexpr int racers = 6;
    std::vector<std::unique_ptr<child_process>> commands;
    for (int n = 0; n < racers; ++n) {
        const std::string name = "racer" + std::to_string(n);
        commands.push_back(
            fleet.start_command({"apply", organisation_file(fleet, name, 10)}, name + ".out"));
    }
    std::uint64_t accepted = 0;
    std::vector<bool> done(racers);
    for (int n = 0; n < racers; ++n) {
        const auto code = commands[n]->wait_for_exit(30s);
        EXPECT_TRUE(code == 0 || code == 3) << code.value_or(-1);
        done[n] = code == 0;
        accepted += done[n] ? 1 : 0;
    }
    EXPECT_GT(accepted, 0U);
    const std::string shown = fleet.run_command({"show"}).output;
    for (int n = 0; n < racers; ++n) {
        const std::string section = "[organisation racer" + std::to_string(n) + "]";
        EXPECT_EQ(shown.find(section) != std::string::npos, done[n]) << shown;
    }
    std::vector<std::uint64_t> highest(fleet_nodes);
    EXPECT_TRUE(wait_for_generation(fleet, 1 + accepted, highest));
    EXPECT_EQ(highest[0], 1 + accepted);
}

// Both files are edited copies of the same generation.
TEST(process, apply_of_a_file_from_an_older_generation_is_a_conflict)
{
    process_fleet fleet;
    const std::string shown = fleet.run_command({"show"}).output;
    const std::size_t rate = shown.find("rate = ");
    ASSERT_NE(rate, std::string::npos) << shown;
    const auto write_edited = [&](const std::string& name, const std::string& line) {
        std::string text = shown;
        text.replace(rate, text.find('\n', rate) - rate, line);
        return fleet.write(name, text);
    };
    const std::string first = write_edited("first.ini", "rate = 1111");
    const std::string second = write_edited("second.ini", "rate = 2222");
    EXPECT_EQ(fleet.run_command({"check", first}).code, 0);
    EXPECT_EQ(fleet.run_command({"apply", first}).code, 0);
    const command_result refused = fleet.run_command({"apply", second});
    EXPECT_EQ(refused.code, 3) << refused.output;
    EXPECT_NE(fleet.run_command({"show"}).output.find("rate = 1111"), std::string::npos);
    EXPECT_EQ(fleet.run_command({"--insist", "apply", second}).code, 0);
    EXPECT_NE(fleet.run_command({"show"}).output.find("rate = 2222"), std::string::npos);
}

TEST(process, truncated_answer_is_never_passed_on_as_complete)
{
    const fleet_service orders{.name = "orders", .method = "POST", .timeout = "2s"};
    process_fleet fleet({.services = {{.name = "lids"}, orders}});
    const std::vector<nlohmann::json> modes{
        {{"truncate_share", 0.5}},
        // A wrong length is only visible in answers without chunked encoding. If a server truncated
        // no answers in one of the runs, gates would prefer it for all requests; so each server
        // truncates some answers in both runs.
        {{"wrong_length_share", 0.4}, {"truncate_share", 0.3}},
        {{"hang_share", 0.3}, {"truncate_share", 0.4}}};
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        fleet.set_mode(fleet.backend(n, 1), modes[n]);
    for (const bool chunked : {false, true}) {
        load_options options = fleet.load(orders, 2s);
        options.answer_bytes = 100'000;
        options.chunked = chunked;
        options.rate = 20;
        const load_report report = load_generator(options).run();
        EXPECT_EQ(report.total.count(answer_kind::wrong), 0U) << reasons(report);
        EXPECT_GT(report.total.count(answer_kind::ok), 0U) << reasons(report);
        EXPECT_LT(report.total.count(answer_kind::ok), report.total.sent) << reasons(report);
        EXPECT_EQ(fleet.check(report).total(), 0U) << examples(fleet.check(report));
    }
}

namespace {

// Sends bytes and returns what the node sends until it closes the connection or `idle_timeout`
// passes without data.
std::string exchange_raw(const endpoint& to, const std::string& bytes,
                         std::chrono::seconds idle_timeout = 2s)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{.tv_sec = idle_timeout.count(), .tv_usec = 0};
    setsockopt(sock, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    std::string out;
    if (connect(sock, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        send(sock, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::array<char, 4096> buf{};
        for (ssize_t n = 0; (n = recv(sock, buf.data(), buf.size(), 0)) > 0;)
            out.append(buf.data(), static_cast<std::size_t>(n));
    }
    close(sock);
    return out;
}

void send_datagram(const endpoint& to, const std::string& bytes)
{
    const int sock = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    sendto(sock, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
           sizeof address);
    close(sock);
}

} // namespace

TEST(process, node_rejects_malformed_input_and_continues_to_serve)
{
    process_fleet fleet;
    std::mt19937_64 random(20261204);
    std::string garbage;
    for (int n = 0; n < 2000; ++n)
        garbage += static_cast<char>(random());
    const std::string oversized =
        "GET /lids/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(100'000, 'a') + "\r\n\r\n";
    const std::string two_lengths = "POST /orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
                                    honey_key +
                                    "\r\nContent-Length: 3\r\nContent-Length: 30\r\n"
                                    "Connection: close\r\n\r\nabcGET /lids/1 HTTP/1.1\r\n\r\n";
    for (const std::string& bytes : {oversized, two_lengths, garbage + "\r\n\r\n"}) {
        const std::string answer = exchange_raw(fleet.callers(0), bytes);
        EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 4")) << answer.substr(0, 100);
    }
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        const auto orders = fetch_account(fleet.backend(n, 1));
        EXPECT_TRUE(!failed(orders) && value_of(orders).runs == 0);
    }
    exchange_raw(fleet.links(0), garbage);
    exchange_raw(fleet.control(0), garbage + "\r\n\r\n");
    for (std::size_t n = 1; n < garbage.size(); n = n * 2)
        send_datagram(fleet.links(0), garbage.substr(0, n));
    httplib::Request spoofed = request("GET", "/lids/1");
    spoofed.set_header("Jasmine-Organisation", "pepper");
    const httplib::Result answer = connect(fleet.callers(0))->send(spoofed);
    ASSERT_EQ(status_of(answer), 200);
    EXPECT_EQ(answer->get_header_value("X-Organisation"), "honey");
    for (const endpoint& it : fleet.backends())
        EXPECT_EQ(count_received(it, "pepper"), 0U);
    EXPECT_TRUE(fleet.wait_until_joined({0, 1, 2}, fleet.backends().size()));
}

// Two of the three backend servers stay healthy throughout.
TEST(process, idempotent_requests_are_not_refused_while_a_node_is_paused)
{
    process_fleet fleet;
    load_options options = fleet.load({.name = "lids"}, 9s);
    options.targets = {fleet.callers(0), fleet.callers(1)};
    options.rate = 60;
    load_generator load(options);
    auto gets = std::async(std::launch::async, [&] { return load.run(); });
    std::this_thread::sleep_for(500ms);
    fleet.node(2).signal(SIGSTOP);
    std::this_thread::sleep_for(6s);
    fleet.node(2).signal(SIGCONT);
    const load_report report = gets.get();
    EXPECT_EQ(report.total.count(answer_kind::refused), 0U) << reasons(report);
    EXPECT_GT(report.total.count(answer_kind::ok), 450U) << reasons(report);
    EXPECT_EQ(fleet.check(report, true).total(), 0U);
}

// In each round, several backend servers announce themselves to one node concurrently.
TEST(process, concurrent_announcements_are_all_published)
{
    process_fleet fleet({.extra_node_settings = "announcement_ttl = 1min\n"});
    constexpr int rounds = 60;
    constexpr int together = 6;
    const auto known = [&] {
        std::size_t out = 0;
        const nlohmann::json status = fleet.status(0);
        for (const auto& it : status.at("members"))
            out += it.at("backend_servers").get<std::size_t>();
        return out;
    };
    std::size_t expected = fleet.backends().size();
    for (int round = 0; round < rounds && !testing::Test::HasFailure(); ++round) {
        std::vector<std::future<int>> answers;
        for (int n = 0; n < together; ++n) {
            const nlohmann::json body{
                {"service", "lids"},
                {"address", "127.0.0.1:" + std::to_string(1 + round * together + n)},
                {"slots", 1}};
            answers.push_back(std::async(std::launch::async, [&fleet, text = body.dump()] {
                return status_of(
                    connect(fleet.control(0))->Post("/announce", text, "application/json"));
            }));
        }
        for (auto& it : answers)
            EXPECT_EQ(it.get(), 200);
        expected += together;
        EXPECT_TRUE(wait_until([&] { return known() == expected; }, 2s))
            << "round " << round << ": " << known() << " of " << expected;
    }
}

TEST(process, metrics_include_limits_retries_and_backend_servers)
{
    process_fleet fleet;
    EXPECT_TRUE(wait_until([&] {
        return status_of(connect(fleet.callers(0))->send(request("GET", "/lids/1"))) == 200;
    }));
    httplib::Client client(fleet.control(0).host, fleet.control(0).port);
    const httplib::Result answer = client.Get("/metrics");
    ASSERT_EQ(status_of(answer), 200);
    for (const char* name :
         {"log_lines_dropped_total 0", "limit_admitted_total", "limit_without_holder_total",
          "backend_server_suspicion{server=", "backend_server_running{server=",
          "backend_server_waiting{server=", "# TYPE jasminebank_retries_total counter"})
        EXPECT_NE(answer->body.find(name), std::string::npos) << name << '\n' << answer->body;
}

// Status queries are repeated until one is answered: on a busy machine a query may time out.
TEST(process, a_node_with_another_fleet_key_does_not_join)
{
    process_fleet fleet;
    EXPECT_EQ(fleet.stop_node(2), 0);
    fleet.use_wrong_key(2);
    fleet.use_unreachable_store(2);
    fleet.start_node(2);
    const auto status = [&](std::size_t node) {
        nlohmann::json out;
        EXPECT_TRUE(wait_until([&] {
            out = fleet.status(node);
            return out.is_object();
        })) << fleet.log(node);
        return out;
    };
    EXPECT_FALSE(wait_until(
        [&] {
            const nlohmann::json it = status(2);
            return !it.is_object() || it.at("generation") > 0 || it.at("members").size() > 1;
        },
        4s))
        << fleet.log(2);
    const nlohmann::json seen = status(0);
    ASSERT_TRUE(seen.is_object());
    for (const auto& member : seen.at("members"))
        EXPECT_TRUE(member.at("vm") != "vm2" || member.at("leaving") == true) << seen.dump();
}

TEST(process, connection_above_the_limit_is_refused_immediately)
{
    process_fleet fleet({.extra_node_settings = "connections = 8\n"});
    std::vector<std::unique_ptr<httplib::Client>> open;
    for (int n = 0; n < 8; ++n) {
        open.push_back(connect(fleet.callers(0)));
        EXPECT_TRUE(wait_until(
            [&] { return status_of(open.back()->send(request("GET", "/lids/1"))) == 200; }));
    }
    const std::string refused = exchange_raw(fleet.callers(0), "", 10s);
    EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
    EXPECT_NE(refused.find("not-run"), std::string::npos);
    for (const auto& it : open)
        EXPECT_EQ(status_of(it->send(request("GET", "/lids/1"))), 200);
}

TEST(process, node_paused_beyond_all_leases_rejoins)
{
    process_fleet fleet;
    load_options options = fleet.load({.name = "orders", .method = "POST"}, 11s);
    options.targets = {fleet.callers(0), fleet.callers(1)};
    options.rate = 60;
    load_generator load(options);
    auto posts = std::async(std::launch::async, [&] { return load.run(); });
    std::this_thread::sleep_for(500ms);
    fleet.node(2).signal(SIGSTOP);
    std::this_thread::sleep_for(4s);
    EXPECT_EQ(fleet.run_command({"apply", organisation_file(fleet, "pepper", 10)}).code, 0);
    EXPECT_EQ(fleet.status(0).at("members").size(), 2U) << fleet.status(0).dump();
    std::this_thread::sleep_for(4s);
    fleet.node(2).signal(SIGCONT);
    EXPECT_TRUE(fleet.wait_until_joined({0, 1, 2}, fleet.backends().size()));
    EXPECT_TRUE(wait_until([&] { return fleet.generation(2) == 2; }, 10s));
    const load_report report = posts.get();
    const run_violations broken = fleet.check(report);
    EXPECT_GT(report.total.count(answer_kind::ok), 500U) << reasons(report);
    EXPECT_EQ(broken.total(), 0U) << examples(broken);
}

// A server at node 0 sends endless answers; its requests must be reported neither as complete nor
// as not run.
TEST(process, endless_backend_answers_neither_block_requests_nor_crash_the_node)
{
    constexpr std::size_t rounds = 4;
    std::atomic<std::size_t> next = 0;
    const raw_server bad("127.0.0.1", 30s, [&](raw_connection& to) {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        switch (next++ % rounds) {
        case 0:
            to.send("HTTP/1.1 200 " + std::string(20'000, 'x') + "\r\n\r\n");
            break;
        case 1:
            to.send(head);
            to.send_repeatedly("x-a: 1\r\n", std::size_t{64} << 20);
            break;
        case 2:
            to.send(head);
            to.send_repeatedly("x-a: 1\r\n", 0);
            break;
        default:
            to.send(head + "Content-Length: 100000\r\n\r\n");
            to.send_repeatedly("x", 0);
        }
    });
    process_fleet fleet({.services = {{.name = "orders", .method = "POST", .timeout = "2s"}}});
    const std::string announcement = nlohmann::json{
        {"service", "orders"},
        {"address", to_string(bad.address())},
        {"slots", 1}}.dump();
    std::size_t unknown = 0;
    const auto send_request = [&] {
        const auto announced =
            connect(fleet.control(0))->Post("/announce", announcement, "application/json");
        EXPECT_TRUE(announced && announced->status == 200);
        const time_point start = boot_now();
        const auto answer = connect(fleet.callers(0))->send(request("POST", "/orders/1"));
        EXPECT_LT(boot_now() - start, 10s);
        ASSERT_TRUE(answer);
        const std::string outcome = answer->get_header_value("Jasmine-Outcome");
        unknown += outcome.starts_with("unknown") ? 1 : 0;
        if (answer->status != 200) {
            EXPECT_TRUE(answer->status == 502 || answer->status == 504 ||
                        outcome.starts_with("not-run"))
                << answer->status << " " << outcome;
        }
        else {
            EXPECT_EQ(answer->body.find('x'), std::string::npos);
        }
    };
    for (const time_point end = boot_now() + 60s; boot_now() < end && next < rounds;) {
        send_request();
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_GE(next, rounds);
    EXPECT_GE(unknown, rounds);
    EXPECT_EQ(bad.timed_out_connections(), 0U);
    EXPECT_FALSE(fleet.node(0).wait_for_exit(0s).has_value()) << fleet.log(0);
    const std::string id =
        fmt::format("{:016x}", id_of<backend_server_id>(to_string(bad.address())).value);
    EXPECT_NE(fleet.log(0).find("name=health_changed detail=\"backend server " + id),
              std::string::npos); // its answers count as failures of the server
    EXPECT_TRUE(wait_until([&] {  // its only slot has been released
        const auto metrics = connect(fleet.control(0))->Get("/metrics");
        return metrics && metrics->body.find("backend_server_running{server=\"" + id + "\"} 0\n") !=
                              std::string::npos;
    }));
}
