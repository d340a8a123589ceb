#pragma once

// Runs health detection for a node's backend servers: passes request outcomes to the failure
// detector, queries the other gates of a service for their statistics, and writes ejections to the
// service's record in the store.

#include "ejector.h"
#include "failure_detector.h"
#include "fleet_config.h"
#include "health_codec.h"
#include "link_hub.h"
#include "member_directory.h"
#include "store_client.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Path of the control message that queries a gate for the health of a service.
constexpr std::string_view service_health_path = "/control/service";
/// Prefix of the ejection records' store keys; the service's id follows.
constexpr std::string_view ejection_prefix = "jasminebank/ejections/";

struct health_options {
    vm_id self;
    incarnation run;
    std::vector<endpoint> store;
    /// False where verdicts are not acted upon: the other gates of a service are then not queried.
    bool queries_peers = true;
    /// Called when the standing of a backend server changes, on the service's tick thread.
    std::function<void(backend_server_id, server_standing)> on_standing_changed;
};

/// Thread-safe.
class health_service {
public:
    health_service(health_options options, link_hub& links);
    ~health_service();
    health_service(const health_service&) = delete;
    health_service& operator=(const health_service&) = delete;

    /// Sets the configuration, which has the floor of each service.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Sets the other gates of each service.
    void set_directory(const member_directory& directory);
    /// Sets the backend servers of this gate.
    void set_servers(const std::vector<server_record>& servers);

    void started(request_id request, backend_server_id server);
    void finished(const request_finished& event);
    /// Whether the backend server accepts such a request now.
    bool admits(backend_server_id server, bool idempotent) const;
    /// Answers another gate's health query; empty if the query is malformed.
    std::string answer_query(std::string_view query_text);
    void stop();

private:
    struct peer_gate {
        vm_id vm;
        endpoint link;
    };
    struct service_state {
        ejector server_ejector;
        service_view view;
        std::vector<peer_gate> gates;
        time_point next_poll{};
        store_revision record_revision =
            0; ///< modification revision of the record's key, as last read
        std::uint64_t record_version = 0;
    };
    struct store_job {
        service_id service;
        std::optional<write_record> write; ///< nothing: read the record
    };

    void run_ticks();
    void run_store_jobs();
    service_state* find_state(service_id service);
    service_state* state_of(backend_server_id server, service_id& service);
    ejector_options options_for(service_id service) const;
    void execute(const detector_actions& actions, time_point now);
    void execute(service_id service, const ejector_actions& actions);
    void poll(service_state& state, const peer_query& query, time_point now);
    void apply_service_health(service_id service, const peer_gate& gate, time_point query_sent,
                              const service_health& it);
    void refresh_own_servers(service_id service, service_state& state, time_point now);
    bool has_degraded_server(service_id service, const ejector& server_ejector) const;
    void read_ejection_record(service_id service);
    void write_ejection_record(service_id service, const write_record& write);

    const health_options options_;
    link_hub& links_;
    std::optional<store_client> store_; ///< none: treated as an unavailable store
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    failure_detector detector_;
    std::unordered_map<service_id, service_state> services_;
    std::unordered_map<backend_server_id, server_record> servers_;
    std::vector<member_record> members_;
    std::vector<std::function<void()>>
        pending_callbacks_; ///< run by the tick thread without the lock
    std::deque<store_job> store_jobs_;
    bool stopping_ = false;
    std::thread tick_thread_;
    std::thread store_thread_;
};

} // namespace jasminebank
