#pragma once

// What a gate knows of the work that one backend server takes, from the server's answers.

#include "server_notice.h"
#include "types.h"

namespace jasminebank {

/// Not thread-safe.
class notice_record {
public:
    /// Takes what an answer says that ended at `now`; its request was sent at `sent`. An answer
    /// without a limit lifts it only if its request was sent after the limit was last named:
    /// answers may overtake each other.
    void answered(const server_notice& it, time_point sent, time_point now);

    /// Requests a second that the server takes; nothing: no limit.
    std::optional<double> max_rate() const { return max_rate_; }

private:
    std::optional<double> max_rate_;
    time_point named_at_{}; // when the limit was last named
};

} // namespace jasminebank
