#pragma once

// Watch on a range of keys of the store. It reconnects after broken connections and outages and
// resumes at the first undelivered revision, so no change is missed.

#include "endpoint.h"
#include "jitter_backoff.h"
#include "store_codec.h"

#include <httplib.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jasminebank {

struct store_watch_options {
    std::vector<endpoint> endpoints; ///< all of the same store; at least one
    store_key_range keys;
    store_revision from = 0; ///< first revision to deliver; 0 starts with the next change
    duration connect_timeout = std::chrono::milliseconds(300);
    duration idle_timeout = std::chrono::seconds(10); ///< reconnects if nothing arrives
    std::size_t max_line_bytes = std::size_t{32} << 20;
    jitter_backoff_options backoff{};
};

enum class watch_status_kind : std::uint8_t {
    connected,
    disconnected,
    history_lost, ///< changes up to `revision` were compacted, or the store was restored from an
                  ///< older copy; the owner must reread the keys
};

struct store_watch_status {
    watch_status_kind kind = watch_status_kind::disconnected;
    store_revision revision = 0;
    std::string detail; ///< for the log
};

/// Called on the thread of the watch, one at a time. Handlers must not throw or call `stop`.
struct store_watch_handlers {
    std::function<void(const store_event_batch&)> on_events; ///< each change once, in order
    std::function<void(const store_watch_status&)> on_status;
};

/// Runs from construction until `stop` or destruction.
class store_watch {
public:
    store_watch(store_watch_options options, store_watch_handlers handlers);
    store_watch(const store_watch&) = delete;
    store_watch& operator=(const store_watch&) = delete;
    ~store_watch();

    /// Closes the connection and joins the thread; takes at most the connect timeout.
    void stop();

private:
    void run();
    void run_connection(const endpoint& at);
    bool process_bytes(std::string_view bytes);
    bool process_line(std::string_view line);
    void deliver_events(store_event_batch batch);
    void report_status(watch_status_kind kind, store_revision revision, const std::string& detail);
    std::string disconnect_reason(httplib::Error error) const;

    store_watch_options options_;
    store_watch_handlers handlers_;

    // Used only by the thread of the watch.
    store_revision next_revision_ = 0; ///< first undelivered revision; 0 while unknown
    std::int64_t cluster_ = 0;         ///< of the store that gave `next_revision_`; 0 while unknown
    std::string line_;                 ///< received part of an incomplete line
    bool connected_ = false;
    bool line_rejected_ = false;
    time_point created_at_;
    time_point last_received_;

    std::mutex mutex_; ///< guards the members below
    std::condition_variable changed_;
    std::shared_ptr<httplib::Client> client_;
    bool stopping_ = false;
    bool ended_ = false;
    std::thread thread_;
};

} // namespace jasminebank
