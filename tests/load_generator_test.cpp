#include "fake_backend.h"
#include "load_generator.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

load_options load_on(const fake_backend& backend)
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

load_report run_against(const backend_mode& mode, bool chunked)
{
    fake_backend backend({.slots = 8, .waiting = 64, .service_time = 1ms});
    EXPECT_TRUE(backend.start());
    backend.set_mode(mode);
    load_options options = load_on(backend);
    options.chunked = chunked;
    return load_generator(options).run();
}

} // namespace

TEST(load_generator, all_answers_of_a_good_server_are_whole)
{
    const load_report report = run_against({}, false);
    EXPECT_GT(report.total.sent, 20U);
    EXPECT_EQ(report.total.count(answer_kind::ok), report.total.sent);
    EXPECT_EQ(report.organisations.size(), 2U);
    EXPECT_EQ(report.total.latency.count(), report.total.sent);
}
