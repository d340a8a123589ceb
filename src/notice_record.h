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

    /// Takes what another node was told by the same run of the server. Ignored once this record has
    /// an answer: that is newer, or as new.
    void reported(const server_notice& it);

    /// Counts a request that is sent to the server.
    void sent(time_point now);
    /// How many of the server's slots may be used. Until its first answer or report only one: the
    /// server may have named a limit to an earlier run of this node.
    std::uint32_t usable_slots(std::uint32_t slots, time_point now) const;

    /// Requests a second that the server takes; nothing: no limit.
    std::optional<double> max_rate() const { return max_rate_; }

private:
    std::optional<double> max_rate_;
    time_point named_at_{}; // when the limit was last named
    bool has_answer_ = false;
    bool has_report_ = false;
    std::optional<time_point> first_sent_;
};

} // namespace jasminebank
