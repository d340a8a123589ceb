#include "poison_service.h"

#include "log.h"
#include "poison_codec.h"
#include "system_clock.h"

#include <utility>

namespace jasminebank {

constexpr duration report_timeout = std::chrono::seconds(2);

poison_service::poison_service(poison_service_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
}

// An empty text: nothing was saved.
static std::vector<poison_victim> read_saved(const std::string& text)
{
    if (text.empty())
        return {};
    const auto out = decode_victims(text);
    if (!out)
        log_event(event::victims_unreadable, "bytes={}", text.size());
    return out.value_or(std::vector<poison_victim>{});
}

void poison_service::restore(const std::string& own, const std::vector<std::string>& others)
{
    const std::vector<poison_victim> earlier = read_saved(own);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    saved_.restore(earlier, now);
    list_.merge(earlier, now);
    for (const std::string& it : others)
        list_.merge(read_saved(it), now);
}

void poison_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    peers_.clear();
    for (const member_record& it : directory.members()) {
        if (it.vm != options_.self)
            peers_.push_back(it.link);
    }
}

// Such crashes are rare, so the list is sent directly to each member.
void poison_service::on_server_crash(request_fingerprint fingerprint, backend_server_id server,
                                     incarnation run)
{
    std::string payload;
    std::vector<endpoint> peers;
    bool must_save = false;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = boot_now();
        const std::size_t known = list_.victim_count(fingerprint, now);
        if (!list_.on_server_crash(fingerprint, server, run, now))
            return;
        must_save = saved_.add(fingerprint, server, run, known, now);
        log_event(event::backend_server_died, "backend server {:016x}, victims of this request: {}",
                  server.value, list_.victim_count(fingerprint, now));
        payload = encode_victims(list_.entries(now));
        peers = peers_;
    }
    for (const endpoint& it : peers) {
        if (!links_.call(it, std::string(poison_path), payload, report_timeout, [](const auto&) {}))
            break;
    }
    if (must_save)
        options_.save();
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

std::string poison_service::saved() const
{
    const std::lock_guard lock(mutex_);
    return saved_.encode(boot_now());
}

duration poison_service::remaining_refusal(request_fingerprint fingerprint) const
{
    const std::lock_guard lock(mutex_);
    return list_.remaining_refusal(fingerprint, boot_now());
}

} // namespace jasminebank
