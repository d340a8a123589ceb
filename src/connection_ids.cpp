#include "connection_ids.h"

#include <algorithm>
#include <functional>

namespace jasminebank {

// Requests on one connection. Bounds the memory for their ids.
constexpr std::size_t max_requests = 1024;

bool connection_ids::may_send(const std::string* id) const
{
    if (sent_.empty())
        return true;
    return id != nullptr && sent_.size() < max_requests &&
           std::find(sent_.begin(), sent_.end(), std::hash<std::string>()(*id)) == sent_.end();
}

void connection_ids::sent(const std::string* id)
{
    has_last_id_ = id != nullptr;
    last_id_ = has_last_id_ ? *id : std::string();
    sent_.push_back(std::hash<std::string>()(last_id_));
}

bool connection_ids::is_own(const std::string* answer_id) const
{
    if (!has_last_id_ || answer_id == nullptr)
        return sent_.size() == 1;
    return *answer_id == last_id_;
}

bool connection_ids::may_be_kept(const std::string* answer_id) const
{
    return has_last_id_ && answer_id != nullptr && *answer_id == last_id_;
}

} // namespace jasminebank
