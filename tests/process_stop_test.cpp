// Planned stops of node processes: every request that was sent completely is answered, or was never
// run.

#include "answer_body.h"
#include "digest.h"
#include "process_fleet.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <csignal>
#include <future>
#include <map>
#include <set>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// Settings of all nodes in these tests, and the same values for the checks.
const std::string stop_settings = "closing_grace = 500ms\nstop_grace = 3s\n";
constexpr duration closing_grace = 500ms;
constexpr duration stop_grace = 3s;
// The margin allows for scheduling delays on a busy machine.
constexpr duration kill_after = stop_grace + 500ms;
// A request sent while the node closes the connection fails within this time.
constexpr duration max_crossing_time = 1s;
constexpr std::chrono::seconds answer_timeout{20};
constexpr std::uint64_t answer_bytes = 256;
constexpr std::ptrdiff_t max_listed = 10;

// One request and its result as seen by the caller.
struct exchange {
    std::string id;
    answer_kind kind = answer_kind::broken;
    std::string seen{}; // status line and outcome of the answer
    duration waited{};  // from sending the head to the end of the answer
};

// A caller's HTTP connection on a plain socket, which allows partial requests.
class caller_connection {
public:
    explicit caller_connection(const endpoint& to) : sock_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{.tv_sec = answer_timeout.count(), .tv_usec = 0};
        setsockopt(sock_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
        is_open_ = connect(sock_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    }
    ~caller_connection() { close(sock_); }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    bool is_open() const { return is_open_; }

    bool send_bytes(std::string_view bytes)
    {
        const bool done =
            send(sock_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == std::ssize(bytes);
        is_open_ = is_open_ && done;
        return done;
    }

    /// Sends the head of a request, which is complete if `body_bytes` is 0. Returns its new unique
    /// id.
    std::string send_head(const std::string& method, const std::string& target,
                          std::size_t body_bytes = 0)
    {
        static std::atomic<std::uint64_t> next = 1;
        std::string id = fmt::format("stop-{}", next++);
        send_bytes(fmt::format("{} {} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n"
                               "X-Request-Id: {}\r\nContent-Length: {}\r\n\r\n",
                               method, target, honey_key, id, body_bytes));
        sent_ = boot_now();
        return id;
    }

    /// Closes the sending side of the connection only.
    void end_sending() const { shutdown(sock_, SHUT_WR); }

    /// Reads the complete answer to the last request.
    exchange read_answer(const std::string& id, std::string_view body = {})
    {
        exchange out{.id = id, .seen = {}};
        read_into(out, body);
        out.waited = boot_now() - sent_;
        is_open_ = is_open_ && out.kind != answer_kind::broken;
        return out;
    }

private:
    bool read_more()
    {
        std::array<char, 4096> buf{};
        const ssize_t n = recv(sock_, buf.data(), buf.size(), 0);
        if (n > 0)
            in_.append(buf.data(), static_cast<std::size_t>(n));
        return n > 0;
    }

    std::optional<std::string> read_head()
    {
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more())
                return std::nullopt;
        }
        std::string out = in_.substr(0, end + 2);
        in_.erase(0, end + 4);
        return out;
    }

    // Field names are matched in any case; `name` must be in lower case.
    static std::string field(const std::string& head, const std::string& name)
    {
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t at = lower.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return "";
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    void read_into(exchange& out, std::string_view body)
    {
        auto head = read_head();
        // Skips informational (1xx) answers.
        while (head && head->starts_with("HTTP/1.1 1"))
            head = read_head();
        if (!head)
            return;
        const std::string outcome = field(*head, "jasmine-outcome");
        out.seen = head->substr(0, head->find("\r\n")) + ", " + outcome;
        const std::size_t length =
            std::strtoull(field(*head, "content-length").c_str(), nullptr, 10);
        while (in_.size() < length) {
            if (!read_more())
                return;
        }
        const std::string content = in_.substr(0, length);
        in_.erase(0, length);
        if (outcome.starts_with("not-run"))
            out.kind = answer_kind::refused;
        else if (outcome.starts_with("unknown"))
            out.kind = answer_kind::unknown;
        else if (!head->starts_with("HTTP/1.1 200"))
            out.kind = answer_kind::failed;
        else
            out.kind =
                field(*head, "x-request-id") == out.id &&
                        content ==
                            answer_body(out.id, answer_bytes, digest_of(body)).part(0, answer_bytes)
                    ? answer_kind::ok
                    : answer_kind::wrong;
    }

    int sock_ = -1;
    bool is_open_ = false;
    std::string in_;
    time_point sent_;
};

// Sends concurrent requests, each on its own connection, and reads each answer in its own thread.
class open_requests {
public:
    explicit open_requests(const process_fleet& fleet) : fleet_(fleet) {}

