#pragma once

// Numbered log events, written to standard output as one line of `key=value` fields each. A
// separate thread writes them, so a slow reader of the output blocks no caller. Each event has a
// maximum rate of lines; lines above it, or that do not fit in the buffer, are dropped and their
// number is logged. The catalogue docs/EVENTS.md has a row for each event; a test compares the two.

#include "types.h"

#include <fmt/format.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace jasminebank {

enum class severity : std::uint8_t { info, warning, error };

/// Event numbers. 100 node, 200 links, 300 store, 400 callers' HTTP, 500 configuration,
/// 600 limits and idempotency, 700 health and ejection, 800 membership, 900 test programs.
enum class event : std::uint16_t {
    node_started = 100,
    node_stopping = 101,
    node_stopped = 102,
    settings_rejected = 103,
    settings_reloaded = 104,
    node_drained = 105,
    region_setting_ignored = 106, ///< a domain without a region in the settings
    log_lines_dropped = 110,
    store_joined = 120, ///< joined the fleet by means of the store
    store_away = 121,
    store_back = 122,
    store_restored = 123, ///< the store came back from an older copy
    link_listening = 200,
    link_opened = 201,
    link_closed = 202,
    link_refused = 203,
    link_dead = 204,
    link_draining = 205,
    store_watch_connected = 300,
    store_watch_disconnected = 301,
    store_watch_history_lost = 302,
    request_ended = 400,
    dispatch_ended = 410, ///< the gate ended a request that a node had sent to it
    retry_decided = 411,
    dispatch_refused = 412,
    attempt_lost = 413,     ///< an attempt ended without a response of the gate
    service_short = 414,    ///< requests to a service are refused on arrival
    work_held = 415,        ///< new work is held back while nested requests are refused
    crossing_started = 420, ///< requests of a service leave the failure domain or the region
    crossing_stopped = 421,
    config_in_force = 500,
    config_rejected = 501,
    config_unreadable = 502,
    config_outdated = 503,       ///< older than the one in force
    region_absent = 504,         ///< no known node is in a region that the configuration names
    config_fetch_slow = 505,     ///< a fetch from a peer failed or took long
    config_read_slow = 506,      ///< a read of its value from the store failed or took long
    config_reader_changed = 507, ///< why this node reads the store
    evacuation_began = 510,
    evacuation_ended = 511,
    evacuation_name_unusable = 512, ///< of a failure domain to evacuate
    gate_evacuation_changed = 513,
    mandate_taken = 600, ///< mandate: the leases on rate limit shards that this node holds
    mandate_ended = 601,
    mandate_released = 602,
    mandate_unreadable = 603,
    holder_silent = 604, ///< holder: node that holds the lease on a limit shard
    holder_answers = 605,
    holder_selected = 606,
    once_home_began = 650,         ///< began to coordinate the idempotency keys of a shard
    once_settlement_dropped = 651, ///< a completed request is not reported to its coordinator
    health_changed = 700,
    standing_changed = 701,    ///< a `server_standing`
    backend_server_died = 702, ///< crashed while it ran a request
    backend_server_changed = 703,
    backend_server_lost = 704,    ///< no longer found at its address
    announcement_rejected = 705,  ///< registration of a backend server
    backend_server_limited = 706, ///< named another rate of requests that it takes
    withdrawals_unreadable = 707, ///< of earlier runs of the node, in the store
    peer_recalled = 708,          ///< a peer told this node of its earlier runs
    victims_unreadable = 709,     ///< that an earlier run of a node saved in the store
    gate_unreachable = 710,
    gate_reachable = 711,
    relay_taken = 720, ///< relay: node that forwards control messages to another
    relay_dropped = 721,
    backend_server_cold = 730, ///< its starts are limited while it is cold
    member_joined = 800,
    member_gone = 801,
    cut_off_began = 802, ///< `membership::may_serve` became false
    cut_off_ended = 803,
    member_unreadable = 804, ///< a record in a list that a peer sent
    standin_started = 900,   ///< a fake backend server or fake store
    fake_store_fault_set = 910,
    backend_announced = 920,
    backend_announce_failed = 921,
    backend_draining = 922,
    backend_crashed = 923, ///< logged by the fake backend server itself
    answer_wrong = 924,
};

/// Number, severity and printed name of one event.
struct event_entry {
    event number;
    severity level;
    std::string_view name;
};

/// All events, ordered by number.
std::span<const event_entry> event_catalogue();

/// Logs one line: wall-clock time, severity, number, name, and `text`. `text` should be `key=value`
/// fields; text without a "=" is written as the field `detail`. Does not wait for the output.
/// Thread-safe.
void write_log(event number, std::string_view text);

/// Converts a duration to milliseconds, the unit of log fields.
constexpr double as_milliseconds(duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

/// Number of lines dropped since the start of the process.
std::uint64_t dropped_log_lines();

template <class... Args>
void log_event(event number, fmt::format_string<Args...> format, Args&&... args)
{
    write_log(number, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace jasminebank
