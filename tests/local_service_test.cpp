// Which service a node names as the origin of requests.

#include "local_service.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

const std::chrono::system_clock::time_point start{std::chrono::hours(400'000)};

announcement announced(const std::string& service, std::chrono::system_clock::time_point started,
                       std::uint64_t sequence)
{
    return {.run = {static_cast<std::uint64_t>(started.time_since_epoch() / 1ms)},
            .service_name = service,
            .sequence = sequence,
            .started = started};
}

} // namespace

// Guards against a restarted node that names the service of a server that has crashed, because its
// last announcement arrives late.
TEST(local_service, late_announcement_of_an_earlier_server_changes_nothing)
{
    local_service it("lookups", start);
    it.announced(announced("orders", start - 6s, 7));
    EXPECT_EQ(it.name(), "lookups");
    it.announced(announced("lookups", start - 2s, 1));
    it.announced(announced("orders", start - 6s, 8));
    EXPECT_EQ(it.name(), "lookups");
}

// Guards against a node that keeps to its settings when the address has gone to another service.
TEST(local_service, server_that_started_later_names_its_service)
{
    local_service it("lookups", start);
    it.announced(announced("lookups", start - 2s, 9));
    it.announced(announced("orders", start + 5s, 1));
    EXPECT_EQ(it.name(), "orders");
}

// The clock of the VM was set back after the server had started.
TEST(local_service, server_that_goes_on_announcing_itself_names_its_service)
{
    local_service it("lookups", start);
    for (std::uint64_t n = 1; n <= max_late_announcements; ++n)
        it.announced(announced("orders", start - 1h, n));
    EXPECT_EQ(it.name(), "lookups");
    it.announced(announced("orders", start - 1h, max_late_announcements + 1));
    EXPECT_EQ(it.name(), "orders");
}

TEST(local_service, without_a_service_in_the_settings_each_announcement_counts)
{
    local_service it("", start);
    it.announced(announced("orders", start - 6s, 7));
    EXPECT_EQ(it.name(), "orders");
    local_service other("lookups", start);
    other.announced(announced("orders", {}, 7));
    EXPECT_EQ(other.name(), "orders") << "the start of the run is not known";
}
