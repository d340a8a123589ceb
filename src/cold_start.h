#pragma once

// Limits the requests that are sent to one backend server while it may be cold. A cold server
// tolerates few requests a second and crashes at a rate well above that. Its announcements say that
// it is cold only after a delay, so a server that is not known to be cold is limited as well.

#include "types.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace jasminebank {

/// What a cold backend server tolerates above the rate of its service: `rate * over + slack`
/// requests in any second, over all nodes.
struct cold_start_tolerance {
    double over = 1;
    double slack = 0; ///< requests
};

/// Most starts in any second. The default allows none, which holds while the configuration of the
/// service is not known.
struct cold_start_bounds {
    std::size_t cold = 0; ///< while the server is known to be cold; at most `warm`
    std::size_t warm = 0; ///< otherwise
    duration warm_up{};   ///< after a cold phase the bound grows from `cold` to `warm` in this time
};

/// Bounds of a service whose cold backend servers take `rate` requests a second (above 0) and stay
/// cold for `warm_up`. Each bound is at least 1.
cold_start_bounds cold_start_bounds_for(double rate, duration warm_up,
                                        const cold_start_tolerance& tolerance);

/// Counts the starts of one backend server in a sliding window over their times. The window is a
/// second, plus a margin for the time that a request takes from its start to the server. Counts
/// also while there are no bounds, so that they hold at once when they are set. A time before the
/// last start counts as that of the last start. Not thread-safe.
class cold_start_limit {
public:
    /// Sets the bounds; nothing: no limit.
    void set_bounds(const std::optional<cold_start_bounds>& bounds) { bounds_ = bounds; }
    bool is_limited() const { return bounds_.has_value(); }
    /// The gate learned of the backend server. It may have been sent requests just before, through
    /// an earlier run of this gate or another gate, so nothing starts until these have left the
    /// window.
    void met(time_point now);
    /// The backend server announced that it stays cold for `warm_up`; 0: it is not cold.
    void announced(duration warm_up, time_point now);
    /// Treats the backend server as cold for the warm-up time of its service at least, until the
    /// next announcement.
    void assume_cold(time_point now);

    /// Whether a request may start now.
    bool may_start(time_point now) const { return wait_for(1, now) == duration::zero(); }
    /// Counts a started request.
    void started(time_point now);
    /// Time until `count` requests in a row (at least 1) may have started; zero without a limit. An
    /// upper bound while the limit grows.
    duration wait_for(std::size_t count, time_point now) const;

    /// Most starts in the window at this time; nothing: no limit.
    std::optional<std::size_t> limit(time_point now) const;
    /// Rest of the cold phase that was announced or assumed; zero if the backend server is not
    /// known to be cold.
    duration cold_left(time_point now) const;
    /// Starts in the window, as a share of the limit. 0 if there is no limit, or if it has grown to
    /// that of a warm server.
    double cold_load(time_point now) const;

private:
    std::size_t first_in_window(time_point now) const;

    std::optional<cold_start_bounds> bounds_;
    std::optional<time_point> cold_until_; // end of the last cold phase, if there was one
    time_point opens_{};                   // nothing starts before
    std::deque<time_point> starts_;        // ascending; those in the window of the last start
};

} // namespace jasminebank
