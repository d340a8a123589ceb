#pragma once

// How many retries an organisation may have sent to a service: a share of its recent successes and
// a small floor. Under overload, and when the deadline leaves no time, none.

#include "rate_contract.h"
#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminebank {

/// Settings of the retry budgets.
struct retry_budget_options {
    double share = 0.1;       ///< retries for each recent success
    double floor_retries = 2; ///< recent retries that are allowed without any success
    duration recent = std::chrono::seconds(10); ///< the sliding window in which both are counted
    std::size_t max_entries = 4096; ///< organisations times services; the least used go first
};

/// Part of the fleet's bound on retries that is used: what a request that runs again asks of other
/// services counts there as retries, too, and is not foreseen.
constexpr double usable_share_of_retry_bound = 0.8;
/// The same of the retries that all nodes share, which are handed out one by one.
struct shared_retry_options {
    double retries = 0; ///< that the fleet may send to a service in each window; 0: none are shared
    duration window = std::chrono::seconds(10);
};
/// The name under which the limits hand out the retries that all nodes share for a service.
organisation_id shared_retry_limit_of(service_id service);
/// Their rate and burst: in each window no more than the part of the bound that is used.
rate_contract shared_retry_contract(service_id service, const shared_retry_options& options);

enum class retry_decision : std::uint8_t {
    granted,
    over_budget,
    overloaded,
    past_deadline, ///< the deadline leaves less than the expected service time
};

/// A retry that somebody wants to send.
struct retry_request {
    organisation_id organisation;
    service_id service;
    time_point deadline;
    duration expected_time{};
    bool overloaded = false; ///< the service sheds load or its slots are full
};

/// Budgets by organisation and service. In every window of `recent`, at most the share of the
/// successes and the floor.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options = {});

    void on_success(organisation_id organisation, service_id service, time_point now);
    /// Counts the retry when it is granted.
    retry_decision request_retry(const retry_request& it, time_point now);

private:
    // The window in equal parts. Retries are counted in one part more than successes, so
    // that a window that begins within a part holds no more than it may.
    static constexpr std::size_t window_parts = 20;
    struct window_part {
        std::int64_t number = -1; // since the clock's beginning
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
