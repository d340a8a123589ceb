#include "notice_cache.h"

namespace jasminebank {

// Above the number of backend servers of a large fleet; a forgotten limit is learned from the next
// answer.
constexpr std::size_t max_notices = 16'384;

void notice_cache::store(backend_server_id server, const std::optional<reported_notice>& it)
{
    if (!it) {
        notices_.erase(server);
        return;
    }
    if (notices_.size() >= max_notices && !notices_.contains(server))
        notices_.erase(notices_.begin());
    notices_.insert_or_assign(server, *it);
}

std::optional<reported_notice> notice_cache::find(backend_server_id server) const
{
    const auto it = notices_.find(server);
    return it == notices_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace jasminebank
