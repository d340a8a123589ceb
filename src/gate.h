#pragma once

// Runs all requests for the backend servers that are registered with this node. It owns their
// slots and connections, shares the slots between organisations, and reports the outcome of each
// request to the health service. Requests arrive over links from entry nodes, the nodes that
// callers are connected to.

#include "announcement.h"
#include "backend_call.h"
#include "dispatch.h"
#include "fleet_config.h"
#include "health_service.h"
#include "link_stream.h"
#include "nested_pressure.h"
#include "notice_record.h"
#include "poison_service.h"
#include "refusal.h"
#include "slot_queue.h"
#include "stall_watch.h"
#include "types.h"
#include "withdrawal_list.h"
#include "worker_pool.h"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace jasminebank {

struct gate_options {
    incarnation run;                    ///< of this node
    duration announcement_ttl{};        ///< a backend server without a new announcement is removed
    duration backend_idle{};            ///< until an idle connection is closed
    std::size_t threads = 400;          ///< maximum; each running request occupies one
    std::size_t waiting_requests = 256; ///< for each backend server
    header_names names{};
    /// Report the expected wait for a slot to the entry nodes (`wait_field`), keep slots for nested
    /// requests, and hold work back while those of the backend server are refused.
    bool service_admission = false;
    /// See `slot_queue_options`.
    bool returned_first_by_organisation = false;
    withdrawal_list withdrawn{}; ///< backend servers that withdrew from earlier runs of this node
    /// A process that ends may close its connections before its listening socket: a server whose
    /// connection broke is looked at again after this time.
    duration second_death_check = std::chrono::milliseconds(50);
    /// What a cold backend server tolerates above its service's rate; nothing: no limit.
    std::optional<cold_start_tolerance> cold_start{};
};

/// How an announcement of a backend server was handled.
enum class announcement_result : std::uint8_t {
    unchanged, ///< accepted; its record, which other nodes hold, is the same
    changed,   ///< accepted; the records of the backend servers changed
    outdated,  ///< ignored: of an earlier run, or older than the last accepted one
};

/// Current load of a backend server and the suspicion that it has failed.
struct server_load {
    backend_server_id server;
    std::size_t running = 0; ///< requests that hold a slot
    std::size_t waiting = 0; ///< requests that wait for a slot
    double suspicion = 0;    ///< probability that the next request gets no good answer
    duration cold_left{};    ///< see `cold_start_limit`
    std::optional<std::size_t> start_limit{}; ///< starts in a second; nothing: no limit
};

/// Thread-safe.
class gate {
public:
    gate(const gate_options& options, health_service& health, poison_service& poison);
    ~gate();

    /// Registers a backend server or updates its record.
    announcement_result announce(const announcement& it, time_point now);
    /// Starts draining the backend server of this name. False if no run is known.
    bool withdraw(const std::string& name, const withdrawing_run& run, time_point now);
    /// Backend servers that withdrew from earlier runs of this node, as its peers say. They get no
    /// new requests; the next `tick` reports the change. Never blocks.
    void restore_withdrawals(const std::vector<server_withdrawal>& withdrawn);
    /// Runs of backend servers that have withdrawn from this node or its earlier runs.
    std::vector<server_withdrawal> withdrawals() const;
    /// Removes idle backend servers whose announcement has expired and refuses requests that waited
    /// for too long; true if the records changed.
    bool tick(time_point now);
    /// Applies the services' cold-start bounds to the backend servers. A gate with
    /// `gate_options::cold_start` starts no requests for services that are not in the
    /// configuration, and none at all before the first one.
    void set_config(const std::shared_ptr<const fleet_config>& config, time_point now);
    /// Sets the standing of a backend server; false if it is not registered here.
    bool set_standing(backend_server_id server, server_standing standing);
    /// Records of all backend servers registered here, ordered by id.
    std::vector<server_record> servers() const;
    /// A nested request of the backend server on this VM ended at the entry of this node;
    /// `refused`: it did not run, for lack of capacity.
    void nested_ended(bool refused, time_point now);
    /// Number of requests refused because the nested requests that they lead to are refused.
    std::uint64_t held_count() const;
    /// Current load of each of them.
    std::vector<server_load> loads(time_point now) const;
    /// Answers a probe: the load of the backend server that it names, "-" if it names none here.
    std::string answer_probe(std::string_view payload) const;
    /// Queues, starts or refuses a request received over a link. Never blocks.
    void accept(const std::shared_ptr<link_stream>& stream);
    /// Begins or ends the evacuation of the failure domain of this gate. Meanwhile new and waiting
    /// requests are refused with `refusal::evacuated`; running ones continue. Never blocks.
    void set_evacuated(bool evacuated, time_point now);
    /// Whether the gate is evacuated, and the requests that it has refused for that reason.
    struct evacuation_report {
        bool is_evacuated = false;
        std::uint64_t refused = 0;
    };
    evacuation_report evacuation() const;
    /// Refuses new and waiting requests; running ones continue. Never blocks.
    void close();
    /// Calls `close` and waits for the running requests.
    void stop();

private:
    struct idle_connection {
        std::shared_ptr<backend_connection> connection;
        time_point since;
    };
    struct backend_server {
        server_record record;
        incarnation run; ///< of the last accepted announcement
        std::string name;
        std::uint64_t sequence = 0; ///< of the last accepted announcement
        bool is_lost = false;       ///< unreachable or replaced; until its next announcement
        time_point last_announced;
        slot_queue slots;
        stall_watch stalls;
        notice_record notices;
        time_point last_admitted{};
        std::vector<idle_connection> idle;
    };
    // A request that waits for a slot or runs.
    struct pending_request {
        std::shared_ptr<link_stream> stream;
        dispatch request;
        time_point deadline;
        time_point accepted;
        time_point started;
        double suspicion = 0;   // of the backend server when the request started
        incarnation server_run; // of the backend server when the request started
        endpoint address;       // likewise
    };
    // A refusal to send once the mutex is released.
    struct refused_stream {
        std::shared_ptr<link_stream> stream;
        refusal reason = refusal::overloaded;
        server_load load_now{}; // of the backend server
        duration waited{};
        std::optional<duration> wait_now{}; ///< see `wait_field`
    };
    // Collected under the mutex and performed after its release.
    struct deferred_actions {
        std::vector<request_id> started;
        std::vector<refused_stream> refused;
    };

