#pragma once

// The entry of a node accepts callers' requests: it finds the organisation by its key, the route
// and the service, enforces the organisation's rate limit, chooses a backend server, sends the
// request to the server's gate (the proxy on the server's node), and returns the answer or a
// refusal that states whether the request ran.

#include "answer_estimate.h"
#include "caller_head.h"
#include "dispatch.h"
#include "dispatch_attempt.h"
#include "fleet_config.h"
#include "limit_entry.h"
#include "link_hub.h"
#include "notice_cache.h"
#include "once_request.h"
#include "poison_list.h"
#include "refusal.h"
#include "request_metrics.h"
#include "retry_budget.h"
#include "returned_requests.h"
#include "router.h"
#include "server_search.h"
#include "service_room.h"
#include "stop_schedule.h"
#include "types.h"

#include <httplib.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminebank {

struct entry_options {
    std::size_t buffered_body_bytes = 0; ///< larger request bodies are streamed
    /// Returns false while this node may be cut off from configuration updates.
    std::function<bool()> may_serve;
    /// Whether a peer has a newer configuration that this node has not received yet.
    std::function<bool()> is_config_outdated = [] { return false; };
    /// Takes one token of the organisation's rate limit, waiting at most until the deadline. Always
    /// returns a final verdict, never limit_waiting.
    std::function<limit_verdict(organisation_id, time_point)> take_token;
    /// Time until requests with this fingerprint are no longer refused as poison; zero if they are
    /// not refused.
    std::function<duration(request_fingerprint)> poison_time_left;
    /// Registers idempotency keys; null: the keys are ignored.
    idempotency_service* once = nullptr;
    header_names names{};
    /// Service of the backend server on this VM, sent with each dispatch; may be empty.
    std::function<std::string()> local_service = [] { return std::string(); };
    /// Called when a gate fails its probe, or its link fails while a request uses it.
    std::function<void(vm_id)> on_gate_failed = [](vm_id) {};
    /// Answers up to this size are received completely before they are forwarded.
    std::size_t buffered_answer_bytes = 64UL * 1024;
    std::shared_ptr<buffer_budget> buffers{}; ///< for buffered bodies; null: no limit
    /// An idempotent request is hedged (also sent to a second server) after this multiple of its
    /// expected latency; 0: never.
    double hedge_after = 0;
    /// Called when a request of the backend server on this VM has ended, with `service_admission`;
    /// `refused`: it did not run, for lack of capacity.
    std::function<void(bool refused)> on_nested_ended = [](bool) {};
    /// Refuse requests on arrival while their service is short of capacity (`service_room`).
    bool service_admission = false;
    /// With `service_admission`: requests that return after a refusal go before new ones.
    bool marks_returned = true;
    double retry_share = 0.1; ///< retries allowed per recent success of a service
    /// A gate that responded within this window is not probed before a dispatch. The window is
    /// longer for idempotent requests, which can still be sent to another server if the gate has
    /// just failed.
    duration gate_liveness_window = std::chrono::milliseconds(300);
    duration gate_liveness_window_if_idempotent = std::chrono::seconds(1);
    /// Takes one of the retries of a service that all nodes share, waiting at most until the
    /// deadline. If empty, this node has a small retry floor of its own instead.
    std::function<bool(service_id, time_point)> take_shared_retry;
};

/// A request in admission or after it: its sender, its route and its deadline.
struct admitted_request {
    std::shared_ptr<const fleet_config> config; ///< keeps the pointers below alive
    const organisation_config* organisation = nullptr;
    const route_config* route = nullptr;
    const service_config* service = nullptr;
    bool idempotent = false;
    bool is_nested = false;         ///< sent by a backend server while it runs another request
    std::size_t body_bytes = 0;     ///< announced size of the body
    bool is_length_unknown = false; ///< the body is streamed without an announced size
    time_point start;
    time_point deadline;
    request_fingerprint fingerprint{}; ///< set before the dispatch
    region_restriction regions{};      ///< that may serve the request
    /// No gate can start it in time: refused unless it returns, which is known after its body.
    std::optional<room_refusal> room_refused{};
    bool is_returned = false; ///< was refused before with a Retry-After
};

/// Thread-safe.
class entry {
public:
    entry(entry_options options, link_hub& links, router_options routing);

    /// Serves one request of a caller; `reader` is null if the method has no body.
    void handle(const httplib::Request& req, httplib::Response& res,
                const httplib::ContentReader* reader);