    /// Opens connections without sending requests.
    void open(std::size_t count, std::size_t node)
    {
        for (std::size_t n = 0; n < count; ++n)
            callers_.push_back(std::make_unique<caller_connection>(fleet_.callers(node)));
    }

    /// Sends a request on each connection that has sent none yet.
    void send(const std::string& target, const std::string& method = "GET")
    {
        while (answers_.size() < callers_.size()) {
            caller_connection& it = *callers_[answers_.size()];
            answers_.push_back(
                std::async(std::launch::async, [&it, id = it.send_head(method, target)] {
                    return it.read_answer(id);
                }));
        }
    }

    void send(std::size_t count, std::size_t node, const std::string& target,
              const std::string& method = "GET")
    {
        open(count, node);
        send(target, method);
    }

    std::vector<exchange> read_answers()
    {
        std::vector<exchange> out;
        out.reserve(answers_.size());
        for (auto& it : answers_)
            out.push_back(it.get());
        return out;
    }

private:
    const process_fleet& fleet_;
    std::vector<std::unique_ptr<caller_connection>> callers_;
    std::vector<std::future<exchange>> answers_;
};

std::string describe(const exchange& it)
{
    return fmt::format("{}: {} after {:.3f} s, {}", it.id, name_of(it.kind),
                       std::chrono::duration<double>(it.waited).count(), it.seen);
}

// Number of requests that are running on all backend servers in total.
std::uint64_t running_in(const process_fleet& fleet)
{
    std::uint64_t out = 0;
    for (const endpoint& it : fleet.backends())
        out += fleet.running(it);
    return out;
}

load_report report_of(const std::vector<exchange>& all)
{
    load_report out;
    out.organisations.push_back({.name = "honey"});
    for (const exchange& it : all)
        out.requests.push_back({.id = it.id, .organisation = 0, .kind = it.kind});
    return out;
}

// The backend servers that ran each request, by request id.
using servers_by_request = std::map<std::string, std::set<endpoint>>;

servers_by_request find_servers_by_request(const process_fleet& fleet)
{
    servers_by_request out;
    for (const endpoint& server : fleet.backends()) {
        const auto account = fetch_account(server);
        EXPECT_FALSE(failed(account));
        if (failed(account))
            continue;
        for (const run_entry& it : value_of(account).by_request)
            out[it.id].insert(server);
    }
    return out;
}

// Expects that each request got its backend server's answer or was refused without having run.
// Exceptions are requests that ran on a server of `hanging`, whose answers may be unknown or
// failures, and requests that were sent while their connection was closed and never ran.
void expect_all_accounted_for(const process_fleet& fleet, const std::vector<exchange>& all,
                              bool idempotent = true, const std::set<endpoint>& hanging = {})
{
    const run_violations broken = fleet.check(report_of(all), idempotent);
    EXPECT_TRUE(broken.complete);
    for (const std::string& it : broken.examples)
        ADD_FAILURE() << it;
    const servers_by_request ran = find_servers_by_request(fleet);
    std::vector<std::string> unaccounted;
    for (const exchange& it : all) {
        if (it.kind == answer_kind::ok || it.kind == answer_kind::refused)
            continue;
        const auto found = ran.find(it.id);
        const bool has_run = found != ran.end();
        const bool hung =
            has_run && std::any_of(found->second.begin(), found->second.end(),
                                   [&](const endpoint& a) { return hanging.contains(a); });
        const bool is_answer = it.kind == answer_kind::unknown || it.kind == answer_kind::failed;
        const bool crossed =
            it.kind == answer_kind::broken && !has_run && it.waited < max_crossing_time;
        if (!(hung && is_answer) && !crossed)
            unaccounted.push_back(describe(it) + (has_run ? ", ran" : ", not run"));
    }
    EXPECT_EQ(unaccounted.size(), 0U) << fmt::format(
        "{}", fmt::join(unaccounted.begin(),
                        unaccounted.begin() +
                            std::min<std::ptrdiff_t>(std::ssize(unaccounted), max_listed),
                        "\n"));
}

std::size_t count(const std::vector<exchange>& all, answer_kind kind)
{
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const exchange& it) { return it.kind == kind; }));
}