    static double load_factor(const backend_server& it);
    std::optional<duration> reported_wait(backend_server_id server, const dispatch& request,
                                          time_point now, std::size_t ending = 0) const;
    server_load current_load(backend_server_id server, time_point now) const;
    void log_refusal(const link_stream& stream, const server_load& load_now,
                     std::string_view reason, duration waited) const;
    std::optional<refusal> admit(const dispatch& request, time_point now);
    void collect_actions(const slot_actions& actions, deferred_actions& out,
                         refusal reason = refusal::overloaded);
    std::optional<cold_start_bounds> cold_bounds_of(service_id service) const;
    void apply_warm_up(backend_server& server, const announcement& it, time_point now,
                       deferred_actions& out);
    void mark_lost(const pending_request& it, call_outcome outcome);
    void set_leaving(backend_server& server, deferred_actions& out);
    void begin_evacuation(deferred_actions& out);
    void end_evacuation(time_point now, deferred_actions& out);
    void assume_cold(time_point now, deferred_actions& out);
    void perform(const deferred_actions& it);
    void cancel(request_id id);
    void run(request_id id);
    void log_dispatch_end(const pending_request& it, const call_result& result,
                          bool past_deadline) const;
    bool detect_death(const pending_request& it);
    std::shared_ptr<backend_connection> acquire_connection(backend_server& server,
                                                           const message_head& head) const;
    void apply_notices(backend_server& server, std::optional<double> before, deferred_actions& out);
    void apply_report(const dispatch& request, deferred_actions& out);
    std::optional<duration> wait_after(const dispatch& request) const;
    duration least_service_time(const backend_server& server, const dispatch& request) const;
    bool holds_work(const dispatch& request, time_point now);
    void record_run(const pending_request& it, const call_result& result, time_point now,
                    deferred_actions& out);
    void apply_answer(const pending_request& it, const call_result& result);
    void finish(request_id id, const pending_request& it,
                std::shared_ptr<backend_connection> connection, const call_result& result);

    const gate_options options_;
    health_service& health_;
    poison_service& poison_;
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_config> config_; ///< null before the first
    std::unordered_map<backend_server_id, backend_server> servers_;
    std::unordered_map<request_id, pending_request> pending_;
    std::uint64_t next_request_ = 1;
    bool stopping_ = false;
    evacuation_report evacuation_;
    bool records_changed_ = false; ///< by the outcome of a request, since the last tick
    withdrawal_list withdrawn_;
    nested_pressure pressure_; // of the only backend server on a platform
    std::uint64_t held_ = 0;
    time_point hold_logged_{};
    worker_pool workers_;
};

} // namespace jasminebank
