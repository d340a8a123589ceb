#include "entry.h"

#include "dispatch_attempt.h"
#include "link_hub.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* fleet_key = "fleet key of the tests";
constexpr const char* key = "key-of-honey-makers";

std::shared_ptr<const fleet_config> configuration(bool has_service_timeout)
{
    const std::string text =
        "[service web]\n[route all]\npath = /\nservice = web\ntarget_latency = 1s\n"
        "timeout = 2s\nattempts = 3\n"
        "[route open]\npath = /open\nservice = web\npublic = yes\n"
        "[organisation honey]\nrate = 9\nburst = 9\nkey = " +
        to_hex(digest_of(key)) + "\n";
    auto config = build_fleet_config({value_of(parse_ini("fleet.ini", text))});
    value_of(config).generation = 1;
    if (!has_service_timeout)
        value_of(config).services.front().timeout = {};
    return std::make_shared<const fleet_config>(std::move(value_of(config)));
}

// Numbers of gates and backend servers; the servers are assigned to the gates round-robin.
struct fixture_layout {
    std::size_t gates = 1;
    std::size_t servers = 2;
    /// Gates of leaving nodes that no longer answer; each has one more server.
    std::size_t unresponsive_leaving_gates = 0;
    /// As on a platform, only routes have timeouts.
    bool has_service_timeout = true;
};

constexpr std::uint64_t first_server = 5;

// Records of the gates with their backend servers, whose part the gates play themselves.
member_directory directory_of(const std::vector<std::unique_ptr<link_hub>>& gates,
                              std::size_t servers)
{
    member_directory out;
    for (std::size_t n = 0; n < gates.size(); ++n) {
        std::vector<server_record> own;
        for (std::size_t it = n; it < servers; it += gates.size())
            own.push_back({.id = {first_server + it},
                           .service = id_of<service_id>("web"),
                           .address = {"127.0.0.1", 1},
                           .slots = 4});
        out.merge({.vm = {10 + n},
                   .name = "gate",
                   .run = {1},
                   .version = 1,
                   .link = gates.at(n)->local(),
                   .domain = {1},
                   .servers = std::move(own)});
    }
    return out;
}

// Gates that handle dispatches with a function of the test, and an entry with links to them.
class entry_fixture {
public:
    using gate_handler = std::function<void(const dispatch&, const std::shared_ptr<link_stream>&)>;

    explicit entry_fixture(const gate_handler& gate, entry_options options = {},
                           const fixture_layout& layout = {})
        : links_(
              link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key}))
    {
        for (std::size_t n = 0; n < layout.gates; ++n)
            gates_.push_back(start_gate(gate));
        // Opens the links before the test, so that no test depends on the time of a connection
        // setup.
        for (const auto& it : gates_)
            EXPECT_TRUE(probe_gate(*links_, it->local(), 10s));
        options.may_serve = [] { return true; };
        options.take_token = [](auto, auto) { return limit_admitted{}; };
        options.poison_time_left = [](auto) { return duration::zero(); };
        options.take_shared_retry = [this](auto, auto) { return ++retries > 0; };
        entry_ = std::make_unique<entry>(std::move(options), *links_,
                                         router_options{.self = {2}, .domain = {1}});
        entry_->set_config(configuration(layout.has_service_timeout));
        member_directory directory = directory_of(gates_, layout.servers);
        for (std::size_t n = 0; n < layout.unresponsive_leaving_gates; ++n) {
            directory.merge({.vm = {100 + n},
                             .name = "gone",
                             .run = {1},
                             .version = 1,
                             .link = {.host = "127.0.0.1", .port = 1},
                             .domain = {1},
                             .leaving = true,
                             .servers = {{.id = {100 + n},
                                          .service = id_of<service_id>("web"),
                                          .address = {"127.0.0.1", 1},
                                          .slots = 4}}});
        }
        entry_->set_directory(directory);
    }
    ~entry_fixture()
    {
        links_->stop();
        for (const auto& gate : gates_)
            gate->stop();
    }

    httplib::Response send(const std::string& method, const std::string& caller_key = key)
    {
        httplib::Request req;
        req.method = method;
        req.target = caller_key.empty() ? "/open" : "/proofs";
        if (!caller_key.empty())
            req.set_header("Authorization", "Bearer " + caller_key);
        req.set_header("Content-Length", "0");
        httplib::Response res;
        entry_->handle(req, res, nullptr);
        return res;
    }

    /// Uploads a body in chunks.
    httplib::Response upload(const std::vector<std::string>& chunks)
    {
        httplib::Request req;
        req.method = "POST";
        req.target = "/proofs";
        req.set_header("Authorization", std::string("Bearer ") + key);
        req.set_header("Transfer-Encoding", "chunked");
        const httplib::ContentReader reader(
            [&](const httplib::ContentReceiver& receiver) {
                return std::all_of(chunks.begin(), chunks.end(), [&](const std::string& it) {
                    std::this_thread::sleep_for(20ms);
                    return receiver(it.data(), it.size());
                });
            },
            [](const auto&, const auto&) { return false; });
        httplib::Response res;
        entry_->handle(req, res, &reader);
        return res;
    }

    /// Breaks the links to the gate of a backend server.
    void stop_gate_of(backend_server_id it)
    {
        gates_.at((it.value - first_server) % gates_.size())->stop();
    }

    std::atomic<int> retries = 0;                    ///< requests for a shared retry
    std::atomic<bool> are_probes_unanswered = false; ///< the gates' nodes do not answer probes

