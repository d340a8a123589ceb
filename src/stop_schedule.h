#pragma once

// The schedule of a planned stop, and the time limit of waits for a request. A request ends with
// its answer, a refusal, the disconnection of its caller, its deadline, or the answer deadline of a
// stopping node; every wait for a request is bounded by an `answer_limit`.

#include "types.h"

#include <algorithm>
#include <atomic>

namespace jasminebank {

/// The times of the steps of a planned stop.
struct stop_schedule {
    time_point accept_end;      ///< requests that are not complete yet are refused from here on
    time_point answer_deadline; ///< requests that are still open are answered with their state
    time_point disconnect;      ///< connections that are still open are closed
    time_point end;             ///< the supervisor kills the process
};

/// Plans a stop that begins at `now` and ends after `grace`. New requests are accepted for
/// `closing_grace`, but for at most half of `grace`, which leaves them the other half to complete.
stop_schedule plan_stop(time_point now, duration grace, duration closing_grace);

/// The times of a planned stop of this node that bind its requests. Thread-safe.
class stop_deadline {
public:
    /// Begins a stop; later calls have no effect.
    void begin(const stop_schedule& plan);
    /// Whether a request that has arrived completely by `now` may still be served.
    bool accepts(time_point now) const { return now < accept_end_.load(); }
    bool has_begun() const { return answer_deadline() != time_point::max(); }
    /// `time_point::max()` until a stop begins.
    time_point answer_deadline() const { return answer_deadline_; }

private:
    std::atomic<time_point> accept_end_ = time_point::max();
    std::atomic<time_point> answer_deadline_ = time_point::max();
};

/// The time limit of waits for one request: its deadline or the answer deadline of its node,
/// whichever is earlier. A stop may begin during a wait, so waits check the limit at short
/// intervals.
class answer_limit {
public:
    answer_limit(time_point deadline, const stop_deadline& stop) : deadline_(deadline), stop_(stop)
    {
    }

    time_point until() const { return std::min(deadline_, stop_.answer_deadline()); }
    /// Returns whether the limit is set by the stop and not by the request's deadline.
    bool is_due_to_stop() const { return stop_.answer_deadline() < deadline_; }

private:
    time_point deadline_;
    const stop_deadline& stop_;
};

} // namespace jasminebank
