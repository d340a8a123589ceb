#include "log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace jasminebank {

static constexpr std::array catalogue{
    event_entry{event::node_started, severity::info, "node_started"},
    event_entry{event::node_stopping, severity::info, "node_stopping"},
    event_entry{event::node_stopped, severity::info, "node_stopped"},
    event_entry{event::settings_rejected, severity::error, "settings_rejected"},
    event_entry{event::settings_reloaded, severity::info, "settings_reloaded"},
    event_entry{event::link_listening, severity::info, "link_listening"},
    event_entry{event::link_opened, severity::info, "link_opened"},
    event_entry{event::link_closed, severity::info, "link_closed"},
    event_entry{event::link_refused, severity::warning, "link_refused"},
    event_entry{event::link_dead, severity::warning, "link_dead"},
    event_entry{event::link_draining, severity::info, "link_draining"},
    event_entry{event::store_watch_connected, severity::info, "store_watch_connected"},
    event_entry{event::store_watch_disconnected, severity::warning, "store_watch_disconnected"},
    event_entry{event::store_watch_history_lost, severity::warning, "store_watch_history_lost"},
    event_entry{event::config_in_force, severity::info, "config_in_force"},
    event_entry{event::config_rejected, severity::error, "config_rejected"},
    event_entry{event::config_unreadable, severity::warning, "config_unreadable"},
    event_entry{event::mandate_taken, severity::info, "mandate_taken"},
    event_entry{event::mandate_ended, severity::warning, "mandate_ended"},
    event_entry{event::mandate_released, severity::info, "mandate_released"},
    event_entry{event::mandate_unreadable, severity::error, "mandate_unreadable"},
    event_entry{event::once_home_began, severity::info, "once_home_began"},
    event_entry{event::once_settlement_dropped, severity::warning, "once_settlement_dropped"},
    event_entry{event::health_changed, severity::info, "health_changed"},
    event_entry{event::standing_changed, severity::warning, "standing_changed"},
    event_entry{event::backend_server_died, severity::warning, "backend_server_died"},
    event_entry{event::member_joined, severity::info, "member_joined"},
    event_entry{event::member_gone, severity::warning, "member_gone"},
    event_entry{event::cut_off_began, severity::error, "cut_off_began"},
    event_entry{event::cut_off_ended, severity::info, "cut_off_ended"},
    event_entry{event::standin_started, severity::info, "standin_started"},
    event_entry{event::fake_store_fault_set, severity::info, "fake_store_fault_set"},
    event_entry{event::backend_announced, severity::info, "backend_announced"},
    event_entry{event::backend_announce_failed, severity::warning, "backend_announce_failed"},
    event_entry{event::backend_draining, severity::info, "backend_draining"},
    event_entry{event::backend_crashed, severity::error, "backend_crashed"},
    event_entry{event::answer_wrong, severity::error, "answer_wrong"},
};

std::span<const event_entry> event_catalogue()
{
    return catalogue;
}

static std::string_view name_of(severity it)
{
    switch (it) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

// One call of fputs a line, so that lines of several threads do not mix.
void write_log(event number, std::string_view text)
{
    const auto it = std::find_if(catalogue.begin(), catalogue.end(),
                                 [&](const event_entry& entry) { return entry.number == number; });
    const auto now = std::chrono::system_clock::now();
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
    const std::string line = fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}: {}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis.count(),
        it == catalogue.end() ? "error" : name_of(it->level), static_cast<unsigned>(number),
        it == catalogue.end() ? "unknown" : it->name, text);
    std::fputs(line.c_str(), stderr);
}

} // namespace jasminebank
