#pragma once

// Faults of the stand-in for the store, and the rate limit of the platform.

#include "types.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// What a store that is down does with a call.
enum class outage : std::uint8_t {
    none,
    refuse, ///< breaks the connection at once
    hang,   ///< keeps it open without an answer
};

struct store_faults {
    outage down = outage::none;
    duration slow{};                     ///< before each call
    std::uint32_t lose_answers = 0;      ///< transactions still to be done without an answer
    std::int64_t stale_revisions = 0;    ///< reads answer as of so many revisions ago
    std::uint32_t writes_per_second = 0; ///< 0 is no limit
    std::uint32_t reads_per_second = 0;  ///< 0 is no limit
};

/// Changes to make, read from JSON: members of the same names as above, `slow` as `slow_ms`, `down`
/// as "none", "refuse" or "hang", and `lapse_leases` true to end every lease.
struct fault_change {
    store_faults faults;
    bool lapse_leases = false;
};

/// Members that are left out stay as in `now`. Nothing if a member is unknown or of a wrong form.
std::optional<fault_change> read_fault_change(std::string_view json, const store_faults& now);

/// Token bucket that holds a tenth of a second's calls, at least one.
class call_rate_limiter {
public:
    /// False if the call is above `rate` a second.
    bool admit(std::uint32_t rate, time_point now);

private:
    double tokens_ = 0;
    time_point last_refill_;
};

} // namespace jasminebank
