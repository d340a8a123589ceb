#include "entry.h"

#include "link_hub.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <optional>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr const char* fleet_key = "fleet key of the tests";
constexpr const char* key = "key-of-honey-makers";

std::shared_ptr<const fleet_config> configuration()
{
    const std::string text =
        "[service web]\n[route all]\npath = /\nservice = web\ntarget_latency = 1s\n"
        "timeout = 2s\nattempts = 3\n"
        "[route open]\npath = /open\nservice = web\npublic = yes\n"
        "[organisation honey]\nrate = 9\nburst = 9\nkey = " +
        to_hex(digest_of(key)) + "\n";
    auto config = build_fleet_config({value_of(parse_ini("fleet.ini", text))});
    value_of(config).generation = 1;
    return std::make_shared<const fleet_config>(std::move(value_of(config)));
}

// A gate with two backend servers, of which it plays the part itself.
member_directory directory_of(const endpoint& link)
{
    const auto server = [](std::uint64_t n) {
        return server_record{.id = {n},
                             .service = id_of<service_id>("web"),
                             .address = {"127.0.0.1", 1},
                             .slots = 4};
    };
    member_directory out;
    out.merge({.vm = {1},
               .name = "gate",
               .run = {1},
               .version = 1,
               .link = link,
               .domain = {1},
               .servers = {server(5), server(6)}});
    return out;
}

// A gate that answers dispatches as the test wants, and an entry with a link to it.
class entry_rig {
public:
    using answerer = std::function<void(const dispatch&, const std::shared_ptr<link_stream>&)>;

    explicit entry_rig(answerer gate, entry_options options = {})
        : gate_(link_hub::start(
              {.self = {.vm_name = "gate", .run = {1}},
               .fleet_key = fleet_key,
               .on_stream =
                   [this, gate = std::move(gate)](const std::shared_ptr<link_stream>& stream) {
                       const auto it = read_dispatch(stream->head());
                       ASSERT_TRUE(it.has_value());
                       gate(*it, stream);
                   },
               .on_control = [this](const control_request&) -> std::optional<std::string> {
                   return is_silent ? std::nullopt : std::optional<std::string>("-");
               }})),
          links_(
              link_hub::start({.self = {.vm_name = "entry", .run = {1}}, .fleet_key = fleet_key}))
    {
        options.may_serve = [] { return true; };
        options.take_token = [](auto, auto) { return limit_admitted{}; };
        options.poisoned_for = [](auto) { return duration::zero(); };
        options.take_shared_retry = [this](auto, auto) { return ++retries > 0; };
        entry_ = std::make_unique<entry>(std::move(options), *links_,
                                         router_options{.self = {2}, .domain = {1}});
        entry_->set_config(configuration());
        entry_->set_directory(directory_of(gate_->local()));
    }
    ~entry_rig()
    {
        links_->stop();
        gate_->stop();
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

    std::atomic<int> retries = 0;        ///< asked of those that all nodes share
    std::atomic<bool> is_silent = false; ///< the gate's node answers no probe

private:
    std::unique_ptr<link_hub> gate_;
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<entry> entry_;
};

void refuse(link_stream& stream, refusal reason, bool trial_due = false)
{
    message_head head;
    head.status = 503;
    head.fields.push_back(
        {.name = std::string(outcome_field), .value = outcome_text({.reason = reason})});
    if (trial_due)
        head.fields.push_back({.name = std::string(trial_field), .value = "due"});
    stream.respond(std::move(head), true);
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

} // namespace

// The first try ends without an answer, the second is refused: the first may still have run.
TEST(entry, a_refusal_does_not_undo_an_earlier_try)
{
    std::atomic<int> tries = 0;
    entry_rig rig([&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        if (++tries == 1)
            stream->reset(reset_reason::internal_error);
        else
            refuse(*stream, refusal::overloaded);
    });
    const httplib::Response res = rig.send("GET");
    // The second server is asked for a free slot, and then to let the request wait for one.
    EXPECT_EQ(tries, 3);
    EXPECT_EQ(res.get_header_value("Jasmine-Outcome"), "unknown; reason=overloaded");
}

TEST(entry, a_request_of_a_backend_server_is_told_apart)
{
    std::vector<bool> nested;
    entry_rig rig(
        [&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
            nested.push_back(it.is_nested);
            answer(*stream, 200, "");
        },
        {.names = {.caller_service = "x-caller-service"}});
    EXPECT_EQ(rig.send("GET", "").status, 200);
    EXPECT_EQ(rig.send("GET").status, 200);
    EXPECT_EQ(nested, (std::vector{true, false}));
}

// Neither answers until both have the request; then the one that was sent first does.
TEST(entry, a_late_request_is_sent_to_a_second_server_and_the_first_answer_counts)
{
    std::vector<std::shared_ptr<link_stream>> open;
    entry_rig rig(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            open.push_back(stream);
            if (open.size() == 2)
                answer(*open.front(), 200, "first");
        },
        {.hedge_after = 0.1});
    const httplib::Response res = rig.send("GET");
    EXPECT_EQ(res.status, 200);
    EXPECT_EQ(res.get_header_value("x-mark"), "first");
    EXPECT_EQ(rig.retries, 1);
}

