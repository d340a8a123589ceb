#pragma once

// Reachability checks: a node that is suspected to be unreachable, after a failed request or a
// missed heartbeat, is probed over its link until it answers, so that no caller's request is needed
// to find out.

#include "link_hub.h"
#include "member_directory.h"
#include "types.h"

#include <functional>
#include <map>
#include <mutex>
#include <string_view>

namespace jasminebank {

/// Path of the probe, a control message that only needs an answer.
constexpr std::string_view probe_path = "/control/reach";

struct reach_monitor_options {
    duration probe_interval = std::chrono::milliseconds(300);
    /// Well above a round trip between failure domains, well below the timeout of a caller.
    duration probe_timeout = std::chrono::milliseconds(400);
    /// Called with true when an unreachable node answers or leaves the directory, and with false
    /// when a node becomes unreachable. Runs on a link thread or on that of `tick` or
    /// `set_directory`.
    std::function<void(vm_id, bool)> on_change;
};

/// Thread-safe.
class reach_monitor {
public:
    reach_monitor(reach_monitor_options options, link_hub& links);

    void set_directory(const member_directory& directory);
    /// Starts to probe this node, until it answers, because it did not respond to what was sent to
    /// it at `sent`. Ignored if it has answered a probe that was sent later.
    void suspect(vm_id vm, time_point sent);
    /// Sends the probes that are due.
    void tick(time_point now);

private:
    struct probe_state {
        bool is_unreachable = false;
        bool is_probe_pending = false;
        time_point probe_sent{};
        time_point next_probe{};
    };

    void on_probe_result(vm_id vm, bool answered);

    const reach_monitor_options options_;
    link_hub& links_;
    std::mutex mutex_;
    std::map<vm_id, endpoint> peers_;
    std::map<vm_id, probe_state> probes_;
    std::map<vm_id, time_point> answered_; ///< when the last probe that was answered was sent
};

} // namespace jasminebank
