#include "store_watch.h"

#include "http_pool.h"
#include "log.h"
#include "system_clock.h"

#include <cassert>

namespace jasminebank {

using namespace std::chrono_literals;

store_watch::store_watch(store_watch_options options, store_watch_handlers handlers)
    : options_(std::move(options)), handlers_(std::move(handlers)), next_revision_(options_.from)
{
    assert(!options_.endpoints.empty());
    thread_ = std::thread([this] { run(); });
}

store_watch::~store_watch()
{
    stop();
}

// Repeats the stop request of the HTTP client, because a connection attempt that is just being
// started does not notice a single one.
void store_watch::stop()
{
    constexpr duration stop_retry_interval = 5ms;
    if (!thread_.joinable())
        return;
    assert(thread_.get_id() != std::this_thread::get_id());
    {
        std::unique_lock lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
        while (!ended_) {
            if (client_)
                client_->stop();
            changed_.wait_for(lock, stop_retry_interval);
        }
    }
    thread_.join();
}

// The backoff is reset only after a connection that lasted for a while, so that a store which
// accepts and then drops connections is not called at full rate. After an idle timeout the watch
// reconnects at once to the same endpoint.
void store_watch::run()
{
    constexpr duration min_stable_duration = 1s;
    jitter_backoff backoff(options_.backoff);
    std::size_t at = 0;
    for (;;) {
        run_connection(options_.endpoints[at]);
        if (created_at_ != time_point{} && boot_now() - created_at_ >= min_stable_duration)
            backoff.reset();
        std::unique_lock lock(mutex_);
        if (!connected_) {
            at = (at + 1) % options_.endpoints.size();
            changed_.wait_for(lock, backoff.next(), [&] { return stopping_; });
        }
        if (stopping_)
            break;
    }
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
}

// Runs one connection from the request to its end. `connected_` stays set after an idle timeout.
void store_watch::run_connection(const endpoint& at)
{
    const auto client = std::make_shared<httplib::Client>(at.host, at.port);
    client->set_connection_timeout(options_.connect_timeout);
    client->set_read_timeout(options_.idle_timeout);
    client->set_write_timeout(options_.idle_timeout);
    client->set_decompress(false);
    client->set_tcp_nodelay(true);
    {
        const std::lock_guard lock(mutex_);
        if (stopping_)
            return;
        client_ = client;
    }
    line_.clear();
    line_rejected_ = false;
    created_at_ = {};
    last_received_ = boot_now();
    const std::string body = encode_watch_request(
        {.keys = options_.keys, .from = next_revision_, .progress_notify = true});
    httplib::Request request =
        json_post(store_path::watch, body, [this](const char* data, size_t n, uint64_t, uint64_t) {
            return process_bytes({data, n});
        });
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    client->send(request, response, error);
    bool stopped = false;
    {
        const std::lock_guard lock(mutex_);
        client_.reset();
        stopped = stopping_;
    }
    const bool silent =
        created_at_ != time_point{} && boot_now() - last_received_ >= options_.idle_timeout;
    if (connected_ && !silent && !stopped)
        report_status(watch_status_kind::disconnected, next_revision_ - 1,
                      disconnect_reason(error));
    connected_ = connected_ && silent;
}

std::string store_watch::disconnect_reason(httplib::Error error) const
{
    return line_rejected_ ? "the store's line is malformed or too long" : httplib::to_string(error);
}

bool store_watch::process_bytes(std::string_view bytes)
{
    last_received_ = boot_now();
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (line_.size() > options_.max_line_bytes) {
            line_rejected_ = true;
            return false;
        }
        if (end == std::string_view::npos)
            return true;
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(line_, {});
        if (!process_line(line))
            return false;
    }
    return true;
}

// A watch without a start revision begins after the revision of the first line. Later lines without
// events confirm that all changes up to their revision have been sent.
bool store_watch::process_line(std::string_view line)
{
    auto message = decode_watch_message(line);
    line_rejected_ = !message;
    if (!message)
        return false;
    const store_revision revision = message->batch.revision;
    if (message->compact_revision > 0) {
        next_revision_ = message->compact_revision + 1;
        report_status(watch_status_kind::history_lost, message->compact_revision, "compacted");
        return false;
    }
    if (message->cancelled)
        return false;
    if (message->created) {
        created_at_ = boot_now();
        // A restored store gives revisions out again: resuming at an old one would skip changes.
        const std::int64_t previous = std::exchange(cluster_, message->cluster);
        if (previous != 0 && previous != message->cluster) {
            next_revision_ = revision + 1;
            report_status(watch_status_kind::history_lost, revision, "restored");
            return false;
        }
        if (next_revision_ == 0)
            next_revision_ = revision + 1;
        if (!connected_)
            report_status(watch_status_kind::connected, revision, "created");
        connected_ = true;
    }
    if (!message->batch.events.empty())
        deliver_events(std::move(message->batch));
    else if (!message->created)
        next_revision_ = std::max(next_revision_, revision + 1);
    return true;
}

// Drops events that were already delivered before the reconnect.
void store_watch::deliver_events(store_event_batch batch)
{
    std::erase_if(batch.events,
                  [&](const store_event& it) { return it.entry.mod_revision < next_revision_; });
    if (batch.events.empty())
        return;
    next_revision_ = batch.events.back().entry.mod_revision + 1;
    handlers_.on_events(batch);
}

void store_watch::report_status(watch_status_kind kind, store_revision revision,
                                const std::string& detail)
{
    event log_event_kind = event::store_watch_connected;
    if (kind == watch_status_kind::disconnected)
        log_event_kind = event::store_watch_disconnected;
    if (kind == watch_status_kind::history_lost)
        log_event_kind = event::store_watch_history_lost;
    log_event(log_event_kind, "revision {}: {}", revision, detail);
    handlers_.on_status({.kind = kind, .revision = revision, .detail = detail});
}

} // namespace jasminebank