TEST(entry, a_request_that_must_not_repeat_is_not_sent_twice_when_it_is_late)
{
    std::atomic<int> tries = 0;
    std::vector<std::shared_ptr<link_stream>> open;
    entry_rig rig(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            ++tries;
            open.push_back(stream);
        },
        {.hedge_after = 0.1});
    const httplib::Response res = rig.send("POST");
    EXPECT_EQ(res.status, 504);
    EXPECT_EQ(tries, 1);
    EXPECT_EQ(rig.retries, 0);
}

// The caller gets the answer of the server that is well; the suspected one gets the same as a
// trial.
TEST(entry, a_trial_of_a_suspected_server_costs_the_caller_nothing)
{
    std::vector<std::shared_ptr<link_stream>> trials;
    std::optional<backend_server_id> suspected;
    entry_rig rig([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
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
    const httplib::Response res = rig.send("GET");
    EXPECT_EQ(res.get_header_value("x-mark"), "well");
    EXPECT_EQ(trials.size(), 1U);
    EXPECT_EQ(rig.retries, 1);
}

TEST(entry, a_trial_that_answers_first_is_the_answer)
{
    std::vector<std::shared_ptr<link_stream>> open;
    std::optional<backend_server_id> suspected;
    entry_rig rig([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        open.push_back(stream);
        if (!suspected) {
            suspected = it.server;
            refuse(*stream, refusal::suspect, true);
        }
        else if (!it.is_trial) {
            answer(*open.at(1), 200, "trial");
        }
    });
    EXPECT_EQ(rig.send("GET").get_header_value("x-mark"), "trial");
}

TEST(entry, a_post_is_no_trial)
{
    std::atomic<int> trials = 0;
    entry_rig rig([&](const dispatch& it, const std::shared_ptr<link_stream>& stream) {
        trials += it.is_trial ? 1 : 0;
        refuse(*stream, refusal::suspect, true);
    });
    const httplib::Response res = rig.send("POST");
    EXPECT_EQ(res.get_header_value("Jasmine-Outcome"), "not-run; reason=suspect");
    EXPECT_EQ(trials, 0);
}

// Bytes that vanish on the way to a node that died would leave open whether the request ran.
TEST(entry, nothing_is_sent_to_a_gate_that_does_not_answer)
{
    std::atomic<int> tries = 0;
    std::atomic<int> failures = 0;
    entry_rig rig(
        [&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
            ++tries;
            answer(*stream, 200, "");
        },
        {.on_gate_failed = [&](vm_id) { ++failures; }});
    rig.is_silent = true;
    const httplib::Response refused = rig.send("POST");
    EXPECT_EQ(refused.get_header_value("Jasmine-Outcome"), "not-run; reason=no_backend_server");
    EXPECT_EQ(tries, 0);
    EXPECT_GT(failures, 0);
}

TEST(entry, a_gate_that_was_heard_lately_is_not_asked_again)
{
    entry_rig rig([&](const dispatch&, const std::shared_ptr<link_stream>& stream) {
        answer(*stream, 200, "");
    });
    EXPECT_EQ(rig.send("POST").status, 200);
    rig.is_silent = true;
    EXPECT_EQ(rig.send("POST").status, 200);
}
