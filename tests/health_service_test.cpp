// Checks whether a gate queries the other gates of a service when one of its backend servers fails.

#include "health_service.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <atomic>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr service_id work{7};

server_record server(std::uint64_t id)
{
    return {.id = {id}, .service = work, .address = {.host = "127.0.0.1", .port = 9}, .slots = 4};
}

// Number of queries that another gate of the service gets while a backend server here fails all of
// its requests for two seconds.
int queries_of_a_failing_server(bool queries_peers)
{
    std::atomic<int> queries = 0;
    const auto peer = link_hub::start({.self = {.vm_name = "peer", .run = {1}},
                                       .fleet_key = "key",
                                       .on_control = [&](const control_request& it) {
                                           queries += it.path == service_health_path ? 1 : 0;
                                           return std::optional<std::string>("");
                                       }});
    const auto own = link_hub::start({.self = {.vm_name = "own", .run = {1}}, .fleet_key = "key"});
    health_service health({.self = id_of<vm_id>("own"),
                           .run = {1},
                           .store = {},
                           .queries_peers = queries_peers,
                           .on_standing_changed = [](backend_server_id, server_standing) {}},
                          *own);
    member_directory directory;
    directory.merge({.vm = id_of<vm_id>("peer"),
                     .name = "peer",
                     .run = {1},
                     .version = 1,
                     .link = peer->local(),
                     .domain = {},
                     .servers = {server(2)}});
    health.set_servers({server(1)});
    health.set_directory(directory);
    const time_point end = boot_now() + 2s;
    for (std::uint64_t n = 1; boot_now() < end; ++n) {
        health.started({n}, {1});
        health.finished({.request = {n}, .outcome = request_outcome::hung});
        std::this_thread::sleep_for(10ms);
    }
    health.stop();
    own->stop();
    peer->stop();
    return queries;
}

} // namespace

TEST(health_service, queries_peers_only_where_verdicts_are_acted_upon)
{
    EXPECT_GT(queries_of_a_failing_server(true), 0);
    EXPECT_EQ(queries_of_a_failing_server(false), 0);
}
