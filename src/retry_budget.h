#pragma once

// How many retries an organisation may have sent to a service: a share of its recent successes and
// a small floor. Under overload, and when the deadline leaves no time, none.

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminebank {

/// Settings of the retry budgets.
struct retry_budget_options {
    double share = 0.1;       ///< retries for each recent success
    double floor_retries = 2; ///< recent retries that are allowed without any success
    duration recent = std::chrono::seconds(10); ///< time after which a request counts 1/e
    std::size_t max_entries = 4096; ///< organisations times services; the least used go first
};

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

/// Budgets by organisation and service. Each holds two counters that fade with time.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_options& options = {});

    /// Changes `floor_retries`, as when a floor of the fleet is shared by another number of nodes.
    void set_floor(double floor_retries) { options_.floor_retries = floor_retries; }
    void on_success(organisation_id organisation, service_id service, time_point now);
    /// Counts the retry when it is granted.
    retry_decision ask(const retry_request& it, time_point now);

private:
    struct entry {
        organisation_id organisation;
        service_id service;
        double successes = 0;
        double retries = 0;
        time_point updated;
    };

    entry& entry_of(organisation_id organisation, service_id service, time_point now);

    retry_budget_options options_;
    std::vector<entry> entries_; // sorted by organisation and service
};

} // namespace jasminebank
