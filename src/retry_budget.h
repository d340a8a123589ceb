#pragma once

// Limits the retries that an organisation may send to a service: to a share of its recent successes
// plus a small minimum. No retry is granted under overload or when the deadline leaves too little
// time. The entry keeps one budget per service and passes an empty organisation.

#include "rate_contract.h"
#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminebank {

/// Settings of the retry budgets.
struct retry_budget_options {
    double share = 0.1;       ///< retries allowed for each recent success
    double floor_retries = 2; ///< recent retries allowed without any success
    duration window_length = std::chrono::seconds(10); ///< sliding window of both counts
    std::size_t max_entries = 4096; ///< organisation-service pairs; evicts the least recently used
};

/// Share of the fleet's bound on retries (`shared_retry_options::retries`) that is granted. The
/// rest is left for the requests that a retried request sends to other services: they count as
/// retries there, and their number is not known in advance.
constexpr double usable_share_of_retry_bound = 0.8;
/// Settings of the retries that all nodes share. Each is granted as a token of a rate limit.
struct shared_retry_options {
    double retries = 0; ///< that the fleet may send to a service per window; 0: none are shared
    duration window = std::chrono::seconds(10);
};
/// The organisation id under which the rate limits account for the shared retries of a service.
organisation_id shared_retry_limit_of(service_id service);
/// Rate and burst of the shared retries of a service: in each window at most the usable share of
/// the bound.
rate_contract shared_retry_contract(service_id service, const shared_retry_options& options);

enum class retry_decision : std::uint8_t {
    granted,
    over_budget,
    overloaded,
    past_deadline, ///< the deadline leaves less than the expected service time
};

/// A retry for which permission is requested.
struct retry_request {
    organisation_id organisation;
    service_id service;
    time_point deadline;
    duration expected_time{};
    bool overloaded = false; ///< the service sheds load or its slots are full
};

/// Retry budgets by organisation and service. In every window of length `window_length`, the
/// granted retries are at most `share` times the successes plus `floor_retries`.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options = {});

    void on_success(organisation_id organisation, service_id service, time_point now);
    /// Decides on a retry, and counts it if it is granted.
    retry_decision request_retry(const retry_request& it, time_point now);

private:
    // The window is divided into equal parts. Retries are counted over one part more than
    // successes, so that the bound also holds in windows that begin within a part.
    static constexpr std::size_t window_parts = 20;
    struct window_part {
        std::int64_t number = -1; // counted from the epoch of the clock
        std::uint32_t successes = 0;
        std::uint32_t retries = 0;
    };
    struct entry {
        organisation_id organisation;
        service_id service;
        std::array<window_part, window_parts + 1> window{};
        time_point updated;
    };

    window_part& current_part(entry& it, time_point now) const;
    bool allows_retry(entry& it, time_point now) const;

    entry& find_or_add(organisation_id organisation, service_id service, time_point now);

    retry_budget_options options_;
    std::vector<entry> entries_; // sorted by organisation and service
};

} // namespace jasminebank
