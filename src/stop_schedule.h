#pragma once

// The steps of a planned stop, and how long a request may be waited for. A request ends by its
// answer, a refusal, its caller's leaving, its deadline, or the last answers of a node that stops;
// every wait for one is bounded by its `answer_limit`.

#include "types.h"

#include <algorithm>
#include <atomic>

namespace jasminebank {

/// When the steps of a planned stop are due.
struct stop_schedule {
    time_point accept_end;      ///< from here on no new request is taken
    time_point answer_deadline; ///< what is still open gets an honest answer
    time_point disconnect;      ///< connections that are still open are cut
    time_point end;             ///< the supervisor kills the process
};

/// Plans a stop that begins now and may take `grace` in all. New requests are taken for
/// `closing_grace`, but for half of the grace at most, so that they have the other half to end in.
stop_schedule plan_stop(time_point now, duration grace, duration closing_grace);

/// When a node gives its last answers. Thread-safe.
class stop_deadline {
public:
    /// Begins a stop; a later call changes nothing.
    void begin(time_point answer_deadline);
    bool has_begun() const { return answer_deadline() != time_point::max(); }
    /// The end of time while no stop has begun.
    time_point answer_deadline() const { return answer_deadline_; }

private:
    std::atomic<time_point> answer_deadline_ = time_point::max();
};

/// Until when one request is waited for: its deadline, or the last answers of its node if they come
/// first. A stop may begin while a wait goes on, so waits ask again in short steps.
class answer_limit {
public:
    answer_limit(time_point deadline, const stop_deadline& stop) : deadline_(deadline), stop_(stop)
    {
    }

    time_point until() const { return std::min(deadline_, stop_.answer_deadline()); }
    /// Whether the end is due to the stop rather than to the deadline.
    bool is_due_to_stop() const { return stop_.answer_deadline() < deadline_; }

private:
    time_point deadline_;
    const stop_deadline& stop_;
};

} // namespace jasminebank
