#pragma once

// Finds out whether other nodes answer on their links. A node that is suspected, by a failed
// request or a missed heartbeat, is probed until it answers, so that no request has to be risked
// for it.

#include "link_hub.h"
#include "member_directory.h"
#include "types.h"

#include <functional>
#include <map>
#include <mutex>
#include <string_view>

namespace jasminebank {

/// Path of the control message that asks for nothing but an answer.
constexpr std::string_view probe_path = "/control/reach";

struct reach_monitor_options {
    duration probe_interval = std::chrono::milliseconds(300);
    /// Well above a round trip between failure domains, well below what a caller waits.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// Whether the node answers. Runs on the thread of the links or of `tick`.
    std::function<void(vm_id, bool)> on_change;
};

/// Thread-safe.
class reach_monitor {
public:
    reach_monitor(reach_monitor_options options, link_hub& links);

    void set_directory(const member_directory& directory);
    /// Probe this node until it answers.
    void suspect(vm_id vm);
    void tick(time_point now);

private:
    struct probe_state {
        bool is_unreachable = false;
        bool is_probe_pending = false;
        time_point next_probe{};
    };

    void on_probe_result(vm_id vm, bool answered);

    const reach_monitor_options options_;
    link_hub& links_;
    std::mutex mutex_;
    std::map<vm_id, endpoint> peers_;
    std::map<vm_id, probe_state> probes_;
};

} // namespace jasminebank
