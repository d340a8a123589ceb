#pragma once

// The callers' side of a node: finds the organisation behind the key, the route and the service,
// holds the request to the organisation's rate, chooses a backend server, sends the request to its
// gate, and passes the whole answer back or refuses honestly.

#include "answer_estimate.h"
#include "caller_head.h"
#include "dispatch.h"
#include "dispatch_attempt.h"
#include "fleet_config.h"
#include "limit_entry.h"
#include "link_hub.h"
#include "once_request.h"
#include "poison_list.h"
#include "refusal.h"
#include "request_metrics.h"
#include "retry_budget.h"
#include "router.h"
#include "server_search.h"
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

namespace jasminebank {

struct entry_options {
    std::size_t buffered_body_bytes = 0;
    std::function<bool()> may_serve; ///< false while this node may be cut off from news
    /// Takes a token for one request, waiting at most until the deadline; never limit_waiting.
    std::function<limit_verdict(organisation_id, time_point)> take_token;
    /// Time until requests with this fingerprint are no longer refused; zero when they are not.
    std::function<duration(request_fingerprint)> poison_time_left;
    once_service* once = nullptr; ///< without it, idempotency keys are not looked at
    header_names names{};
    /// Service of the backend server on this VM, told with each request; may be empty.
    std::function<std::string()> local_service = [] { return std::string(); };
    /// The link to a gate failed with a request on it.
    std::function<void(vm_id)> on_gate_failed = [](vm_id) {};
    std::size_t buffered_answer_bytes = 64UL * 1024; ///< answers up to this are read whole first
    /// An idempotent request that is open for this many usual times is tried elsewhere; 0: never.
    double hedge_after = 0;
    double retry_share = 0.1; ///< retries for each recent success of a service
    /// A gate that was heard this recently is taken to be there still. A request that must not be
    /// repeated is lost with its gate, others may still be sent elsewhere as well.
    duration gate_liveness_window = std::chrono::milliseconds(300);
    duration gate_liveness_window_if_idempotent = std::chrono::seconds(1);
    /// Takes one of the retries that all nodes share for a service, waiting at most until the
    /// deadline. Without it, this node has a few of its own.
    std::function<bool(service_id, time_point)> take_shared_retry;
};

/// A request that may run: whose it is, where it goes.
struct admitted_request {
    std::shared_ptr<const fleet_config> config; ///< keeps the pointers below alive
    const organisation_config* organisation = nullptr;
    const route_config* route = nullptr;
    const service_config* service = nullptr;
    bool idempotent = false;
    bool is_nested = false;     ///< made by a backend server for a request that it runs
    std::size_t body_bytes = 0; ///< as announced
    time_point start;
    time_point deadline;
    request_fingerprint fingerprint{}; ///< known once the body is here
};

/// Thread-safe.
class entry {
public:
    entry(entry_options options, link_hub& links, router_options routing);

    /// Serves one request of a caller; `reader` is there when the method may have a body.
    void handle(const httplib::Request& req, httplib::Response& res,
                const httplib::ContentReader* reader);

    /// Takes a configuration over; older generations than the one in force are ignored.
    void set_config(std::shared_ptr<const fleet_config> config);
    std::shared_ptr<const fleet_config> config() const;
    /// Answers to wishes for a second attempt, by why it was wished.
    struct retry_count {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
    };
    using retry_count_table = std::map<std::string, retry_count, std::less<>>;
    retry_count_table retry_counts() const;
    /// How many backend servers of each service requests may go to.
    std::unordered_map<service_id, std::size_t> backend_server_counts() const;
    /// What callers experienced so far.
    const request_metrics& metrics() const { return metrics_; }
    /// A planned stop has begun: what is open at `last_answer` gets an honest answer then.
    void begin_stop(time_point answer_deadline) { stop_.begin(answer_deadline); }
    /// Takes over who stands where.
    void set_directory(const member_directory& directory);
    /// Whether the link to a gate works, as a probe has found.
    void set_gate_reachable(vm_id gate, bool reachable);

private:
    struct request_progress;
    struct attempt_context;

    std::optional<refusal_answer> check_rate_limit(const admitted_request& request) const;
    std::optional<refusal_answer> admit(const caller_head& head, time_point now,
                                        admitted_request& out);
    static refusal body_failure_reason(const admitted_request& request);
    std::optional<refusal_answer> authenticate(const caller_head& head,
                                               admitted_request& out) const;
    void refuse(httplib::Response& res, const refusal_answer& it) const;
    void serve(const caller_head& head, httplib::Response& res,
               const httplib::ContentReader* reader);
    void forward(admitted_request& request, const message_head& head, httplib::Response& res,
                 const httplib::ContentReader* reader);
    bool claim_idempotency_key(admitted_request& request, const message_head& head,
                               const std::string& body, httplib::Response& res,
                               std::unique_ptr<once_hold>& hold);
    std::optional<refusal_answer> try_servers(const admitted_request& request,
                                              const message_head& head, const std::string& body,
                                              const httplib::ContentReader* reader, once_hold* hold,
                                              httplib::Response& res);
    std::optional<route_choice> choose_server(const admitted_request& request,
                                              const search_step& step);
    std::optional<route_choice> choose_next_server(const admitted_request& request,
                                                   server_search& search);
    bool is_gate_alive(const admitted_request& request, const route_choice& choice);
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
    void deliver(const admitted_request& request, const dispatch_attempt& it,
                 const message_head& head, httplib::Response& res);
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
    std::unordered_map<vm_id, time_point> gate_last_response_; ///< the last sign of each
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace jasminebank
