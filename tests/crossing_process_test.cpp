// Processes in two regions whose backend servers near by are withdrawn.

#include "process_fleet.h"

#include <gtest/gtest.h>
#include <httplib.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr auto two_regions = "other_region_penalty = 1\nregion_link = 50\n"
                             "[regions]\nd0 = north\nd1 = north\nd2 = south\n";

httplib::Result get(const endpoint& to, const std::string& path)
{
    httplib::Client client(to.host, to.port);
    return client.Get(path, {{"Authorization", "Bearer " + honey_key}});
}

// The value of the metric with these labels; 0 if there is none.
std::uint64_t metric(const process_fleet& fleet, std::size_t node, const std::string& name)
{
    const httplib::Result answer = get(fleet.control(node), "/metrics");
    const std::string text = answer ? answer->body : "";
    const std::size_t at = text.find("\njasminebank_" + name + " ");
    return at == std::string::npos ? 0
                                   : std::strtoull(text.c_str() + text.find(' ', at), nullptr, 10);
}

} // namespace

// Load: the region has lost all its backend servers of a service. Guards against refusals although
// another region has some, against requests that leave the region without need, and against metrics
// that do not tell what left it.
TEST(crossing_process, requests_leave_the_region_only_when_it_has_no_backend_server)
{
    process_fleet fleet({.services = {{.name = "lids"}}, .extra_node_settings = two_regions});
    const std::string left = "routed_requests_total{reach=\"other_region\"}";
    const std::string bytes = "sent_bytes_total{cause=\"request_head\",scope=\"other_region\"}";
    const std::uint64_t before = metric(fleet, 0, left);
    for (int n = 0; n < 20; ++n)
        EXPECT_EQ(get(fleet.callers(0), "/lids/near")->status, 200);
    EXPECT_EQ(metric(fleet, 0, left), before);
    fleet.drain_all_except(2, 0);
    std::uint64_t served = 0;
    EXPECT_TRUE(wait_until([&] {
        const httplib::Result answer = get(fleet.callers(0), "/lids/far");
        served += answer && answer->status == 200 ? 1 : 0;
        return served == 20;
    }));
    EXPECT_GE(metric(fleet, 0, left), before + 20);
    EXPECT_GT(metric(fleet, 0, bytes), 0U);
    EXPECT_NE(fleet.log(0).find("crossing_started"), std::string::npos);
}
