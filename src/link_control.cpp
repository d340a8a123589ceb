#include "link_control.h"

#include <utility>

namespace jasminebank {

control_reply::control_reply(std::shared_ptr<link_queue> queue, sender send)
    : queue_(std::move(queue)), send_(std::move(send))
{
}

control_reply::~control_reply()
{
    send(std::nullopt);
}

bool control_reply::answer(std::string payload)
{
    return send(std::move(payload));
}

// Takes the sender out under the lock, so that only the first of several answers is sent.
bool control_reply::send(std::optional<std::string> payload)
{
    sender it;
    {
        const std::lock_guard lock(mutex_);
        it = std::exchange(send_, nullptr);
    }
    if (!it)
        return false;
    return queue_->post(
        [it = std::move(it), payload = std::move(payload)]() mutable { it(std::move(payload)); });
}

} // namespace jasminebank
