#include "fake_backend.h"
#include "load_report.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

load_report report_of(std::vector<sent_request> requests)
{
    load_report out;
    out.organisations.resize(1);
    out.organisations[0].name = "org1";
    out.requests = std::move(requests);
    return out;
}

run_report account_with_run(const std::string& id, std::uint64_t times,
                            const std::string& organisation)
{
    run_report out;
    out.by_request.push_back(
        {.id = id, .runs = times, .organisation = organisation, .method = "POST"});
    return out;
}

} // namespace

TEST(run_check, detects_each_kind_of_violation)
{
    const load_report report = report_of({{.id = "refused", .kind = answer_kind::refused},
                                          {.id = "twice", .kind = answer_kind::unknown},
                                          {.id = "foreign", .kind = answer_kind::ok},
                                          {.id = "never", .kind = answer_kind::ok}});
    const std::vector<run_report> accounts{
        account_with_run("refused", 1, "org1"), account_with_run("twice", 1, "org1"),
        account_with_run("twice", 1, "org1"), account_with_run("foreign", 1, "org2")};
    const run_violations it = check_runs(report, accounts, {});
    EXPECT_EQ(it.refused_but_run, 1U);
    EXPECT_EQ(it.run_twice, 1U);
    EXPECT_EQ(it.foreign, 1U);
    EXPECT_EQ(it.whole_but_not_run, 1U);
    EXPECT_EQ(check_runs(report, accounts, {.idempotent = true}).run_twice, 0U);
    const run_violations lost = check_runs(report, accounts, {.lost_accounts = 1});
    EXPECT_FALSE(lost.complete);
    EXPECT_EQ(lost.whole_but_not_run, 0U);
}

TEST(run_check, load_run_against_a_shedding_server_has_no_violations_and_is_reported)
{
    fake_backend backend({.slots = 2, .waiting = 1, .service_time = 5ms, .seed = 3});
    ASSERT_TRUE(backend.start());
    const load_report report = load_generator({.targets = {backend.address()},
                                               .direct = true,
                                               .organisations = {{.name = "<org&1>", .key = "k"}},
                                               .run_time = 300ms,
                                               .rate = 600,
                                               .method = "POST",
                                               .connections = 16})
                                   .run();
    EXPECT_GT(report.total.count(answer_kind::refused), 0U);
    const auto account = fetch_account(backend.address());
    ASSERT_FALSE(failed(account));
    load_comparison it{.run = report, .direct = report};
    it.violations = check_runs(report, std::vector<run_report>{value_of(account)}, {});
    EXPECT_TRUE(it.violations->complete);
    EXPECT_EQ(it.violations->total(), 0U);
    const std::string page = html_report(it);
    EXPECT_NE(page.find("<h3>&lt;org&amp;1&gt;</h3>\n<svg "), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos);
    EXPECT_NE(text_report(it).find("added by the nodes: p50 +0.00 ms"), std::string::npos);
}
