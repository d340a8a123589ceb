#include "reach_monitor.h"

#include "log.h"
#include "system_clock.h"

#include <vector>

namespace jasminebank {

reach_monitor::reach_monitor(reach_monitor_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
}

void reach_monitor::set_directory(const member_directory& directory)
{
    std::vector<vm_id> gone;
    {
        const std::lock_guard lock(mutex_);
        peers_.clear();
        for (const member_record& it : directory.members())
            peers_.emplace(it.vm, it.link);
        std::erase_if(probes_, [&](const auto& it) {
            const bool unknown = !peers_.contains(it.first);
            if (unknown && it.second.is_unreachable)
                gone.push_back(it.first);
            return unknown;
        });
        std::erase_if(answered_, [&](const auto& it) { return !peers_.contains(it.first); });
    }
    for (const vm_id it : gone)
        options_.on_change(it, true);
}

// A missed heartbeat is reported until the next one is answered, which may take many seconds in a
// large fleet.
void reach_monitor::suspect(vm_id vm, time_point sent)
{
    const std::lock_guard lock(mutex_);
    const auto last = answered_.find(vm);
    const bool has_answered_since = last != answered_.end() && last->second >= sent;
    if (peers_.contains(vm) && !has_answered_since)
        probes_.try_emplace(vm);
}

void reach_monitor::tick(time_point now)
{
    std::vector<std::pair<vm_id, endpoint>> due;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [vm, it] : probes_) {
            if (it.is_probe_pending || now < it.next_probe)
                continue;
            it.is_probe_pending = true;
            it.probe_sent = now;
            it.next_probe = now + options_.probe_interval;
            due.emplace_back(vm, peers_.at(vm));
        }
    }
    for (const auto& [vm, link] : due) {
        const bool sent = links_.call(link, std::string(probe_path), "-", options_.probe_timeout,
                                      [this, vm = vm](const result<std::string, link_error>& it) {
                                          on_probe_result(vm, !failed(it));
                                      });
        if (!sent)
            on_probe_result(vm, false);
    }
}

void reach_monitor::on_probe_result(vm_id vm, bool answered)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = probes_.find(vm);
        if (found == probes_.end())
            return;
        probe_state& it = found->second;
        it.is_probe_pending = false;
        changed = it.is_unreachable == answered;
        it.is_unreachable = !answered;
        if (answered) {
            answered_[vm] = it.probe_sent;
            probes_.erase(found);
        }
    }
    if (!changed)
        return;
    log_event(answered ? event::gate_reachable : event::gate_unreachable, "vm={:016x}", vm.value);
    options_.on_change(vm, answered);
}

} // namespace jasminebank