    /// Applies a configuration; ignored unless its generation is newer than the current one.
    void set_config(std::shared_ptr<const fleet_config> config);
    std::shared_ptr<const fleet_config> config() const;
    /// Decisions on requests for a retry, by the cause of the retry.
    struct retry_count {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
    };
    using retry_count_table = std::map<std::string, retry_count, std::less<>>;
    retry_count_table retry_counts() const;
    /// Metric lines on how far requests are sent; empty without the policy for other regions.
    std::string crossing_metrics();
    /// Number of requests refused for lack of capacity before or instead of further attempts, by
    /// service and cause.
    using arrival_refusal_table = std::map<std::pair<std::string, std::string>, std::uint64_t>;
    arrival_refusal_table arrival_refusals() const;
    /// Number of requests that came back after a refusal with a Retry-After.
    std::uint64_t returned_count() const;
    /// Number of backend servers of each service that requests may be sent to.
    std::unordered_map<service_id, std::size_t> backend_server_counts() const;
    /// Metrics of the requests served so far.
    const request_metrics& metrics() const { return metrics_; }
    /// Begins a planned stop: requests that arrive completely after `accept_end` are refused, and
    /// those that are still open at `answer_deadline` are answered then, with what is known of
    /// their state.
    void begin_stop(const stop_schedule& plan) { stop_.begin(plan); }
    /// Applies an update of the known nodes and their backend servers.
    void set_directory(const member_directory& directory);
    /// Sets the failure domains whose backend servers must get no requests. The next
    /// `set_directory` applies it.
    void set_evacuated(std::vector<failure_domain_id> domains);
    /// Records whether the link to a gate works, as found by a probe.
    void set_gate_reachable(vm_id gate, bool reachable);

private:
    struct request_progress;
    struct attempt_context;

    std::optional<refusal_answer> check_rate_limit(const admitted_request& request) const;
    std::optional<refusal_answer> check_regions(const admitted_request& request) const;
    std::optional<refusal_answer> admit(const caller_head& head, time_point now,
                                        admitted_request& out);
    static refusal body_failure_reason(const admitted_request& request);
    room_request room_request_of(const admitted_request& request) const;
    std::vector<backend_server_id> usable_servers(const admitted_request& request,
                                                  time_point now) const;
    std::optional<room_refusal> check_room(const admitted_request& request);
    refusal_answer refuse_for_room(const admitted_request& request, const room_refusal& it);
    std::optional<refusal_answer> admit_returned(admitted_request& request);
    void remember_refused(const admitted_request& request, const refusal_answer& it);
    void set_retry_after(const admitted_request& request, refusal_answer& it);
    std::optional<refusal_answer> authenticate(const caller_head& head,
                                               admitted_request& out) const;
    void refuse(httplib::Response& res, const refusal_answer& it) const;
    void serve(const caller_head& head, httplib::Response& res,
               const httplib::ContentReader* reader);
    void forward(admitted_request& request, const message_head& head, httplib::Response& res,
                 const httplib::ContentReader* reader);
    bool claim_idempotency_key(admitted_request& request, const message_head& head,
                               const std::string& body, httplib::Response& res,
                               std::unique_ptr<granted_claim>& hold);
    std::optional<refusal_answer> try_servers(const admitted_request& request,
                                              const message_head& head, const std::string& body,
                                              const httplib::ContentReader* reader,
                                              granted_claim* hold, httplib::Response& res);
    refusal reason_without_server(const admitted_request& request) const;
    std::optional<route_choice> choose_server(const admitted_request& request,
                                              const search_step& step);
    std::optional<route_choice> choose_next_server(const admitted_request& request,
                                                   server_search& search);
    enum class gate_state : std::uint8_t { ready, silent, full };
    gate_state check_gate(const admitted_request& request, const route_choice& choice);
    route_request route_request_of(const admitted_request& request, const search_step& step,
                                   time_point now);
    void log_crossing_changes(const fleet_config& config);
    void settle_unsent(const route_choice& choice);
    void settle_crossing(const admitted_request& request, const dispatch_attempt& it,
                         time_point now);
    std::optional<reported_notice> notice_of(backend_server_id server) const;
    dispatch_attempt open_attempt(const attempt_context& context, const server_search& search,
                                  const route_choice& choice, bool is_trial);
    time_point hedge_time(const admitted_request& request, const request_progress& progress,
                          const dispatch_attempt& it) const;
    void await_attempt(const attempt_context& context, request_progress& progress,
                       dispatch_attempt& it);
    void open_trial(const attempt_context& context, request_progress& progress,
                    const dispatch_attempt& refused);
    void finish_other_attempt(const attempt_context& context, request_progress& progress);
    bool handle_result(const attempt_context& context, request_progress& progress,
                       dispatch_attempt& it);
    bool may_retry(const attempt_context& context, const request_progress& progress);
    bool request_retry(const attempt_context& context, std::string_view cause);
    void update_estimate(const admitted_request& request, const dispatch_attempt& it);
    void record_attempt_end(const attempt_context& context, const dispatch_attempt& it);
    void deliver(const admitted_request& request, dispatch_attempt& it, const message_head& head,
                 httplib::Response& res);
    void log_request_end(const caller_head& head, const admitted_request& request,
                         const httplib::Response& res);

    const entry_options options_;
    stop_deadline stop_;
    request_metrics metrics_;
    link_hub& links_;
    const vm_id self_;
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_config> config_;
    router router_;
    retry_budget retry_budget_;
    retry_count_table retry_counts_;
    answer_estimate estimates_;
    answer_estimate service_times_; ///< of answers that did not wait for a slot
    notice_cache notices_;
    service_room room_;
    returned_requests returned_;
    arrival_refusal_table arrival_refusals_;
    std::map<std::string, time_point> shortage_logged_;        // by service
    std::unordered_map<vm_id, time_point> gate_last_response_; ///< time of the last response
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace jasminebank
