#pragma once

// One node process: the HTTP server for callers, the links to other nodes, the gate of the backend
// servers that are registered here, and the control server. This class creates all components and
// connects them to each other, to the clock and to I/O. A platform is a host system with its own
// store, header names and configuration format, see platform_parts.h.

#include "buffer_budget.h"
#include "config_account.h"
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
#include "local_service.h"
#include "member_service.h"
#include "node_settings.h"
#include "once_service.h"
#include "platform_parts.h"
#include "poison_service.h"
#include "reach_monitor.h"
#include "recall_service.h"
#include "region_watch.h"
#include "socket_server.h"
#include "stop_schedule.h"
#include "store_read_turn.h"
#include "traffic_account.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jasminebank {

/// The addresses that a node listens on, with the ports that the system assigned.
struct node_ports {
    endpoint callers;
    endpoint links;
    endpoint control;
};

class node {
public:
    /// Binds all addresses and starts the node; `run` identifies this run of the process. With
    /// `platform`, first joins the fleet through the platform's store, which blocks until it
    /// succeeds or `is_cancelled` returns true. Returns nullptr if cancelled, or if an address
    /// cannot be bound, which is logged.
    static std::unique_ptr<node> start(
        const node_settings& settings, incarnation run,
        std::optional<platform_parts> platform = std::nullopt,
        std::function<bool()> is_cancelled = [] { return false; });
    /// Performs a planned stop, see `stop`.
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    node_ports ports() const;
    /// Applies the settings that can change at run time: `when_cut_off` and `stop_grace`.
    void reload(const node_settings& settings);
    /// Performs a planned stop and blocks until it is complete. Requests in flight may complete;
    /// those that do not are answered with their state before `stop_grace` ends.
    void stop();

private:
    node(node_settings settings, incarnation run, std::optional<platform_parts> platform);

    bool join_fleet(std::function<bool()> is_cancelled);
    bool open_links();
    withdrawal_list withdrawn_before() const;
    void open_gate();
    void apply_recalled(const recalled_facts& it);
    void open_entry();
    void open_limits();
    void suspect_node(vm_id vm);
    void open_delegations();
    void follow_store();
    void apply_config(const std::shared_ptr<const fleet_config>& config, bool is_first_hand);
    void apply_directory(const member_directory& directory);
    void apply_evacuations(const std::vector<std::string>& domains);
    traffic_scope scope_of(failure_domain_id other) const;
    router_options make_router_options() const;
    bool may_serve() const;
    bool must_read_config() const;
    bool process_announcement(const announcement& it);
    bool withdraw_server(const std::string& name, const withdrawing_run& run);
    void save(saved_kind kind);
    std::string value_to_save(saved_kind kind) const;
    bool is_expected(const announcement& it) const;
    std::function<bool(service_id, time_point)> make_shared_retry_limiter();
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
    void report_absent_regions();
    void stop_services(const stop_schedule& plan);
    void close_control_servers(time_point deadline);

    node_settings settings_;
    const incarnation run_;
    const std::optional<platform_parts> platform_;
    joined_fleet fleet_;
    time_point joined_at_{};
    duration store_read_delay_{}; ///< of this node's turn to read the store
    std::unique_ptr<store_session_base> session_;
    const std::shared_ptr<traffic_account> traffic_ = std::make_shared<traffic_account>();
    const std::shared_ptr<config_account> config_account_ = std::make_shared<config_account>();
    const std::shared_ptr<buffer_budget> buffers_; ///< for all connections
    std::unique_ptr<link_hub> links_;
    std::unique_ptr<control_relay> relay_;
    std::unique_ptr<reach_monitor> reach_;
    std::unique_ptr<recall_service> recall_;
    std::unique_ptr<health_service> health_;
    std::unique_ptr<key_coordinators> coordinators_;
    std::unique_ptr<idempotency_service> idempotency_;
    std::unique_ptr<poison_service> poison_;
    std::unique_ptr<gate> gate_;
    std::unique_ptr<limit_service> limits_;
    std::unique_ptr<limit_lease_service> leases_; ///< only without a platform
    /// Only with a platform: selects the holders of the rate limits by a hash, without leases.
    std::unique_ptr<delegation_service> delegations_;
    std::unique_ptr<entry> entry_;
    std::unique_ptr<region_watch> region_watch_;
    std::unique_ptr<socket_server> callers_;
    std::unique_ptr<socket_server> control_;
    std::unique_ptr<member_service> members_;
    std::unique_ptr<config_follower> follower_; ///< only without a platform
    std::unique_ptr<config_feed> feed_;         ///< only with a platform
    std::unique_ptr<socket_server> ready_server_;
    std::unique_ptr<socket_server> metrics_server_;

    std::atomic<bool> is_watcher_ = false; ///< elected to read the store for other nodes
    std::atomic<bool> leaving_ = false;    ///< a planned stop has begun
    std::mutex publish_mutex_;             ///< held from reading the records to publishing
    local_service local_service_;
    std::atomic<bool> ready_ = false; ///< all handlers of link messages exist
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::atomic<cut_off_policy> when_cut_off_;
    std::atomic<duration> stop_grace_;
    std::thread ticks_;
};

} // namespace jasminebank
