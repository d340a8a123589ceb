#include "log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace jasminebank {

static constexpr std::array catalogue{
    event_entry{event::node_started, severity::info, "node_started"},
    event_entry{event::node_stopping, severity::info, "node_stopping"},
    event_entry{event::node_stopped, severity::info, "node_stopped"},
    event_entry{event::settings_rejected, severity::error, "settings_rejected"},
    event_entry{event::settings_reloaded, severity::info, "settings_reloaded"},
    event_entry{event::node_drained, severity::info, "node_drained"},
    event_entry{event::region_setting_ignored, severity::warning, "region_setting_ignored"},
    event_entry{event::log_lines_dropped, severity::warning, "log_lines_dropped"},
    event_entry{event::store_joined, severity::info, "store_joined"},
    event_entry{event::store_away, severity::warning, "store_away"},
    event_entry{event::store_back, severity::info, "store_back"},
    event_entry{event::store_restored, severity::warning, "store_restored"},
    event_entry{event::link_listening, severity::info, "link_listening"},
    event_entry{event::link_opened, severity::info, "link_opened"},
    event_entry{event::link_closed, severity::info, "link_closed"},
    event_entry{event::link_refused, severity::warning, "link_refused"},
    event_entry{event::link_dead, severity::warning, "link_dead"},
    event_entry{event::link_draining, severity::info, "link_draining"},
    event_entry{event::store_watch_connected, severity::info, "store_watch_connected"},
    event_entry{event::store_watch_disconnected, severity::warning, "store_watch_disconnected"},
    event_entry{event::store_watch_history_lost, severity::warning, "store_watch_history_lost"},
    event_entry{event::request_ended, severity::info, "request_ended"},
    event_entry{event::dispatch_ended, severity::info, "dispatch_ended"},
    event_entry{event::retry_decided, severity::info, "retry_decided"},
    event_entry{event::dispatch_refused, severity::info, "dispatch_refused"},
    event_entry{event::attempt_lost, severity::warning, "attempt_lost"},
    event_entry{event::service_short, severity::warning, "service_short"},
    event_entry{event::work_held, severity::warning, "work_held"},
    event_entry{event::crossing_started, severity::info, "crossing_started"},
    event_entry{event::crossing_stopped, severity::info, "crossing_stopped"},
    event_entry{event::config_in_force, severity::info, "config_in_force"},
    event_entry{event::config_rejected, severity::error, "config_rejected"},
    event_entry{event::config_unreadable, severity::warning, "config_unreadable"},
    event_entry{event::config_outdated, severity::warning, "config_outdated"},
    event_entry{event::region_absent, severity::warning, "region_absent"},
    event_entry{event::config_fetch_slow, severity::warning, "config_fetch_slow"},
    event_entry{event::config_read_slow, severity::warning, "config_read_slow"},
    event_entry{event::config_reader_changed, severity::info, "config_reader_changed"},
    event_entry{event::evacuation_began, severity::warning, "evacuation_began"},
    event_entry{event::evacuation_ended, severity::info, "evacuation_ended"},
    event_entry{event::evacuation_name_unusable, severity::warning, "evacuation_name_unusable"},
    event_entry{event::gate_evacuation_changed, severity::info, "gate_evacuation_changed"},
    event_entry{event::mandate_taken, severity::info, "mandate_taken"},
    event_entry{event::mandate_ended, severity::warning, "mandate_ended"},
    event_entry{event::mandate_released, severity::info, "mandate_released"},
    event_entry{event::mandate_unreadable, severity::error, "mandate_unreadable"},
    event_entry{event::holder_silent, severity::warning, "holder_silent"},
    event_entry{event::holder_answers, severity::info, "holder_answers"},
    event_entry{event::holder_selected, severity::info, "holder_selected"},
    event_entry{event::once_home_began, severity::info, "once_home_began"},
    event_entry{event::once_settlement_dropped, severity::warning, "once_settlement_dropped"},
    event_entry{event::health_changed, severity::info, "health_changed"},
    event_entry{event::standing_changed, severity::warning, "standing_changed"},
    event_entry{event::backend_server_died, severity::warning, "backend_server_died"},
    event_entry{event::backend_server_changed, severity::info, "backend_server_changed"},
    event_entry{event::backend_server_lost, severity::warning, "backend_server_lost"},
    event_entry{event::announcement_rejected, severity::warning, "announcement_rejected"},
    event_entry{event::backend_server_limited, severity::warning, "backend_server_limited"},
    event_entry{event::withdrawals_unreadable, severity::warning, "withdrawals_unreadable"},
    event_entry{event::peer_recalled, severity::info, "peer_recalled"},
    event_entry{event::victims_unreadable, severity::warning, "victims_unreadable"},
    event_entry{event::gate_unreachable, severity::warning, "gate_unreachable"},
    event_entry{event::gate_reachable, severity::info, "gate_reachable"},
    event_entry{event::relay_taken, severity::info, "relay_taken"},
    event_entry{event::relay_dropped, severity::info, "relay_dropped"},
    event_entry{event::backend_server_cold, severity::info, "backend_server_cold"},
    event_entry{event::member_joined, severity::info, "member_joined"},
    event_entry{event::member_gone, severity::warning, "member_gone"},
    event_entry{event::cut_off_began, severity::error, "cut_off_began"},
    event_entry{event::cut_off_ended, severity::info, "cut_off_ended"},
    event_entry{event::member_unreadable, severity::warning, "member_unreadable"},
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

namespace {

// Per event. More lines would add little information and take processor time from requests.
constexpr std::uint32_t max_lines_per_second = 400;
// Lines not yet written; holds the output of a few seconds on a busy node.
constexpr std::size_t max_pending_bytes = 256UL * 1024;

using wall_clock = std::chrono::system_clock;

class log_writer {
public:
    log_writer() : thread_([this] { run(); }) {}
    ~log_writer()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        thread_.join();
    }
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    void add(event number, const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        const auto second =
            std::chrono::steady_clock::now().time_since_epoch() / std::chrono::seconds(1);
        event_lines& lines = lines_[number];
        if (lines.second != second)
            lines = {.second = second, .count = 0};
        if (++lines.count > max_lines_per_second ||
            pending_.size() + line.size() > max_pending_bytes) {
            ++dropped_;
            return;
        }
        pending_ += line;
        wake_.notify_one();
    }

    std::uint64_t dropped() const
    {
        const std::lock_guard lock(mutex_);
        return dropped_;
    }

private:
    struct event_lines {
        std::int64_t second = 0;
        std::uint32_t count = 0;
    };

    void run()
    {
        std::unique_lock lock(mutex_);
        std::uint64_t reported = 0;
        while (!stopping_ || !pending_.empty()) {
            wake_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
            const std::string text = std::exchange(pending_, {});
            const std::uint64_t dropped = dropped_;
            lock.unlock();
            std::fputs(text.c_str(), stdout);
            if (dropped != reported)
                std::fputs(line_of(event::log_lines_dropped,
                                   fmt::format("in_all={}", std::exchange(reported, dropped)))
                               .c_str(),
                           stdout);
            std::fflush(stdout);
            // Batches the lines of this interval, since each write costs a system call.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            lock.lock();
        }
    }

public:
    static std::string line_of(event number, std::string_view text)
    {
        const auto it = std::find_if(catalogue.begin(), catalogue.end(),
                                     [&](const auto& entry) { return entry.number == number; });
        const auto now = wall_clock::now();
        const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) % 1000;
        const bool has_fields = text.find('=') != std::string_view::npos;
        return fmt::format("ts={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={} name={} {}{}{}\n",
                           fmt::gmtime(wall_clock::to_time_t(now)), millis.count(),
                           it == catalogue.end() ? "error" : name_of(it->level),
                           static_cast<unsigned>(number),
                           it == catalogue.end() ? "unknown" : it->name,
                           has_fields ? "" : "detail=\"", text, has_fields ? "" : "\"");
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::map<event, event_lines> lines_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

log_writer& writer()
{
    static log_writer it;
    return it;
}

} // namespace

void write_log(event number, std::string_view text)
{
    writer().add(number, log_writer::line_of(number, text));
}

std::uint64_t dropped_log_lines()
{
    return writer().dropped();
}

} // namespace jasminebank
