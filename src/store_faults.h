#pragma once

// Injectable faults of the stand-in stores, including the rate limit of the platform.

#include "types.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// How an unavailable store treats calls.
enum class outage : std::uint8_t {
    none,
    refuse, ///< closes the connection immediately
    hang,   ///< keeps the connection open and never answers
};

struct store_faults {
    outage down = outage::none;
    duration slow{};                     ///< delay before each call
    std::uint32_t lose_answers = 0;      ///< number of next transactions applied without an answer
    std::int64_t stale_revisions = 0;    ///< reads return the state of this many revisions ago
    std::uint32_t writes_per_second = 0; ///< 0 is no limit
    std::uint32_t reads_per_second = 0;  ///< 0 is no limit
};

/// A change of the faults, read from a JSON object. Its members have the names of the fields of
/// `store_faults`, but `slow` is given as `slow_ms` in milliseconds; `down` is "none", "refuse" or
/// "hang"; `lapse_leases` set to true ends all leases.
struct fault_change {
    store_faults faults;
    bool lapse_leases = false;
};

/// Members absent from `json` keep their value from `now`. Returns nullopt if the text is not an
/// object, or a member is unknown or has an invalid value.
std::optional<fault_change> read_fault_change(std::string_view json, const store_faults& now);

/// Token bucket with a burst of a tenth of a second's calls, at least one.
class call_rate_limiter {
public:
    /// Returns false if the call exceeds `rate` per second; a rate of 0 admits every call.
    bool admit(std::uint32_t rate, time_point now);

private:
    double tokens_ = 0;
    time_point last_refill_;
};

} // namespace jasminebank
