#pragma once

// Health of a node's backend servers at work: feeds the detector, asks the other gates of a service
// for what they see, and carries ejections to the service's record in the store.

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

/// Path of the control message that asks a gate about a service.
constexpr std::string_view service_health_path = "/control/service";
/// Keys of the ejection records in the store: this and the service's id.
constexpr std::string_view ejection_prefix = "jasminebank/ejections/";

struct health_options {
    vm_id self;
    incarnation run;
    std::vector<endpoint> store;
    /// A backend server gets another standing. Runs on any thread.
    std::function<void(backend_server_id, server_standing)> on_standing_changed;
};

/// Thread-safe.
class health_service {
public:
    health_service(health_options options, link_hub& links);
    ~health_service();
    health_service(const health_service&) = delete;
    health_service& operator=(const health_service&) = delete;

    /// Floors come from here.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Who the other gates are.
    void set_directory(const member_directory& directory);
    /// The backend servers of this gate.
    void set_servers(const std::vector<server_record>& servers);

    void started(request_id request, backend_server_id server);
    void finished(const request_finished& event);
    /// Whether a request may go to the backend server now.
    bool admits(backend_server_id server, bool idempotent) const;
    /// Answers another gate's question.
    std::string answer_query(std::string_view question);
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
        store_revision record_revision = 0; ///< of the record's key when it was last read
        std::uint64_t record_version = 0;
    };
    struct store_job {
        service_id service;
        std::optional<write_record> write; ///< or a read
    };

    void run_ticks();
    void run_store_jobs();
    service_state* find_state(service_id service);
    service_state* state_of(backend_server_id server, service_id& service);
    ejector_options options_for(service_id service) const;
    void execute(const detector_actions& actions, time_point now);
    void execute(service_id service, const ejector_actions& actions);
    void poll(service_state& state, const ask_peers& query, time_point now);
    void apply_service_health(service_id service, const peer_gate& gate, time_point query_sent,
                              const service_health& it);
    void refresh_own_servers(service_id service, service_state& state, time_point now);
    bool has_degraded_server(service_id service, const ejector& keeper) const;
    void read_ejection_record(service_id service);
    void write_ejection_record(service_id service, const write_record& write);

    const health_options options_;
    link_hub& links_;
    std::optional<store_client> store_; ///< without one, it counts as away
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    failure_detector detector_;
    std::unordered_map<service_id, service_state> services_;
    std::unordered_map<backend_server_id, server_record> servers_;
    std::vector<member_record> members_;
    std::vector<std::function<void()>> pending_callbacks_; ///< calls to make without the lock
    std::deque<store_job> store_jobs_;
    bool stopping_ = false;
    std::thread tick_thread_;
    std::thread store_thread_;
};

} // namespace jasminebank
