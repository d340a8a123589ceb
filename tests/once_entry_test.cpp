// Requests with an idempotency key sent through two entry nodes: which of them run, and which
// responses callers receive.

#include "entry.h"

#include "reach_monitor.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* caller_key = "a key of the tests";

std::shared_ptr<const fleet_config> configuration()
{
    const std::string text = R"([service-template web]
timeout = 5s
[service reservations]
template = web
[route reserve]
path = /reserve
service = reservations
[organisation-template small]
rate = 5
burst = 10
[organisation honey]
template = small
key = )" + to_hex(digest_of(caller_key)) +
                             "\n";
    const auto file = parse_ini("fleet.ini", text);
    auto out = build_fleet_config({value_of(file)});
    EXPECT_FALSE(failed(out)) << describe(error_of(out));
    value_of(out).generation = 1;
    return std::make_shared<const fleet_config>(std::move(value_of(out)));
}

// One node that is coordinator and gate, and two entry nodes with links to it.
class two_entries {
public:
    two_entries()
    {
        coordinator_hub_ = link_hub::start(
            {.self = {.vm_name = "home", .run = {1}},
             .fleet_key = "fleet key of the tests",
             .on_stream = [this](std::shared_ptr<link_stream> it) { run(std::move(it)); },
             .on_control =
                 [this](const control_request& it) {
                     return it.path == probe_path ? std::optional<std::string>("-")
                                                  : coordinator_->handle_message(it.payload);
                 }});
        coordinator_ = std::make_unique<idempotency_service>(options_of(1), *coordinator_hub_);
        member_directory directory;
        directory.merge({.vm = {1},
                         .name = "home",
                         .run = {1},
                         .version = 1,
                         .link = coordinator_hub_->local(),
                         .domain = {1},
                         .servers = {{.id = {5},
                                      .service = id_of<service_id>("reservations"),
                                      .address = {"127.0.0.1", 1},
                                      .slots = 4}}});
        for (std::size_t n = 0; n < hubs_.size(); ++n) {
            hubs_[n] = link_hub::start({.self = {.vm_name = "entry", .run = {n + 1}},
                                        .fleet_key = "fleet key of the tests"});
            // Opens the link before the test: its setup may take longer than a probe may.
            EXPECT_TRUE(probe_gate(*hubs_[n], coordinator_hub_->local(), 10s));
            services_[n] = std::make_unique<idempotency_service>(options_of(n + 2), *hubs_[n]);
            entries_[n] = std::make_unique<entry>(
                entry_options{.may_serve = [] { return true; },
                              .take_token = [](auto, auto) { return limit_admitted{}; },
                              .poison_time_left = [](auto) { return duration::zero(); },
                              .once = services_[n].get()},
                *hubs_[n], router_options{.self = {n + 2}, .domain = {1}});
            entries_[n]->set_config(configuration());
            entries_[n]->set_directory(directory);
        }
    }
    ~two_entries()
    {
        for (auto& it : hubs_)
            it->stop();
        coordinator_hub_->stop();
        for (std::thread& it : threads_)
            it.join();
    }

    httplib::Response post(std::size_t n, const std::vector<std::string>& keys)
    {
        httplib::Request req;
        req.method = "POST";
        req.target = "/reserve";
        req.headers.emplace("Authorization", std::string("Bearer ") + caller_key);
        for (const std::string& it : keys)
            req.headers.emplace("Idempotency-Key", it);
        httplib::Response res;
        entries_[n]->handle(req, res, nullptr);
        return res;
    }

    std::atomic<int> runs = 0;
    std::atomic<bool> gate_refuses_before_run = false; ///< with proof that nothing ran
    std::atomic<bool> gate_fails_after_run = false;    ///< resets the stream without a response

private:
    idempotency_service_options options_of(std::uint64_t vm)
    {
        return {.self = {vm}, .run = {1}, .find_coordinator = [this, vm](const idempotency_key&) {
                    return key_coordinator{.vm = {1},
                                           .link = coordinator_hub_->local(),
                                           .epoch = 1,
                                           .is_self = vm == 1,
                                           .lease_until = boot_now() + 1h,
                                           .lease_began = boot_now() - 1h};
                }};
    }

