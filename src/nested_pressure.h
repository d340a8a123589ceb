#pragma once

// Decides whether a gate may start new work on its backend server. While the nested requests that
// this server makes are refused, new work that depends on them would fail after it has held a slot,
// and it would take capacity from the services that are short of it. The node in front of the
// server is the entry of its nested requests and sees how they end. It does not see which run made
// which of them; work on routes whose runs do not fail meanwhile is not held back.
//
// Only new work is held back, never nested requests, so no two services can wait for each other to
// admit work. A part of the new work is always let through, since only its nested requests show
// that there is capacity again.

#include "types.h"

#include <cstddef>
#include <deque>

namespace jasminebank {

struct nested_pressure_options {
    duration window = std::chrono::seconds(1); ///< nested requests that ended within it count
    std::size_t min_ended = 3;                 ///< with fewer, no work is held back
    double hold_from = 0.25; ///< share of refused ones from which work is held back
    /// A route is held back if this share of its runs that ended within twice the window failed.
    double failed_from = 0.25;
    /// While work is held back, one request is let through per interval.
    duration let_through_interval = std::chrono::milliseconds(250);
};

/// The nested requests of one backend server. Not thread-safe.
class nested_pressure {
public:
    explicit nested_pressure(const nested_pressure_options& options = {});

    /// A nested request of the server ended; `refused`: it did not run, for lack of capacity.
    void ended(bool refused, time_point now);
    /// Share of the refused ones among those that ended within the window; 0 with too few.
    double refused_share(time_point now) const;
    /// A run of new work (not nested) on this route ended; `failed`: with an error.
    void run_ended(route_id route, bool failed, time_point now);
    /// Whether new work on this route is held back.
    bool holds(route_id route, time_point now) const;
    /// Whether a new request on this route may start. While the route is held back, true once per
    /// interval.
    bool admits_new_work(route_id route, time_point now);

private:
    struct ended_request {
        time_point at;
        bool refused = false;
    };
    struct ended_run {
        time_point at;
        route_id route;
        bool failed = false;
    };

    bool is_failing(route_id route, time_point now) const;

    nested_pressure_options options_;
    std::deque<ended_request> ended_; // oldest first
    std::deque<ended_run> runs_;      // oldest first
    time_point let_through_{};
};

} // namespace jasminebank