std::string describe(const std::vector<exchange>& all)
{
    std::string out;
    for (const exchange& it : all)
        out += describe(it) + "\n";
    return out;
}

// Few slots, and long timeouts, so that servers with full slots are not suspected.
fleet_options options_with_full_servers()
{
    return {.services = {{.name = "lids", .timeout = "30s", .target = "20s"}},
            .extra_node_settings = stop_settings,
            .slots = 2};
}

// Stops a node and sends the requests of `late` once the node has logged the stop.
int stop_and_send(process_fleet& fleet, std::size_t node, open_requests& late)
{
    auto code =
        std::async(std::launch::async, [&] { return fleet.stop_or_kill(node, kill_after); });
    EXPECT_TRUE(
        wait_until([&] { return fleet.log(node).find("node_stopping") != std::string::npos; }));
    late.send("/lids/x");
    return code.get();
}

fleet_options options_with(const std::string& timeout, std::size_t slots = 8)
{
    return {.services = {{.name = "lids", .timeout = timeout},
                         {.name = "orders", .method = "POST", .timeout = timeout}},
            .extra_node_settings = stop_settings,
            .slots = slots};
}

} // namespace

TEST(process_stop, request_running_at_the_signal_gets_its_backend_servers_answer)
{
    process_fleet fleet(options_with("30s"));
    open_requests open(fleet);
    open.send(4, 0, "/lids/x?ms=1500");
    open.send(4, 0, "/orders/x?ms=1500", "POST");
    ASSERT_TRUE(wait_until([&] { return running_in(fleet) == 8; }));
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    const std::vector<exchange> all = open.read_answers();
    EXPECT_EQ(count(all, answer_kind::ok), all.size()) << describe(all);
}

// The node closes idle connections one after another while requests arrive on some of them.
TEST(process_stop, requests_sent_while_idle_connections_are_closed_are_answered_or_never_run)
{
    process_fleet fleet(options_with("8s", 150));
    constexpr std::size_t connections = 400;
    constexpr duration first_before_end = 5ms;
    constexpr duration between_two = 75us;
    std::vector<std::unique_ptr<caller_connection>> idle;
    for (std::size_t n = 0; n < connections; ++n) {
        idle.push_back(std::make_unique<caller_connection>(fleet.callers(0)));
        const std::string id = idle.back()->send_head("GET", "/lids/x");
        ASSERT_EQ(idle.back()->read_answer(id).kind, answer_kind::ok);
    }
    fleet.node(0).signal(SIGTERM);
    time_point next = boot_now() + closing_grace - first_before_end;
    std::vector<std::future<exchange>> answers;
    for (const auto& it : idle) {
        std::this_thread::sleep_for(next - boot_now());
        const std::string id = it->send_head("GET", "/lids/x?ms=400");
        answers.push_back(std::async(std::launch::async, [&, id] { return it->read_answer(id); }));
        next += between_two;
    }
    std::vector<exchange> all;
    all.reserve(connections);
    for (auto& it : answers)
        all.push_back(it.get());
    EXPECT_EQ(fleet.node(0).wait_for_exit(kill_after), 0);
    expect_all_accounted_for(fleet, all);
    EXPECT_GT(count(all, answer_kind::ok), 0U) << describe(all);
}

