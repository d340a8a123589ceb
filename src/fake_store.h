#pragma once

// Stand-in for the platform's key-value store: an HTTP server over `store_state` with faults that
// can be changed at run time. `POST /fault` sets the faults and `GET /calls` returns the call
// counts; both work while the `down` fault is set.

#include "store_codec.h"
#include "store_faults.h"
#include "store_state.h"
#include "tracked_server.h"

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

namespace jasminebank {

struct fake_store_options {
    endpoint listen{.host = "127.0.0.1", .port = 0};
    store_state_options state{};
    duration progress_interval = std::chrono::seconds(5); ///< between lines of an idle watch
};

/// Counts of received calls, including those that failed because of a fault.
struct store_calls {
    std::uint64_t range = 0;
    std::uint64_t txn = 0;
    std::uint64_t lease_grant = 0;
    std::uint64_t lease_keepalive = 0;
    std::uint64_t lease_revoke = 0;
    std::uint64_t watch = 0;    ///< watch calls received
    std::uint64_t watching = 0; ///< watches open now
    std::uint64_t limited = 0;  ///< calls rejected by the rate limit (status 429)
    std::uint64_t lost = 0;     ///< transactions applied without sending the answer
};

/// Thread-safe.
class fake_store {
public:
    explicit fake_store(const fake_store_options& options = {});
    ~fake_store();

    /// Returns false if the port cannot be bound, and true if the server already runs. After
    /// `stop` it can be started again; it keeps its contents and its port.
    bool start();
    void stop();
    /// Address on which the server listens.
    endpoint address() const;

    void set_faults(const store_faults& faults);
    /// Keeps a copy of the contents; initially empty.
    void copy();
    /// Goes back to the copy and ends all watches: what was acknowledged since is gone, leases too,
    /// and its revisions are given out again.
    void restore();
    /// Ends all leases immediately.
    void expire_leases();
    store_calls calls() const;

private:
    struct watcher {
        store_watch_request request;
        store_revision next = 0; ///< first revision not sent yet
        time_point last_sent;    ///< time of the latest line
        bool created_sent = false;
        bool pending = true; ///< there may be changes to send
        bool ended = false;
        std::condition_variable changed;
    };
    using watcher_list = std::list<watcher>;
    struct call {
        std::uint64_t store_calls::*counter;
        call_rate_limiter fake_store::*limiter;
        std::uint32_t store_faults::*rate;
    };

    template <class Decode, class Run, class Encode>
    httplib::Server::Handler handler(call kind, Decode decode, Run run, Encode encode);
    void add_routes();
    void add_lease_routes();
    void add_control_routes();
    bool admit(std::unique_lock<std::mutex>& lock, const call& kind, httplib::Response& response);
    bool consume_lost_answer(const call& kind);
    void change_faults(const httplib::Request& request, httplib::Response& response);
    void open_watch(const httplib::Request& request, httplib::Response& response);
    bool stream_watch(watcher& it, httplib::DataSink& sink);
    std::optional<std::string> next_line(watcher& it, time_point now);
    std::optional<std::string> next_changes(watcher& it);
    void wake_changed_watchers(store_revision before);
    void wake_all();
    void run_lease_expiry();

    fake_store_options options_;
    mutable std::mutex mutex_; ///< guards all members below except `server_`
    std::condition_variable changed_;
    store_state state_;
    store_state copy_;
    std::int64_t cluster_ = 1; ///< rises with each restore
    store_faults faults_;
    call_rate_limiter write_limiter_;
    call_rate_limiter read_limiter_;
    store_calls calls_;
    watcher_list watchers_;
    endpoint address_;
    bool stopping_ = false;
    std::thread expiry_thread_;
    std::unique_ptr<tracked_server> server_;
};

} // namespace jasminebank