    // Responds to a request like a gate.
    void run(std::shared_ptr<link_stream> stream)
    {
        threads_.emplace_back([this, stream = std::move(stream)] {
            if (gate_refuses_before_run) {
                stream->respond({.status = 422,
                                 .fields = {{std::string(outcome_field),
                                             outcome_text({.reason = refusal::poison})}}},
                                true);
                return;
            }
            ++runs;
            std::this_thread::sleep_for(20ms);
            if (gate_fails_after_run)
                stream->reset(reset_reason::internal_error);
            else
                stream->respond({.status = 201, .fields = {{std::string(outcome_field), "ran"}}},
                                true);
        });
    }

    std::unique_ptr<link_hub> coordinator_hub_;
    std::unique_ptr<idempotency_service> coordinator_;
    std::array<std::unique_ptr<link_hub>, 2> hubs_;
    std::array<std::unique_ptr<idempotency_service>, 2> services_;
    std::array<std::unique_ptr<entry>, 2> entries_;
    std::vector<std::thread> threads_; // accessed on the hub's thread only
};

std::string outcome_of(const httplib::Response& it)
{
    return it.get_header_value(std::string(outcome_header));
}

// Resends a request through the second entry until it receives the expected outcome: the
// coordinator may not have recorded yet how the first request ended.
httplib::Response resend_until_outcome(two_entries& it, const std::string& key,
                                       const std::string& outcome)
{
    httplib::Response out;
    const time_point end = boot_now() + 20s;
    do {
        out = it.post(1, {key});
    } while (outcome_of(out) != outcome && boot_now() < end);
    EXPECT_EQ(outcome_of(out), outcome);
    return out;
}

} // namespace

TEST(once_entry, key_sent_through_both_entries_at_once_runs_once)
{
    two_entries it;
    for (int n = 0; n < 20; ++n) {
        std::array<std::future<httplib::Response>, 4> answers;
        for (std::size_t at = 0; at < answers.size(); ++at) {
            answers[at] = std::async(std::launch::async, [&it, at, n] {
                return it.post(at % 2, {"key-" + std::to_string(n)});
            });
        }
        int ran = 0;
        for (auto& answer : answers)
            ran += answer.get().status == 201 ? 1 : 0;
        EXPECT_EQ(ran, 1);
        EXPECT_EQ(it.runs, n + 1);
    }
}

TEST(once_entry, resend_is_refused_with_the_status_of_the_first_run)
{
    two_entries it;
    EXPECT_EQ(it.post(0, {"a"}).status, 201);
    const auto again = resend_until_outcome(it, "a", "ran; reason=duplicate");
    EXPECT_EQ(again.status, 409);
    EXPECT_EQ(again.get_header_value("Jasmine-First-Status"), "201");
    EXPECT_EQ(it.runs, 1);
}

TEST(once_entry, run_without_an_answer_is_not_repeated)
{
    two_entries it;
    it.gate_fails_after_run = true;
    EXPECT_EQ(outcome_of(it.post(0, {"a"})), "unknown; reason=backend_server_error");
    it.gate_fails_after_run = false;
    EXPECT_EQ(resend_until_outcome(it, "a", "unknown; reason=duplicate").status, 409);
    EXPECT_EQ(it.runs, 1);
}

TEST(once_entry, refusal_with_proof_of_not_running_releases_the_key)
{
    two_entries it;
    it.gate_refuses_before_run = true;
    EXPECT_EQ(outcome_of(it.post(0, {"a"})), "not-run; reason=poison");
    it.gate_refuses_before_run = false;
    EXPECT_EQ(resend_until_outcome(it, "a", "ran").status, 201);
    EXPECT_EQ(it.runs, 1);
}

TEST(once_entry, requests_without_a_key_all_run_and_two_keys_are_refused)
{
    two_entries it;
    EXPECT_EQ(it.post(0, {}).status, 201);
    EXPECT_EQ(it.post(0, {}).status, 201);
    EXPECT_EQ(it.runs, 2);
    EXPECT_EQ(it.post(0, {"a", "b"}).status, 400);
    EXPECT_EQ(it.runs, 2);
}