private:
    std::unique_ptr<link_hub> start_gate(const gate_handler& gate)
    {
        return link_hub::start(
            {.self = {.vm_name = "gate", .run = {1}},
             .fleet_key = fleet_key,
             .on_stream =
                 [gate](const std::shared_ptr<link_stream>& stream) {
                     const auto it = read_dispatch(stream->head());
                     ASSERT_TRUE(it.has_value());
                     gate(*it, stream);
                 },
             .on_control = [this](const control_request&) -> std::optional<std::string> {
                 return are_probes_unanswered ? std::nullopt : std::optional<std::string>("-");
             }});
    }

    std::vector<std::unique_ptr<link_hub>> gates_;
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<entry> entry_;
};

void refuse(link_stream& stream, const refusal_answer& it, bool trial_requested = false)
{
    message_head head;
    head.status = 503;
    head.fields.push_back({.name = std::string(outcome_field), .value = outcome_text(it)});
    if (trial_requested)
        head.fields.push_back({.name = std::string(trial_field), .value = "due"});
    stream.respond(std::move(head), true);
}

void refuse(link_stream& stream, refusal reason, bool trial_requested = false)
{
    refuse(stream, refusal_answer{.reason = reason}, trial_requested);
}

void answer(link_stream& stream, int status, const std::string& mark)
{
    message_head head;
    head.status = status;
    head.fields.push_back(
        {.name = std::string(outcome_field), .value = std::string(name_of(run_state::ran))});
    head.fields.push_back({.name = "x-mark", .value = mark});
    stream.respond(std::move(head), true);
}

// A request that is late at the first server it is sent to. That server answers when the test
// allows it; dispatches to other servers are handled by `on_other_dispatch`.
class late_request {
public:
    explicit late_request(const fixture_layout& layout,
                          entry_fixture::gate_handler on_other_dispatch = {})
        : on_other_dispatch_(std::move(on_other_dispatch)),
          fixture([this](const dispatch& it,
                         const std::shared_ptr<link_stream>& stream) { on_dispatch(it, stream); },
                  {.on_gate_failed = [this](vm_id) { ++failed_gates; }, .hedge_after = 0.1}, layout)
    {
    }