// Such a request could not be answered before the end of the grace period.
TEST(process_stop, requests_completed_after_the_closing_grace_are_refused_as_not_run)
{
    process_fleet fleet(options_with("30s"));
    constexpr duration late = 700ms;
    constexpr std::size_t callers = 4;
    const std::string body(100, 'a');
    std::vector<std::unique_ptr<caller_connection>> heads;
    std::vector<std::unique_ptr<caller_connection>> bodies;
    std::vector<std::string> ids;
    for (std::size_t n = 0; n < callers; ++n) {
        heads.push_back(std::make_unique<caller_connection>(fleet.callers(0)));
        heads.back()->send_bytes("GET /lids/x?ms=2000 HTTP/1.1\r\nHost: x\r\n");
        bodies.push_back(std::make_unique<caller_connection>(fleet.callers(0)));
        ids.push_back(bodies.back()->send_head("POST", "/orders/x?ms=2000", body.size()));
    }
    auto code = std::async(std::launch::async, [&] { return fleet.stop_or_kill(0, kill_after); });
    std::this_thread::sleep_for(closing_grace + late);
    std::vector<exchange> all;
    for (std::size_t n = 0; n < callers; ++n) {
        const std::string id = fmt::format("late-{}", n);
        heads[n]->send_bytes(
            fmt::format("Authorization: Bearer {}\r\nX-Request-Id: {}\r\n\r\n", honey_key, id));
        bodies[n]->send_bytes(body);
        all.push_back(heads[n]->read_answer(id));
        all.push_back(bodies[n]->read_answer(ids[n], body));
    }
    EXPECT_EQ(code.get(), 0);
    EXPECT_EQ(count(all, answer_kind::refused), all.size()) << describe(all);
    const servers_by_request ran = find_servers_by_request(fleet);
    for (const exchange& it : all)
        EXPECT_FALSE(ran.contains(it.id)) << it.id;
}

TEST(process_stop, requests_waiting_at_the_stopping_nodes_gate_are_refused_before_the_kill)
{
    process_fleet fleet(options_with_full_servers());
    fleet.drain_all_except(0, 0);
    open_requests running(fleet);
    running.send(2, 1, "/lids/x?ms=20000");
    ASSERT_TRUE(wait_until([&] { return fleet.running(fleet.backend(0, 0)) == 2; }));
    open_requests late(fleet);
    late.open(4, 0);
    open_requests waiting(fleet);
    waiting.send(4, 0, "/lids/x");
    waiting.send(4, 1, "/lids/x");
    ASSERT_TRUE(wait_until([&] { return fleet.waiting(0) == 8; }));
    EXPECT_EQ(stop_and_send(fleet, 0, late), 0);
    const std::vector<exchange> refused = waiting.read_answers();
    EXPECT_EQ(count(refused, answer_kind::refused), refused.size()) << describe(refused);
    expect_all_accounted_for(fleet, late.read_answers());
    const std::vector<exchange> cut = running.read_answers();
    EXPECT_EQ(count(cut, answer_kind::unknown), cut.size()) << describe(cut);
    EXPECT_EQ(fleet.check(report_of(refused), true).total(), 0U);
}

