#include "fake_backend.h"
#include "load_generator.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

load_options load_options_for(const fake_backend& backend)
{
    return {.targets = {backend.address()},
            .direct = true,
            .organisations = {{.name = "org1", .key = "k1"}, {.name = "org2", .key = "k2"}},
            .run_time = 300ms,
            .rate = 200,
            .method = "POST",
            .answer_bytes = 5000,
            .body_bytes = 3000,
            .connections = 8};
}

// All answers of a backend server in `mode` must have this kind and reason.
struct mode_case {
    std::string name;
    backend_mode mode;
    bool chunked = false;
    bool direct = true;
    answer_kind kind = answer_kind::ok;
    std::string reason{};
};

std::ostream& operator<<(std::ostream& out, const mode_case& it)
{
    return out << it.name;
}

class every_answer : public testing::TestWithParam<mode_case> {};

const std::vector<mode_case> mode_cases{
    {.name = "good", .mode = {}},
    {.name = "good_chunked", .mode = {}, .chunked = true},
    {.name = "truncated",
     .mode = {.truncate_share = 1},
     .kind = answer_kind::broken,
     .reason = "Read"},
    {.name = "truncated_chunked",
     .mode = {.truncate_share = 1},
     .chunked = true,
     .kind = answer_kind::broken,
     .reason = "Read"},
    {.name = "wrong_body",
     .mode = {.wrong_body_share = 1},
     .kind = answer_kind::wrong,
     .reason = "body"},
    {.name = "error",
     .mode = {.error_share = 1},
     .kind = answer_kind::failed,
     .reason = "status 500 without outcome"},
    {.name = "foreign_organisation",
     .mode = {},
     .direct = false,
     .kind = answer_kind::wrong,
     .reason = "organisation"},
};

} // namespace

TEST_P(every_answer, is_classified_by_kind_and_reason)
{
    fake_backend backend({.slots = 8, .waiting = 64, .service_time = 1ms});
    ASSERT_TRUE(backend.start());
    backend.set_mode(GetParam().mode);
    load_options options = load_options_for(backend);
    options.chunked = GetParam().chunked;
    options.direct = GetParam().direct;
    const load_report report = load_generator(options).run();
    EXPECT_GT(report.total.sent, 20U);
    EXPECT_EQ(report.total.count(GetParam().kind), report.total.sent);
    EXPECT_EQ(backend.account().report().runs, report.total.sent);
    if (GetParam().kind != answer_kind::ok) {
        ASSERT_EQ(report.total.reasons.size(), 1U);
        EXPECT_EQ(report.total.reasons[0].reason, GetParam().reason);
    }
}

INSTANTIATE_TEST_SUITE_P(load_generator, every_answer, testing::ValuesIn(mode_cases),
                         [](const auto& it) { return it.param.name; });

// Bytes beyond the announced length are read as the start of the next answer on the connection.
TEST(load_generator, answer_of_wrong_length_is_not_counted_as_ok)
{
    fake_backend backend({.slots = 8, .waiting = 64, .service_time = 1ms});
    ASSERT_TRUE(backend.start());
    backend.set_mode({.wrong_length_share = 1});
    const load_report report = load_generator(load_options_for(backend)).run();
    EXPECT_EQ(report.total.count(answer_kind::ok), 0U);
    EXPECT_GE(report.total.count(answer_kind::wrong),
              8U); // at least the first answer on each connection
    EXPECT_EQ(report.total.reasons.at(0).reason, "cut but ended as if whole");
}

TEST(load_generator, latency_includes_the_wait_for_a_connection_when_the_server_is_slow)
{
    fake_backend backend({.slots = 1, .waiting = 64, .service_time = 20ms, .service_noise = 0});
    ASSERT_TRUE(backend.start());
    load_options options = load_options_for(backend);
    options.connections = 1;
    const load_report report = load_generator(options).run();
    // Measured from the time of sending, each latency would be only 20 ms.
    // The excess is the wait for the connection since the scheduled time.
    EXPECT_GT(report.total.latency.quantile(0.9), 200ms);
    EXPECT_EQ(report.unsent, 0U);
}

TEST(load_generator, answers_are_counted_by_the_outcome_and_reason_of_the_node)
{
    socket_server node({.listen = {.host = "127.0.0.1", .port = 0}});
    std::atomic<int> count = 0;
    node.Get("/", [&](const httplib::Request& req, httplib::Response& res) {
        static constexpr std::array statuses{429, 502, 500, 200, 503};
        static constexpr std::array outcomes{"not-run; reason=rate", "unknown; reason=cut", "ran",
                                             "not-run", "not-run; reason=slots"};
        const auto n = static_cast<std::size_t>(count++) % statuses.size();
        res.status = statuses[n];
        res.set_header("Jasmine-Outcome", outcomes[n]);
        res.set_header("X-Request-Id", req.get_header_value("X-Request-Id") + (n == 4 ? "x" : ""));
    });
    ASSERT_TRUE(node.start());
    load_options options{.targets = {node.address()},
                         .organisations = {{.name = "org1", .key = "k1"}},
                         .run_time = 300ms,
                         .rate = 200,
                         .connections = 1};
    const load_report report = load_generator(options).run();
    std::vector<std::string> found;
    for (const reason_count& it : report.total.reasons)
        found.push_back(std::string(name_of(it.kind)) + " " + it.reason);
    EXPECT_EQ(found,
              (std::vector<std::string>{"refused rate", "unknown cut", "failed status 500",
                                        "wrong status 200 but not-run", "wrong request id"}));
}

TEST(load_generator, failed_connection_counts_as_broken_and_the_next_target_is_used)
{
    fake_backend backend({.slots = 8, .waiting = 64, .service_time = 1ms});
    ASSERT_TRUE(backend.start());
    load_options options = load_options_for(backend);
    options.targets = {{.host = "127.0.0.1", .port = 1}, backend.address()};
    const load_report report = load_generator(options).run();
    EXPECT_EQ(report.total.count(answer_kind::broken),
              4U); // four of the eight callers start with the unreachable target
    EXPECT_EQ(report.total.count(answer_kind::ok) + 4, report.total.sent);
}
