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
    event_entry{event::store_watch_connected, severity::info, "store_watch_connected"},
    event_entry{event::store_watch_disconnected, severity::warning, "store_watch_disconnected"},
    event_entry{event::store_watch_history_lost, severity::warning, "store_watch_history_lost"},
    event_entry{event::standin_started, severity::info, "standin_started"},
    event_entry{event::fake_store_fault_set, severity::info, "fake_store_fault_set"},
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