// A request that waited before the stop may get its slot while its entry node abandons it; its
// outcome is then unknown.
TEST(process_stop, requests_waiting_at_another_nodes_gate_are_answered_before_the_kill)
{
    process_fleet fleet(options_with_full_servers());
    fleet.drain_all_except(1, 0);
    open_requests running(fleet);
    running.send(2, 1, "/lids/x?ms=6000");
    ASSERT_TRUE(wait_until([&] { return fleet.running(fleet.backend(1, 0)) == 2; }));
    open_requests late(fleet);
    late.open(4, 0);
    open_requests waiting(fleet);
    waiting.send(4, 0, "/lids/x");
    ASSERT_TRUE(wait_until([&] { return fleet.waiting(1) == 4; }));
    EXPECT_EQ(stop_and_send(fleet, 0, late), 0);
    const std::vector<exchange> outcomes = waiting.read_answers();
    EXPECT_EQ(count(outcomes, answer_kind::refused) + count(outcomes, answer_kind::unknown),
              outcomes.size())
        << describe(outcomes);
    EXPECT_EQ(fleet.check(report_of(outcomes), true).total(), 0U);
    expect_all_accounted_for(fleet, late.read_answers());
    const std::vector<exchange> answered = running.read_answers();
    EXPECT_EQ(count(answered, answer_kind::ok), answered.size()) << describe(answered);
}

TEST(process_stop, request_on_a_hung_backend_server_gets_an_unknown_outcome_before_the_kill)
{
    process_fleet fleet(options_with("30s"));
    for (const endpoint& it : fleet.backends())
        fleet.set_mode(it, {{"hang_share", 1}});
    open_requests open(fleet);
    open.send(2, 0, "/lids/x");
    open.send(2, 0, "/orders/x", "POST");
    ASSERT_TRUE(wait_until([&] { return running_in(fleet) == 4; }));
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    const std::vector<exchange> all = open.read_answers();
    EXPECT_EQ(count(all, answer_kind::unknown), all.size()) << describe(all);
    // Running requests may use most of the grace period to complete.
    for (const exchange& it : all)
        EXPECT_GE(it.waited, stop_grace * 5 / 6) << describe(all);
}

TEST(process_stop, request_completing_late_in_the_stop_grace_gets_its_backend_servers_answer)
{
    process_fleet fleet(options_with("30s"));
    open_requests open(fleet);
    open.send(2, 0, "/lids/x?ms=2200");
    open.send(2, 0, "/orders/x?ms=2200", "POST");
    ASSERT_TRUE(wait_until([&] { return running_in(fleet) == 4; }));
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    const std::vector<exchange> all = open.read_answers();
    EXPECT_EQ(count(all, answer_kind::ok), all.size()) << describe(all);
}

TEST(process_stop, slowly_sending_callers_do_not_delay_a_stop)
{
    process_fleet fleet(options_with("30s"));
    const endpoint to = fleet.callers(0);
    caller_connection half_head(to);
    half_head.send_bytes("GET /lids/x HTTP/1.1\r\nHost: x\r\n");
    caller_connection small_body(to);
    small_body.send_head("POST", "/orders/x", 1000);
    caller_connection streamed_body(to);
    streamed_body.send_head("POST", "/orders/x", 1'000'000);
    caller_connection whole_later(to);
    const std::string id = whole_later.send_head("POST", "/orders/x", 20);
    std::atomic<bool> over = false;
    const auto trickle = std::async(std::launch::async, [&] {
        for (std::size_t sent = 0; !over; ++sent) {
            half_head.send_bytes("X-A: b\r\n");
            small_body.send_bytes("a");
            streamed_body.send_bytes("a");
            if (sent < 20)
                whole_later.send_bytes("a");
            std::this_thread::sleep_for(50ms);
        }
    });
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    over = true;
    const exchange whole = whole_later.read_answer(id, std::string(20, 'a'));
    EXPECT_TRUE(whole.kind == answer_kind::ok || whole.kind == answer_kind::refused)
        << describe(whole);
}

TEST(process_stop, stopping_gate_answers_running_requests_of_other_nodes)
{
    process_fleet fleet(options_with("30s"));
    fleet.drain_all_except(0, 0);
    open_requests in_time(fleet);
    in_time.send(2, 1, "/lids/x?ms=1500");
    open_requests too_long(fleet);
    too_long.send(2, 1, "/lids/x?ms=20000");
    ASSERT_TRUE(wait_until([&] { return fleet.running(fleet.backend(0, 0)) == 4; }));
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    const std::vector<exchange> answered = in_time.read_answers();
    EXPECT_EQ(count(answered, answer_kind::ok), answered.size()) << describe(answered);
    const std::vector<exchange> cut = too_long.read_answers();
    EXPECT_EQ(count(cut, answer_kind::unknown), cut.size()) << describe(cut);
}

