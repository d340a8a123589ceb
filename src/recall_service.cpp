#include "recall_service.h"

#include "log.h"

namespace jasminebank {

recall_service::recall_service(recall_service_options options, link_hub& links)
    : options_(std::move(options)), links_(links), plan_(options_.plan)
{
}

void recall_service::set_directory(const member_directory& directory)
{
    {
        const std::lock_guard lock(mutex_);
        if (plan_.is_complete())
            return;
        directory_ = directory;
    }
    ask_peers();
}

void recall_service::ask_peers()
{
    std::vector<member_record> peers;
    {
        const std::lock_guard lock(mutex_);
        peers = plan_.next_peers(directory_);
    }
    for (const member_record& it : peers) {
        const bool sent = links_.call(
            it.link, std::string(recall_path), {}, options_.timeout,
            [this, it](const result<std::string, link_error>& answer) { finish(it, answer); });
        if (!sent) {
            const std::lock_guard lock(mutex_);
            plan_.finished(it.vm, false);
        }
    }
}

// Another peer is asked in place of one that does not answer.
void recall_service::finish(const member_record& peer,
                            const result<std::string, link_error>& answer)
{
    const auto facts = failed(answer) ? std::nullopt : decode_recalled(value_of(answer));
    log_event(event::peer_recalled, "vm={} answered={} withdrawn={} victims={}", peer.name,
              facts.has_value(), facts ? facts->withdrawn.size() : 0,
              facts ? facts->victims.size() : 0);
    if (facts)
        options_.on_recalled(*facts);
    {
        const std::lock_guard lock(mutex_);
        plan_.finished(peer.vm, facts.has_value());
    }
    ask_peers();
}

} // namespace jasminebank
