#pragma once

// What a gate knows of the work that one backend server takes, from the server's answers.

#include "announcement.h"
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

    /// Takes an announcement of the server, which says whether it is draining; `sequence` is its
    /// number, 0 if it has none. Announcements may arrive many seconds late, so a server that said
    /// it is leaving counts as staying only after it has announced the contrary for a longer time,
    /// and `max_late_announcements` times if they are numbered.
    void announced(bool is_draining, std::uint64_t sequence, time_point now);
    /// The server has withdrawn from the node.
    void withdrawn();

    bool is_leaving() const { return is_leaving_; }
    /// Requests a second that the server takes; nothing: no limit.
    std::optional<double> max_rate() const { return max_rate_; }

private:
    std::optional<double> max_rate_;
    time_point named_at_{}; // when the limit was last named
    bool is_leaving_ = false;
    std::optional<time_point> ready_since_; // announcements since then said that it stays
    std::uint64_t last_sequence_ = 0;       // of the announcements taken
    std::uint64_t leaving_sequence_ = 0;    // the last one when the server left; 0: not known
    bool has_answer_ = false;
};

} // namespace jasminebank