    /// Sends the request; the first server answers some time after `may_answer` becomes true.
    httplib::Response send(const std::function<bool()>& may_answer)
    {
        const std::jthread server([&](const std::stop_token& stop) {
            while (!stop.stop_requested() && !may_answer())
                std::this_thread::sleep_for(1ms);
            std::this_thread::sleep_for(50ms);
            const std::lock_guard lock(mutex_);
            if (first_ != nullptr)
                answer(*first_, 200, "first");
        });
        return fixture.send("GET");
    }

private:
    void on_dispatch(const dispatch& it, const std::shared_ptr<link_stream>& stream)
    {
        {
            const std::lock_guard lock(mutex_);
            if (first_ == nullptr) {
                first_ = stream;
                fixture.are_probes_unanswered = are_other_probes_unanswered;
                return;
            }
        }
        on_other_dispatch_(it, stream);
        ++other_dispatches;
    }

    std::mutex mutex_;
    std::shared_ptr<link_stream> first_;
    entry_fixture::gate_handler on_other_dispatch_;

public:
    std::atomic<int> other_dispatches = 0;    ///< dispatches to other servers
    std::atomic<int> failed_gates = 0;        ///< gate failures reported by the entry
    bool are_other_probes_unanswered = false; ///< other gates' nodes do not answer probes
    entry_fixture fixture;
};

} // namespace

// The body of a response as the caller gets it; nothing if it breaks off.
std::optional<std::string> read_body(httplib::Response& res)
{
    std::string out;
    httplib::DataSink sink;
    sink.write = [&](const char* data, std::size_t n) {
        out.append(data, n);
        return true;
    };
    while (out.size() < res.content_length_) {
        if (!res.content_provider_(out.size(), res.content_length_ - out.size(), sink))
            return std::nullopt;
    }
    return out;
}

