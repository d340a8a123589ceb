#pragma once

// Callers for trials and tests. Requests arrive by a schedule that does not wait for answers,
// latency counts from the scheduled time, and each answer is checked: whole, and the answer to its
// request.

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

/// One tenant whose callers send requests.
struct load_organisation {
    std::string name;
    std::string key;         ///< shown as "Authorization: Bearer KEY"
    double weight = 1;       ///< share of the total rate
    double burst_factor = 1; ///< times its rate in the middle third of the run
};

struct load_options {
    std::vector<endpoint> targets; ///< nodes, or backend servers when `direct`
    /// Talks to backend servers themselves: no key is sent, the organisation is named instead.
    bool direct = false;
    std::vector<load_organisation> organisations{};
    duration run_time = std::chrono::seconds(10);
    double rate = 184; ///< requests a second in all
    std::string method = "GET";
    std::string path = "/";
    std::uint64_t answer_bytes = 256;
    std::uint64_t body_bytes = 0; ///< of the request
    bool chunked = false;         ///< asks for a chunked answer
    bool idempotency = false;     ///< sends an Idempotency-Key, a fresh one for each request
    std::size_t connections = 64; ///< kept connections, each with a thread
    std::size_t closed_loop = 0;  ///< callers that each send again on the answer; 0: open loop
    duration timeout = std::chrono::seconds(10); ///< for an answer to go on
    std::uint64_t seed = 1;
    std::size_t max_recorded_requests = 1'000'000; ///< in load_report::requests
};

/// What became of a request.
enum class answer_kind : std::uint8_t {
    ok,      ///< whole, and the answer to this request
    refused, ///< not run, says the answer
    failed,  ///< an honest error status
    unknown, ///< an honest "may have run"
    broken,  ///< the connection ended before the answer was whole
    wrong,   ///< an answer that looks whole but is not, or belongs to another request
};
constexpr std::size_t answer_kinds = 6;
std::string_view name_of(answer_kind it);

/// Verdict on one answer.
struct answer_verdict {
    answer_kind kind = answer_kind::ok;
    std::string reason; ///< empty when ok
};

/// How often one reason was met.
struct reason_count {
    answer_kind kind = answer_kind::ok;
    std::string reason;
    std::uint64_t count = 0;
};

/// Figures of one organisation, or of all.
struct organisation_figures {
    std::string name;
    std::uint64_t sent = 0;
    std::array<std::uint64_t, answer_kinds> counts{}; ///< by answer_kind
    std::vector<reason_count> reasons{};              ///< bounded; the rest counts as "other"
    latency_histogram latency{};                      ///< of answers that are ok
    latency_histogram other_latency{};                ///< of all the others

    std::uint64_t count(answer_kind it) const { return counts[static_cast<std::size_t>(it)]; }
};

/// One request and what its caller was told.
struct sent_request {
    std::string id;
    std::size_t organisation = 0; ///< index into load_report::organisations
    answer_kind kind = answer_kind::ok;
};

/// Figures of one run.
struct load_report {
    std::vector<organisation_figures> organisations;
    organisation_figures total;
    std::vector<sent_request> requests; ///< in no order
    bool requests_complete = true;      ///< false: `requests` was full and some are missing
    duration run_time{};
    /// Requests whose time came while all connections were busy for longer than the timeout.
    std::uint64_t unsent = 0;
    /// The most that a request was sent after its time, for want of a free connection.
    duration worst_lag{};
};

/// One run. Thread-safe.
class load_generator {
public:
    explicit load_generator(load_options options);
    ~load_generator();

    /// Sends all requests and waits for their answers; call it once.
    load_report run();
    /// Ends the run early, from another thread.
    void stop();

private:
    struct caller_client;
    std::optional<arrival> next_arrival(std::size_t caller);
    void run_caller(std::size_t caller);
    void record(const sent_request& it, const answer_verdict& result, duration latency,
                duration lag);

    load_options options_;
    arrival_schedule schedule_;
    std::mutex mutex_; // schedule and report
    load_report report_;
    std::uint64_t closed_loop_count_ = 0;
    time_point start_{};
    std::uint64_t id_seed_ = 0;
    std::atomic<bool> stopping_ = false;
};

} // namespace jasminebank
