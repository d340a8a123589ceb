#include "link_hub.h"

#include "link_loop.h"
#include "link_wire.h"
#include "log.h"
#include "system_clock.h"

#include <condition_variable>
#include <utility>

namespace jasminebank {

constexpr duration idle_poll = std::chrono::milliseconds(20);

std::unique_ptr<link_hub> link_hub::start(link_options options)
{
    const auto socket = listen_on(options.listen);
    if (!socket)
        return nullptr;
    log_event(event::link_listening, "{} at {}", options.self.vm_name, to_string(socket->local));
    return std::unique_ptr<link_hub>(new link_hub(std::move(options), socket->fd, socket->local));
}

link_hub::link_hub(link_options options, int listen_fd, endpoint local)
    : local_(std::move(local)), limits_(limits_of(options)),
      max_control_bytes_(options.max_control_bytes),
      queue_(std::make_shared<link_queue>(options.max_commands)),
      counters_(std::make_shared<link_counters>()),
      loop_(std::make_unique<link_loop>(std::move(options), queue_, counters_, listen_fd)),
      thread_([this] { loop_->run(); })
{
}

link_hub::~link_hub()
{
    stop();
}

std::shared_ptr<link_stream> link_hub::open(const endpoint& peer, message_head head, bool ends)
{
    const bool is_valid = is_sendable(head, limits_.head_bytes) && head.status == 0;
    const auto state = std::make_shared<stream_state>(queue_, limits_, true, std::move(head), ends);
    if (!is_valid) {
        state->end_stream(
            link_error{.kind = link_failure::not_sent,
                       .reason = "a link cannot carry this request head: invalid or too large"});
    }
    else if (!queue_->post([loop = loop_.get(), peer, state] {
                 loop->open(peer, {.state = state, .call = std::nullopt});
             })) {
        state->end_stream(link_error{.kind = link_failure::not_sent,
                                     .reason = "command queue of the links is full or closed"});
    }
    return std::make_shared<link_stream>(state);
}

bool link_hub::call(const endpoint& peer, std::string path, std::string payload, duration timeout,
                    control_callback done)
{
    const message_head head{.method = "POST", .path = path};
    if (!path.starts_with(control_prefix) || !is_sendable(head, limits_.head_bytes) ||
        payload.size() > max_control_bytes_)
        return false;
    control_call it{.path = std::move(path),
                    .payload = std::move(payload),
                    .deadline = boot_now() + timeout,
                    .done = std::move(done)};
    return queue_->post([loop = loop_.get(), peer, it = std::move(it)]() mutable {
        loop->open(peer, {.state = nullptr, .call = std::move(it)});
    });
}

void link_hub::drain()
{
    queue_->post([loop = loop_.get()] { loop->drain(); });
}

bool link_hub::wait_idle(time_point deadline)
{
    struct idle_query {
        std::mutex mutex;
        std::condition_variable answered;
        std::optional<bool> answer;
    };
    for (;;) {
        const auto it = std::make_shared<idle_query>();
        const bool is_posted = queue_->post([loop = loop_.get(), it] {
            const std::lock_guard lock(it->mutex);
            it->answer = loop->is_idle();
            it->answered.notify_all();
        });
        std::unique_lock lock(it->mutex);
        const duration left = deadline - boot_now();
        if (!is_posted)
            return true;
        it->answered.wait_for(lock, left, [&] { return it->answer.has_value(); });
        if (it->answer.value_or(false))
            return true;
        if (boot_now() >= deadline)
            return false;
        lock.unlock();
        std::this_thread::sleep_for(idle_poll);
    }
}

void link_hub::stop()
{
    const std::lock_guard lock(stop_mutex_);
    if (!thread_.joinable())
        return;
    queue_->post_last([loop = loop_.get()] { loop->request_stop(); });
    thread_.join();
}

void link_hub::set_cut(const std::string& peer, cut_direction direction)
{
    queue_->post([loop = loop_.get(), peer, direction] { loop->set_cut(peer, direction); });
}

} // namespace jasminebank