// Guards against an answer that is cut where its server pauses.
TEST(entry, long_answer_with_a_pause_is_delivered_whole)
{
    const std::string body(200'000, 'y');
    std::jthread server;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            server = std::jthread([&, stream] {
                message_head head;
                head.status = 200;
                head.fields = {{.name = std::string(outcome_field),
                                .value = std::string(name_of(run_state::ran))},
                               {.name = "content-length", .value = std::to_string(body.size())}};
                const time_point end = boot_now() + 10s;
                stream->respond(std::move(head), false);
                static_cast<void>(stream->write(std::string_view(body).substr(0, 100'000), end));
                std::this_thread::sleep_for(300ms);
                static_cast<void>(stream->write(std::string_view(body).substr(100'000), end));
                stream->finish();
            });
        },
        {}, {.has_service_timeout = false});
    httplib::Response res = fixture.send("GET");
    EXPECT_EQ(res.status, 200);
    const auto received = read_body(res);
    EXPECT_TRUE(received.has_value() && *received == body);
}

// Guards against uploads that are given up as soon as they have arrived.
TEST(entry, upload_in_chunks_is_served)
{
    std::string received;
    std::jthread server;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            server = std::jthread([&, stream] {
                std::array<char, 4096> buf{};
                const time_point end = boot_now() + 10s;
                auto n = stream->read(buf, end);
                for (; !failed(n) && value_of(n) > 0; n = stream->read(buf, end))
                    received.append(buf.data(), value_of(n));
                std::this_thread::sleep_for(200ms);
                answer(*stream, failed(n) ? 500 : 200, "m");
            });
        },
        {}, {.has_service_timeout = false});
    const std::vector<std::string> chunks(8, std::string(10'000, 'u'));
    const httplib::Response res = fixture.upload(chunks);
    EXPECT_EQ(res.status, 200) << res.get_header_value("Jasmine-Outcome");
    server.join();
    EXPECT_EQ(received.size(), 80'000U);
}

// The first attempt ends without an answer and the second one is refused, so the first one may have
// run the request.
TEST(entry, outcome_is_unknown_when_a_refusal_follows_a_lost_attempt)
{
    std::atomic<int> tries = 0;
    entry_fixture fixture([&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        if (++tries == 1)
            stream->reset(reset_reason::internal_error);
        else
            refuse(*stream, refusal::overloaded);
    });
    const httplib::Response res = fixture.send("GET");
    // The second server is tried for a free slot first, then with a request that may wait for one.
    EXPECT_EQ(tries, 3);
    EXPECT_EQ(res.get_header_value("Jasmine-Outcome"), "unknown; reason=overloaded");
}

TEST(entry, request_without_a_key_on_a_public_route_is_nested)
{
    std::vector<bool> nested;
    entry_fixture fixture(
        [&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
            nested.push_back(it.is_nested);
            answer(*stream, 200, "");
        },
        {.names = {.caller_service = "x-caller-service"}});
    EXPECT_EQ(fixture.send("GET", "").status, 200);
    EXPECT_EQ(fixture.send("GET").status, 200);
    EXPECT_EQ(nested, (std::vector{true, false}));
}

// Neither server answers before both have the request; then the server of the first attempt
// answers.
// Guards against a request that waited in vain and is sent to another gate just before its
// deadline: it would end there with an unknown outcome although no server has run it.
TEST(entry, request_that_waited_in_vain_is_refused_as_not_run)
{
    std::atomic<int> waits = 0;
    std::vector<std::shared_ptr<link_stream>> unanswered;
    std::mutex mutex;
    std::vector<std::thread> timers;
    const auto gate = [&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        const std::lock_guard lock(mutex);
        if (!it.may_queue) {
            refuse(*stream, refusal::overloaded);
        }
        else if (++waits == 1) {
            timers.emplace_back([stream, left = it.time_left] {
                std::this_thread::sleep_for(left - 120ms);
                refuse(*stream, refusal::overloaded);
            });
        }
        else {
            unanswered.push_back(stream);
        }
    };
    entry_fixture fixture(gate, {.names = {.caller_service = "caller"}});
    const httplib::Response res = fixture.send("GET", "");
    EXPECT_EQ(waits, 1);
    EXPECT_EQ(res.get_header_value("Jasmine-Outcome"), "not-run; reason=overloaded");
    for (std::thread& it : timers)
        it.join();
}

TEST(entry, hedged_request_returns_the_first_answer)
{
    std::vector<std::shared_ptr<link_stream>> open;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            open.push_back(stream);
            if (open.size() == 2)
                answer(*open.front(), 200, "first");
        },
        {.hedge_after = 0.1});
    const httplib::Response res = fixture.send("GET");
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
    EXPECT_EQ(fixture.retries, 1);
}

TEST(entry, non_idempotent_request_is_not_hedged)
{
    std::atomic<int> tries = 0;
    std::vector<std::shared_ptr<link_stream>> open;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            ++tries;
            open.push_back(stream);
        },
        {.hedge_after = 0.1});
    const httplib::Response res = fixture.send("POST");
    EXPECT_EQ(res.status, 504);
    EXPECT_EQ(tries, 1);
    EXPECT_EQ(fixture.retries, 0);
}

// The caller gets the answer of the healthy server; the suspected one gets the same request as a
// trial.
TEST(entry, trial_of_a_suspected_server_does_not_delay_the_answer)
{
    std::vector<std::shared_ptr<link_stream>> trials;
    std::optional<backend_server_id> suspected;
    entry_fixture fixture([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        if (it.is_trial) {
            EXPECT_EQ(it.server, *suspected);
            trials.push_back(stream);
        }
        else if (!suspected) {
            suspected = it.server;
            refuse(*stream, refusal::suspect, true);
        }
        else {
            EXPECT_NE(it.server, *suspected);
            answer(*stream, 200, "well");
        }
    });
    const httplib::Response res = fixture.send("GET");
    EXPECT_EQ(res.get_header_value("x-mark"), "well");
    EXPECT_EQ(trials.size(), 1U);
    EXPECT_EQ(fixture.retries, 1);
}

TEST(entry, trial_answer_is_returned_when_it_arrives_first)
{
    std::vector<std::shared_ptr<link_stream>> open;
    std::optional<backend_server_id> suspected;
    entry_fixture fixture([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        open.push_back(stream);
        if (!suspected) {
            suspected = it.server;
            refuse(*stream, refusal::suspect, true);
        }
        else if (!it.is_trial) {
            answer(*open.at(1), 200, "trial");
        }
    });
    EXPECT_EQ(fixture.send("GET").get_header_value("x-mark"), "trial");
}

TEST(entry, non_idempotent_request_is_not_sent_as_a_trial)
{
    std::atomic<int> trials = 0;
    entry_fixture fixture([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        trials += it.is_trial ? 1 : 0;
        refuse(*stream, refusal::suspect, true);
    });
    const httplib::Response res = fixture.send("POST");
    EXPECT_EQ(res.get_header_value("Jasmine-Outcome"), "not-run; reason=suspect");
    EXPECT_EQ(trials, 0);
}

// If the request were sent to a crashed node, its bytes would be lost and it would be unknown
// whether it ran.
TEST(entry, request_is_not_sent_to_a_gate_that_fails_its_probe)
{
    std::atomic<int> tries = 0;
    std::atomic<int> failures = 0;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            ++tries;
            answer(*stream, 200, "");
        },
        {.on_gate_failed = [&](vm_id) { ++failures; }});
    fixture.are_probes_unanswered = true;
    const httplib::Response refused = fixture.send("POST");
    EXPECT_EQ(refused.get_header_value("Jasmine-Outcome"), "not-run; reason=no_backend_server");
    EXPECT_EQ(tries, 0);
    EXPECT_GT(failures, 0);
}

