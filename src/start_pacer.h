#pragma once

// Paces the requests that are sent to one backend server to the rate that the server named.

#include "token_bucket.h"
#include "types.h"

#include <optional>

namespace jasminebank {

/// At most one second's requests, or one request, start at once; in every window of length t at
/// most rate * t more. Not thread-safe.
class start_pacer {
public:
    /// Sets the rate in requests a second; nothing: no limit. A new limit allows no request at
    /// once.
    void set_rate(std::optional<double> rate, time_point now);
    bool is_limited() const { return bucket_.has_value(); }
    /// Whether a request may start now.
    bool may_start(time_point now) const;
    /// Counts a started request.
    void started(time_point now);
    /// Time until `count` requests in a row may have started; zero without a limit.
    duration wait_for(std::size_t count, time_point now) const;

private:
    std::optional<token_bucket> bucket_; // nothing: no limit
};

} // namespace jasminebank