TEST(process_stop, caller_that_half_closes_its_connection_gets_its_backend_servers_answer)
{
    process_fleet fleet(options_with("8s"));
    caller_connection caller(fleet.callers(0));
    const std::string id = caller.send_head("GET", "/lids/x?ms=600");
    caller.end_sending();
    const exchange it = caller.read_answer(id);
    EXPECT_EQ(it.kind, answer_kind::ok) << describe(it);
}

namespace {

// Sends requests that run longer than any test, unless their connections are closed.
std::vector<std::unique_ptr<caller_connection>> send_endless(const process_fleet& fleet)
{
    constexpr std::size_t callers = 8;
    std::vector<std::unique_ptr<caller_connection>> out;
    out.reserve(callers);
    for (std::size_t n = 0; n < callers; ++n) {
        out.push_back(std::make_unique<caller_connection>(fleet.callers(0)));
        out.back()->send_head(n % 2 == 0 ? "GET" : "POST",
                              n % 2 == 0 ? "/lids/x?ms=30000" : "/orders/x?ms=30000");
    }
    EXPECT_TRUE(wait_until([&] { return running_in(fleet) == callers; }));
    return out;
}

} // namespace

TEST(process_stop, requests_are_cancelled_when_their_callers_disconnect)
{
    process_fleet fleet(options_with("30s"));
    auto callers = send_endless(fleet);
    callers.clear();
    EXPECT_TRUE(wait_until([&] { return running_in(fleet) == 0; }, 5s));
}

TEST(process_stop, requests_are_cancelled_when_their_callers_disconnect_during_a_stop)
{
    fleet_options options = options_with("30s");
    options.extra_node_settings = "closing_grace = 500ms\nstop_grace = 20s\n";
    process_fleet fleet(options);
    auto callers = send_endless(fleet);
    fleet.node(0).signal(SIGTERM);
    EXPECT_FALSE(fleet.node(0).wait_for_exit(1s));
    EXPECT_EQ(running_in(fleet), callers.size());
    callers.clear();
    EXPECT_TRUE(wait_until([&] { return running_in(fleet) == 0; }, 5s));
    EXPECT_EQ(fleet.node(0).wait_for_exit(20s), 0);
}

namespace {

// Concurrent callers of all nodes. Each one reuses its connection until the node closes it, even if
// an answer announces the close, and then connects to the next node.
class persistent_callers {
public:
    persistent_callers(const process_fleet& fleet, std::size_t callers_of_each)
    {
        std::vector<endpoint> nodes;
        for (std::size_t n = 0; n < fleet_nodes; ++n)
            nodes.push_back(fleet.callers(n));
        for (std::size_t n = 0; n < fleet_nodes * callers_of_each; ++n) {
            const bool posts = n / fleet_nodes % 2 == 1;
            callers_.push_back(std::async(std::launch::async, [this, nodes, n, posts] {
                return posts ? call(nodes, n, "POST", "/orders/x")
                             : call(nodes, n, "GET", "/lids/x");
            }));
            are_posts_.push_back(posts);
        }
    }

    /// Stops all callers; returns the exchanges of those that send POST (`posts`) or GET requests.
    std::vector<exchange> finish(bool posts)
    {
        is_over_ = true;
        std::vector<exchange> out;
        for (std::size_t n = 0; n < callers_.size(); ++n) {
            if (are_posts_[n] != posts)
                continue;
            const std::vector<exchange> seen = callers_[n].get();
            out.insert(out.end(), seen.begin(), seen.end());
        }
        return out;
    }

private:
    std::vector<exchange> call(const std::vector<endpoint>& nodes, std::size_t first,
                               const std::string& method, const std::string& target) const
    {
        std::vector<exchange> out;
        for (std::size_t n = first; !is_over_; ++n) {
            caller_connection it(nodes[n % nodes.size()]);
            if (!it.is_open())
                std::this_thread::sleep_for(10ms);
            while (it.is_open() && !is_over_)
                out.push_back(it.read_answer(it.send_head(method, target)));
        }
        return out;
    }