TEST(entry, gate_is_not_probed_within_its_liveness_window)
{
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            answer(*stream, 200, "");
        },
        {.gate_liveness_window = 1min});
    EXPECT_EQ(fixture.send("POST").status, 200);
    fixture.are_probes_unanswered = true;
    EXPECT_EQ(fixture.send("POST").status, 200);
}

TEST(entry, gate_is_probed_after_its_liveness_window)
{
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            answer(*stream, 200, "");
        },
        {.gate_liveness_window = 0ms});
    EXPECT_EQ(fixture.send("POST").status, 200);
    fixture.are_probes_unanswered = true;
    EXPECT_EQ(fixture.send("POST").status, 503);
}

// Refusals arrive within a millisecond and must not count as samples of the latency. Without a
// sample, the expected latency is a quarter of the target latency.
TEST(entry, gate_refusals_do_not_shorten_the_hedging_delay)
{
    constexpr auto late = 500ms; // 2 times a quarter of the target latency
    std::atomic<bool> hold_next_request = false;
    std::promise<std::shared_ptr<link_stream>> taken;
    std::optional<time_point> hedge_time;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            if (hold_next_request.exchange(false))
                return taken.set_value(stream);
            hedge_time = boot_now();
            refuse(*stream, refusal::overloaded);
        },
        {.hedge_after = 2});
    for (int n = 0; n < 20; ++n)
        EXPECT_EQ(fixture.send("GET").status, 503);
    hedge_time.reset();
    hold_next_request = true;
    const std::jthread server([&] {
        auto stream = taken.get_future();
        if (stream.wait_for(5s) != std::future_status::ready)
            return;
        std::this_thread::sleep_for(late + 300ms);
        answer(*stream.get(), 200, "first");
    });
    const time_point start = boot_now();
    const httplib::Response res = fixture.send("GET");
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
    if (hedge_time)
        EXPECT_GE(*hedge_time - start, late);
}

TEST(entry, late_request_waits_for_its_server_when_there_is_no_other)
{
    late_request it({.servers = 1});
    const httplib::Response res = it.send([&] { return it.fixture.retries > 0; });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
    EXPECT_EQ(it.other_dispatches, 0);
}

class late_request_refused : public testing::TestWithParam<refusal_answer> {};

TEST_P(late_request_refused, first_attempt_continues_after_the_hedge_is_refused)
{
    late_request it({}, [](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        refuse(*stream, GetParam());
    });
    const httplib::Response res = it.send([&] { return it.other_dispatches > 0; });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
}

INSTANTIATE_TEST_SUITE_P(
    entry, late_request_refused,
    testing::Values(
        refusal_answer{.reason = refusal::overloaded}, refusal_answer{.reason = refusal::suspect},
        refusal_answer{.reason = refusal::stopping}, refusal_answer{.reason = refusal::shed},
        refusal_answer{.reason = refusal::no_backend_server},
        refusal_answer{.reason = refusal::deadline},
        refusal_answer{.reason = refusal::deadline, .state = run_state::unknown},
        refusal_answer{.reason = refusal::backend_server_error, .state = run_state::unknown}),
    [](const auto& it) {
        return fmt::format("{}_{}", name_of(it.param.reason),
                           it.param.state == run_state::not_run ? "not_run" : "unknown");
    });

