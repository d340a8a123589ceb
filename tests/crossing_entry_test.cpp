// An entry whose service has its only backend server in another region, and that server's gate.

#include "dispatch_attempt.h"
#include "entry.h"
#include "link_hub.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* fleet_key = "fleet key of the tests";
constexpr backend_server_id server{5};

std::shared_ptr<const fleet_config> configuration()
{
    const auto text = "[service web]\n[route open]\npath = /\nservice = web\npublic = yes\n"
                      "target_latency = 1s\ntimeout = 2s\n";
    auto out = build_fleet_config({value_of(parse_ini("fleet.ini", text))});
    value_of(out).generation = 1;
    return std::make_shared<const fleet_config>(std::move(value_of(out)));
}

class far_gate_fixture {
public:
    explicit far_gate_fixture(const std::string& probe_answer)
    {
        gate_ = link_hub::start(
            {.self = {.vm_name = "gate", .run = {1}},
             .fleet_key = fleet_key,
             .on_stream =
                 [this](const std::shared_ptr<link_stream>& it) {
                     ++requests;
                     it->respond({.status = 204, .fields = {{std::string(outcome_field), "ran"}}},
                                 true);
                 },
             .on_control = [this,
                            probe_answer](const control_request& it) -> std::optional<std::string> {
                 probed_server = it.payload;
                 return probe_answer;
             }});
        links_ =
            link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key});
        open_link();
        entry_options options;
        options.may_serve = [] { return true; };
        options.take_token = [](auto, auto) { return limit_admitted{}; };
        options.poison_time_left = [](auto) { return duration::zero(); };
        router_options routing{.self = {2}, .domain = {1}};
        routing.crossing.emplace().other_region_penalty = 1;
        routing.scope_of = [](auto) { return traffic_scope::other_region; };
        entry_ = std::make_unique<entry>(std::move(options), *links_, routing);
        entry_->set_config(configuration());
        member_directory directory;
        directory.merge({.vm = {10},
                         .name = "gate",
                         .run = {1},
                         .version = 1,
                         .link = gate_->local(),
                         .domain = {2},
                         .servers = {{.id = server,
                                      .service = id_of<service_id>("web"),
                                      .address = {"127.0.0.1", 1},
                                      .slots = 4}}});
        entry_->set_directory(directory);
    }
    ~far_gate_fixture()
    {
        links_->stop();
        gate_->stop();
    }

    int send()
    {
        httplib::Request req;
        req.method = "GET";
        req.target = "/";
        httplib::Response res;
        entry_->handle(req, res, nullptr);
        return res.status;
    }
    std::string metrics() { return entry_->crossing_metrics(); }

    std::atomic<int> requests = 0; ///< that reached the gate
    std::string probed_server;     ///< written before the response to the probe

private:
    // A probe that has to open the link may time out beside load, which is not what is tested.
    void open_link()
    {
        std::promise<bool> is_open;
        EXPECT_TRUE(links_->call(
            gate_->local(), "/control/open", "-", 20s,
            [&](const result<std::string, link_error>& it) { is_open.set_value(!failed(it)); }));
        EXPECT_TRUE(is_open.get_future().get());
    }

    std::unique_ptr<link_hub> gate_;
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<entry> entry_;
};

} // namespace

// Guards against requests that are sent to another region although the server there is full.
TEST(crossing_entry, full_gate_of_another_region_gets_a_probe_but_no_request)
{
    far_gate_fixture it("1.500");
    EXPECT_EQ(it.send(), 503);
    EXPECT_EQ(it.requests, 0);
    EXPECT_EQ(it.probed_server, "0000000000000005");
}

// Guards against a fleet that refuses requests although another region has room for them, and
// against metrics that do not show them.
TEST(crossing_entry, gate_of_another_region_with_room_gets_the_request)
{
    far_gate_fixture it("0.250");
    EXPECT_EQ(it.send(), 204);
    EXPECT_EQ(it.requests, 1);
    const std::string wanted = "jasminebank_routed_requests_total{reach=\"other_region\"} 1\n";
    EXPECT_NE(it.metrics().find(wanted), std::string::npos) << it.metrics();
}