    std::atomic<bool> is_over_ = false;
    std::vector<std::future<std::vector<exchange>>> callers_;
    std::vector<bool> are_posts_;
};

} // namespace

TEST(process_stop, successive_and_simultaneous_stops_leave_no_request_unanswered)
{
    process_fleet fleet({.services = {{.name = "lids", .service_time = "30ms"},
                                      {.name = "orders", .method = "POST", .service_time = "30ms"}},
                         .extra_node_settings = stop_settings});
    std::set<endpoint> hanging;
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        for (std::size_t service = 0; service < 2; ++service)
            fleet.set_mode(fleet.backend(n, service), {{"slow_share", 0.1}, {"slow_factor", 15}});
    }
    for (std::size_t service = 0; service < 2; ++service) {
        fleet.set_mode(fleet.backend(2, service), {{"hang_share", 0.03}});
        hanging.insert(fleet.backend(2, service));
    }
    persistent_callers callers(fleet, 6);
    std::this_thread::sleep_for(500ms);
    for (std::size_t n = 0; n + 1 < fleet_nodes; ++n) {
        EXPECT_EQ(fleet.stop_or_kill(n, kill_after), 0);
        fleet.start_node(n);
        EXPECT_TRUE(fleet.wait_until_joined({0, 1, 2}, fleet.backends().size()));
    }
    std::vector<std::future<int>> stops;
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        stops.push_back(
            std::async(std::launch::async, [&, n] { return fleet.stop_or_kill(n, kill_after); }));
    for (auto& it : stops)
        EXPECT_EQ(it.get(), 0);
    const std::vector<exchange> gets = callers.finish(false);
    const std::vector<exchange> posts = callers.finish(true);
    EXPECT_GT(count(gets, answer_kind::ok), 100U);
    EXPECT_GT(count(posts, answer_kind::ok), 100U);
    expect_all_accounted_for(fleet, gets, true, hanging);
    expect_all_accounted_for(fleet, posts, false, hanging);
}

TEST(process_stop, large_request_waiting_at_another_nodes_gate_is_answered_before_the_kill)
{
    process_fleet fleet(
        {.services = {{.name = "lids", .timeout = "30s", .target = "20s"},
                      {.name = "orders", .method = "POST", .timeout = "30s", .target = "20s"}},
         .extra_node_settings = stop_settings,
         .slots = 2});
    fleet.drain_all_except(1, 1);
    open_requests running(fleet);
    running.send(2, 1, "/orders/x?ms=6000", "POST");
    ASSERT_TRUE(wait_until([&] { return fleet.running(fleet.backend(1, 1)) == 2; }));
    caller_connection small(fleet.callers(0));
    caller_connection large(fleet.callers(0));
    const std::string small_body(1000, 'a');
    const std::string large_body(400'000, 'a'); // exceeds a link's buffer and window
    const std::string small_id = small.send_head("POST", "/orders/x", small_body.size());
    small.send_bytes(small_body);
    const std::string large_id = large.send_head("POST", "/orders/x", large_body.size());
    large.send_bytes(large_body);
    auto small_answer =
        std::async(std::launch::async, [&] { return small.read_answer(small_id, small_body); });
    auto large_answer =
        std::async(std::launch::async, [&] { return large.read_answer(large_id, large_body); });
    ASSERT_TRUE(wait_until([&] { return fleet.waiting(1) == 2; }));
    EXPECT_EQ(fleet.stop_or_kill(0, kill_after), 0);
    for (const exchange& it : {small_answer.get(), large_answer.get()})
        EXPECT_TRUE(it.kind == answer_kind::unknown || it.kind == answer_kind::refused)
            << describe(it);
    running.read_answers();
}