TEST(entry, late_request_waits_for_its_server_when_the_hedge_gets_status_500)
{
    late_request it({}, [](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        answer(*stream, 500, "second");
    });
    const httplib::Response res = it.send([&] { return it.other_dispatches > 0; });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
}

TEST(entry, late_request_waits_for_its_server_when_the_other_gate_fails_its_probe)
{
    late_request it({.gates = 2});
    it.are_other_probes_unanswered = true;
    const httplib::Response res = it.send([&] { return it.failed_gates > 0; });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
    EXPECT_EQ(it.other_dispatches, 0);
}

TEST(entry, late_request_waits_for_its_server_when_the_link_of_the_hedge_breaks)
{
    std::atomic<std::uint64_t> second = 0;
    std::shared_ptr<link_stream> open;
    late_request it({.gates = 2},
                    [&](const dispatch& to, const std::shared_ptr<link_stream>& stream) {
                        open = stream;
                        second = to.server.value;
                    });
    bool is_stopped = false;
    const httplib::Response res = it.send([&] {
        if (second != 0 && !std::exchange(is_stopped, true))
            it.fixture.stop_gate_of({second});
        return it.failed_gates > 0;
    });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
}

TEST(entry, late_request_waits_for_its_server_when_the_hedge_is_reset)
{
    late_request it({}, [](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        stream->reset(reset_reason::internal_error);
    });
    const httplib::Response res = it.send([&] { return it.other_dispatches > 0; });
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
}

// The only live server has no free slot at first, but accepts the request once it may wait for one.
TEST(entry, unresponsive_gates_of_leaving_nodes_do_not_end_the_search)
{
    std::atomic<int> failures = 0;
    entry_fixture fixture(
        [](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
            if (it.may_queue)
                answer(*stream, 200, "");
            else
                refuse(*stream, refusal::overloaded);
        },
        {.on_gate_failed = [&](vm_id) { ++failures; }},
        {.servers = 1, .unresponsive_leaving_gates = 6});
    EXPECT_EQ(fixture.send("GET").status, 200);
    EXPECT_EQ(failures, 0);
}

// Load: a service whose gates are all full. Guards against a request that asks each gate again and
// again although all have said that it cannot start in time.
TEST(entry, request_is_refused_when_no_gate_can_start_it_in_time)
{
    std::atomic<int> dispatches = 0;
    entry_fixture fixture(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            ++dispatches;
            message_head head{.method = {}, .path = {}, .status = 503, .fields = {}};
            head.fields.push_back({.name = std::string(outcome_field),
                                   .value = outcome_text({.reason = refusal::overloaded})});
            head.fields.push_back(wait_header(1h));
            stream->respond(std::move(head), true);
        },
        {.service_admission = true});
    const httplib::Response res = fixture.send("GET");
    EXPECT_EQ(dispatches, 2);
    EXPECT_EQ(res.get_header_value(std::string(outcome_header)), "not-run; reason=overloaded");
    EXPECT_TRUE(res.has_header("Retry-After"));
}

// Load: callers that return after a Retry-After. Guards against a returned request that waits
// behind new ones, and against marks without the setting.
TEST(entry, request_that_returns_after_a_refusal_is_marked)
{
    for (const bool is_enabled : {true, false}) {
        std::atomic<int> marked = 0;
        entry_fixture fixture(
            [&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
                marked += it.is_returned ? 1 : 0;
                refuse(*stream, {.reason = refusal::overloaded});
            },
            {.service_admission = is_enabled});
        fixture.send("GET");
        EXPECT_EQ(marked, 0);
        fixture.send("POST");
        EXPECT_EQ(marked, 0);
        fixture.send("GET");
        EXPECT_EQ(marked > 0, is_enabled);
    }
}
