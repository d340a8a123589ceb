#pragma once

// One node: callers' HTTP, links to other nodes, the gate of the backend servers that announced
// themselves here, and the control address. The only place where time and I/O meet the decisions.

#include "config_feed.h"
#include "config_follower.h"
#include "control_relay.h"
#include "delegation_service.h"
#include "entry.h"
#include "gate.h"
#include "health_service.h"
#include "key_homes.h"
#include "limit_lease_service.h"
#include "limit_service.h"
#include "link_hub.h"
#include "member_service.h"
#include "node_settings.h"
#include "once_service.h"
#include "platform_parts.h"
#include "poison_service.h"
#include "reach_monitor.h"
#include "socket_server.h"
#include "stop_schedule.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jasminebank {

/// The addresses that a node took.
struct node_ports {
    endpoint callers;
    endpoint links;
    endpoint control;
};

class node {
public:
    /// Binds all addresses and starts; nothing if one cannot be had, which is logged.
    /// With `platform`, waits until the store of the platform has let it join, or `is_cancelled`.
    static std::unique_ptr<node> start(
        const node_settings& settings, incarnation run,
        std::optional<platform_parts> platform = std::nullopt,
        std::function<bool()> is_cancelled = [] { return false; });
    /// A planned stop: no request is cut.
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    node_ports ports() const;
    /// Takes over what may change while it runs: `when_cut_off` and `stop_grace`.
    void reload(const node_settings& settings);
    /// Ends after the requests that run, which get honest answers before the grace of the settings
    /// is over; blocks until then.
    void stop();

private:
    node(node_settings settings, incarnation run, std::optional<platform_parts> platform);

    bool join_fleet(std::function<bool()> is_cancelled);
    bool open_links();
    void open_gate();
    void open_entry();
    void open_limits();
    void suspect_node(vm_id vm);
    void open_delegations();
    void follow_store();
    void apply_config(const std::shared_ptr<const fleet_config>& config);
    void apply_directory(const member_directory& directory);
    bool may_serve() const;
    bool must_read_config() const;
    bool process_announcement(const announcement& it);
    bool withdraw_server(const std::string& name);
    bool is_expected(const announcement& it) const;
    std::function<bool(service_id, time_point)> make_shared_retry_limiter();
    std::string local_service() const;
    bool open_members();
    bool open_http_servers();
    void add_caller_routes();
    void add_control_routes(socket_server& server);
    void answer_budget(const httplib::Request& req, httplib::Response& res);
    std::string metrics_text() const;
    void answer_status(httplib::Response& res);
    void answer_announcement(const httplib::Request& req, httplib::Response& res);
    void accept_stream(const std::shared_ptr<link_stream>& stream);
    std::optional<std::string> answer_control(const control_request& request);
    void publish_servers();
    void run_ticks();
    void stop_services(const stop_schedule& plan);
    void close_control_servers(time_point deadline);

    node_settings settings_;
    const incarnation run_;
    const std::optional<platform_parts> platform_;
    joined_fleet fleet_;
    std::unique_ptr<store_session_base> session_;
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<control_relay> relay_;
    std::unique_ptr<reach_monitor> reach_;
    std::unique_ptr<health_service> health_;
    std::unique_ptr<key_coordinators> coordinators_;
    std::unique_ptr<idempotency_service> idempotency_;
    std::unique_ptr<poison_service> poison_;
    std::unique_ptr<gate> gate_;
    std::unique_ptr<limit_service> limits_;
    std::unique_ptr<limit_lease_service> leases_;     ///< without a platform
    std::unique_ptr<delegation_service> delegations_; ///< with one
    std::unique_ptr<entry> entry_;
    std::unique_ptr<socket_server> callers_;
    std::unique_ptr<socket_server> control_;
    std::unique_ptr<member_service> members_;
    std::unique_ptr<config_follower> follower_; ///< without a platform
    std::unique_ptr<config_feed> feed_;         ///< with one
    std::unique_ptr<socket_server> ready_server_;
    std::unique_ptr<socket_server> metrics_server_;

    std::atomic<bool> is_watcher_ = false; ///< this node reads the configuration for others
    std::atomic<bool> leaving_ = false;    ///< a planned stop has begun
    std::mutex publish_mutex_;             ///< held while the records are read and told
    mutable std::mutex service_mutex_;
    std::string local_service_;       ///< of the backend server that announced itself last
    std::atomic<bool> ready_ = false; ///< control messages may be answered
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::atomic<cut_off_policy> when_cut_off_;
    std::atomic<duration> stop_grace_;
    std::thread ticks_;
};

} // namespace jasminebank
