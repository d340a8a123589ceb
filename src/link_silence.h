#pragma once

// Judges a link by how long its peer has been silent although an answer is due. A connection may go
// silent for good while new ones to the same peer work, so the judgement must not depend on single
// streams: those of control messages end before a silent peer could be told from a slow one.

#include "types.h"

#include <optional>

namespace jasminebank {

struct link_silence_options {
    duration ping_after{};   ///< without input while an answer is due
    duration doubt_after{};  ///< after a ping without input: the link takes no new streams
    duration ping_timeout{}; ///< after a ping without input: the link is dead
};

enum class silence_action : std::uint8_t { none, ping, close };

/// Not thread-safe.
class link_silence {
public:
    explicit link_silence(const link_silence_options& options) : options_(options) {}

    /// A stream was opened from this end, so the peer has to answer.
    void expect_answer(time_point now);
    /// Bytes have arrived from the peer.
    void received(time_point now);
    /// `has_streams`: whether any stream is open.
    silence_action step(bool has_streams, time_point now);
    /// Whether the peer has not answered a ping in time.
    bool is_doubtful() const { return is_doubtful_; }
    /// Whether an answer to a stream opened from this end is due, even if the stream has ended.
    bool is_expecting() const { return expecting_since_.has_value(); }

private:
    const link_silence_options options_;
    time_point last_received_{};
    std::optional<time_point> expecting_since_; ///< an answer, with nothing received since
    std::optional<time_point> pinged_at_;
    bool is_doubtful_ = false;
};

} // namespace jasminebank
