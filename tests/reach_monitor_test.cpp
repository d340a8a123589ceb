#include "reach_monitor.h"

#include "small_stack.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

// Guards against a probe in each tick to a node that answers: a missed heartbeat stays on record
// until the next one is answered.
TEST(reach_monitor, evidence_from_before_an_answered_probe_starts_no_other_probe)
{
    constexpr const char* fleet_key = "fleet key of the tests";
    std::atomic<int> probes = 0;
    const auto peer = link_hub::start(
        {.self = {.vm_name = "peer", .run = {1}},
         .fleet_key = fleet_key,
         .on_control = [&](const control_request& it) -> std::optional<std::string> {
             probes += it.path == probe_path ? 1 : 0;
             return "-";
         }});
    const auto links =
        link_hub::start({.self = {.vm_name = "self", .run = {1}}, .fleet_key = fleet_key});
    const vm_id vm = id_of<vm_id>("peer");
    member_directory directory;
    directory.merge(
        {.vm = vm, .name = "peer", .run = {1}, .version = 1, .link = peer->local(), .domain = {1}});
    std::atomic<int> unreachable = 0;
    reach_monitor monitor(
        {.on_change = [&](vm_id, bool answers) { unreachable += answers ? 0 : 1; }}, *links);
    monitor.set_directory(directory);
    const time_point missed = boot_now();
    const time_point first_probe = missed + 1s;
    monitor.suspect(vm, missed);
    monitor.tick(first_probe);
    // Until the answer has arrived, the evidence is still accepted but sends no second probe.
    for (int n = 0; n < 200; ++n) {
        monitor.suspect(vm, missed);
        monitor.tick(first_probe);
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(probes, 1);
    monitor.suspect(vm, first_probe + 1s);
    monitor.tick(first_probe + 2s);
    for (int n = 0; n < 400 && probes < 2; ++n)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(probes, 2);
    EXPECT_EQ(unreachable, 0);
    links->stop();
    peer->stop();
}
