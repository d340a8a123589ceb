#include "announcer.h"

#include "http_pool.h"
#include "log.h"
#include "system_clock.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jasminebank {

// After this many consecutive failures at a node that had accepted announcements, the next is
// tried.
constexpr int max_failures_per_node = 2;

std::string to_json(const server_announcement& it)
{
    nlohmann::json out{{"service", it.service}, {"address", to_string(it.address)},
                       {"slots", it.slots},     {"draining", it.draining},
                       {"load", it.load},       {"incarnation", it.incarnation}};
    if (it.warm_up > duration::zero())
        out["warm_up_s"] = std::chrono::duration<double>(it.warm_up).count();
    return out.dump();
}

announcer::announcer(announcer_options options, std::function<server_announcement()> describe)
    : options_(std::move(options)), describe_(std::move(describe))
{
}

announcer::~announcer()
{
    stop();
}

void announcer::start()
{
    if (!options_.nodes.empty())
        thread_ = std::thread([this] { run(); });
}

void announcer::announce_now()
{
    const std::lock_guard lock(mutex_);
    announce_requested_ = true;
    wake_.notify_all();
}

void announcer::request_stop()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
}

void announcer::stop()
{
    request_stop();
    if (thread_.joinable())
        thread_.join();
}

bool announcer::announce_final()
{
    return !options_.nodes.empty() && post_once();
}

std::optional<endpoint> announcer::node() const
{
    const std::lock_guard lock(mutex_);
    if (!accepted_)
        return std::nullopt;
    return options_.nodes[current_];
}

void announcer::run()
{
    while (true) {
        post_once();
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, options_.interval,
                       [this] { return stopping_ || announce_requested_; });
        if (stopping_)
            return;
        announce_requested_ = false;
    }
}

// Tries the nodes in order until one accepts the announcement. A node that has accepted one before
// is kept after a single failure, since that may be just one lost response.
bool announcer::post_once()
{
    const std::string body = to_json(describe_());
    for (std::size_t n = 0; n < options_.nodes.size(); ++n) {
        const endpoint node = options_.nodes[current_];
        const bool was_accepted = post_to(node, body);
        const std::lock_guard lock(mutex_);
        if (was_accepted) {
            if (!accepted_)
                log_event(event::backend_announced, "{} accepted {}", to_string(node), body);
            accepted_ = true;
            failure_reported_ = false;
            failures_ = 0;
            return true;
        }
        ++failures_;
        if (accepted_ && failures_ < max_failures_per_node)
            return false;
        accepted_ = false;
        failures_ = 0;
        current_ = (current_ + 1) % options_.nodes.size();
        if (stopping_)
            return false;
    }
    if (!std::exchange(failure_reported_, true))
        log_event(event::backend_announce_failed, "no node accepted {}", body);
    return false;
}

bool announcer::post_to(const endpoint& node, const std::string& body) const
{
    bounded_client client(node);
    client.set_connection_timeout(options_.answer_timeout);
    const httplib::Result answer =
        client.send_until(json_post("/announce", body, {}), boot_now() + options_.answer_timeout);
    return answer && answer->status == 200;
}

} // namespace jasminebank
