#include "poison_service.h"

#include "log.h"
#include "poison_codec.h"
#include "system_clock.h"

namespace jasminebank {

constexpr duration report_timeout = std::chrono::seconds(2);

poison_service::poison_service(vm_id self, link_hub& links) : self_(self), links_(links) {}

void poison_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    peers_.clear();
    for (const member_record& it : directory.members()) {
        if (it.vm != self_)
            peers_.push_back(it.link);
    }
}

// Such crashes are rare, so the list is sent directly to each member.
void poison_service::on_server_crash(request_fingerprint fingerprint, backend_server_id server,
                                     incarnation run)
{
    std::string payload;
    std::vector<endpoint> peers;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = boot_now();
        if (!list_.on_server_crash(fingerprint, server, run, now))
            return;
        log_event(event::backend_server_died, "backend server {:016x}, victims of this request: {}",
                  server.value, list_.victim_count(fingerprint, now));
        payload = encode_victims(list_.entries(now));
        peers = peers_;
    }
    for (const endpoint& it : peers) {
        if (!links_.call(it, std::string(poison_path), payload, report_timeout, [](const auto&) {}))
            return;
    }
}

std::string poison_service::receive_victims(std::string_view payload)
{
    const auto victims = decode_victims(payload);
    const std::lock_guard lock(mutex_);
    if (victims)
        list_.merge(*victims, boot_now());
    return {};
}

void poison_service::merge(const std::vector<poison_victim>& victims)
{
    const std::lock_guard lock(mutex_);
    list_.merge(victims, boot_now());
}

std::vector<poison_victim> poison_service::victims() const
{
    const std::lock_guard lock(mutex_);
    return list_.entries(boot_now());
}

duration poison_service::remaining_refusal(request_fingerprint fingerprint) const
{
    const std::lock_guard lock(mutex_);
    return list_.remaining_refusal(fingerprint, boot_now());
}

} // namespace jasminebank
