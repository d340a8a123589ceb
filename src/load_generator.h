#pragma once

// Load generator for trials and tests. By default it runs an open loop: requests are sent at
// scheduled times, whether or not earlier ones are answered, and latency is measured from the
// scheduled time. Each answer is checked to be complete and to belong to its request.

#include "answer_body.h"
#include "arrival_schedule.h"
#include "endpoint.h"
#include "latency_histogram.h"
#include "types.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jasminebank {

/// An organisation in whose name requests are sent.
struct load_organisation {
    std::string name;
    std::string key;         ///< sent as "Authorization: Bearer KEY"
    double weight = 1;       ///< share of the total rate
    double burst_factor = 1; ///< multiplies its rate in the middle third of the run
};

struct load_options {
    std::vector<endpoint> targets; ///< nodes; backend servers if `direct`
    /// Sends to backend servers without a node between: each request carries the name of the
    /// organisation instead of its key.
    bool direct = false;
    std::vector<load_organisation> organisations{};
    duration run_time = std::chrono::seconds(10);
    double rate = 184; ///< requests/s over all organisations
    std::string method = "GET";
    std::string path = "/";
    std::uint64_t answer_bytes = 256;
    std::uint64_t body_bytes = 0; ///< of each request
    bool chunked = false;         ///< requests chunked answers
    bool idempotency = false;     ///< sends a new Idempotency-Key with each request
    std::size_t connections = 64; ///< persistent connections, one thread each
    std::size_t closed_loop = 0;  ///< callers that each await the answer; 0: open loop
    duration timeout = std::chrono::seconds(10); ///< of each read and write
    std::uint64_t seed = 1;
    std::size_t max_recorded_requests = 1'000'000; ///< limit of load_report::requests
};

/// Result of a request.
enum class answer_kind : std::uint8_t {
    ok,      ///< complete, and the answer to this request
    refused, ///< the answer states that the request did not run
    failed,  ///< an error status, and the outcome is "ran" or missing
    unknown, ///< the answer states that the request may have run
    broken,  ///< no connection, or it failed before the answer was complete
    wrong,   ///< wrong content or length, contradictory outcome, or another request's answer
};
constexpr std::size_t answer_kinds = 6;
std::string_view name_of(answer_kind it);

/// Classification of one answer.
struct answer_verdict {
    answer_kind kind = answer_kind::ok;
    std::string reason; ///< empty when ok
};

/// Number of answers of one kind with the same reason.
struct reason_count {
    answer_kind kind = answer_kind::ok;
    std::string reason;
    std::uint64_t count = 0;
};

/// Counts and latencies of one organisation, or of all together.
struct organisation_figures {
    std::string name;
    std::uint64_t sent = 0;
    std::array<std::uint64_t, answer_kinds> counts{}; ///< by answer_kind
    std::vector<reason_count> reasons{}; ///< limited in number; further ones count as "other"
    latency_histogram latency{};         ///< of requests with kind ok
    latency_histogram other_latency{};   ///< of all other requests

    std::uint64_t count(answer_kind it) const { return counts[static_cast<std::size_t>(it)]; }
};

/// One request and its result, as its caller saw it.
struct sent_request {
    std::string id;
    std::size_t organisation = 0; ///< index into load_report::organisations
    answer_kind kind = answer_kind::ok;
};

/// Results of one run.
struct load_report {
    std::vector<organisation_figures> organisations;
    organisation_figures total;
    std::vector<sent_request> requests; ///< in no particular order
    bool requests_complete = true;      ///< false if max_recorded_requests was exceeded
    duration run_time{};
    /// Requests that were dropped because no connection became free within the timeout after their
    /// scheduled time.
    std::uint64_t unsent = 0;
    /// Longest delay of a sent request between its scheduled time and the moment when a connection
    /// was free for it.
    duration worst_lag{};
};

/// Performs one run. Thread-safe.
class load_generator {
public:
    explicit load_generator(load_options options);
    ~load_generator();

    /// Sends all requests and waits for their answers. Must be called only once.
    load_report run();
    /// Ends the run early. May be called from any thread.
    void stop();

private:
    struct caller_client;
    std::optional<arrival> next_arrival(std::size_t caller);
    void run_caller(std::size_t caller);
    void record(const sent_request& it, const answer_verdict& result, duration latency,
                duration lag);

    load_options options_;
    arrival_schedule schedule_;
    std::mutex mutex_; // protects schedule_, report_ and closed_loop_count_
    load_report report_;
    std::uint64_t closed_loop_count_ = 0;
    time_point start_{};
    std::uint64_t id_seed_ = 0;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminebank
