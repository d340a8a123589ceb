#include "config_source.h"

namespace jasminebank {

// Covers the reader of the own domain: its interval between two reads of the store, and the time
// for its news to spread. Well below the time within which a configuration has to be in force.
constexpr duration own_domain_wait = std::chrono::milliseconds(800);

bool config_source::may_fetch(std::uint64_t generation, std::uint64_t in_force, bool is_own_domain,
                              time_point now)
{
    if (generation <= in_force)
        return false;
    if (is_own_domain || in_force == 0)
        return true;
    if (!newer_since_ || in_force_ != in_force) {
        newer_since_ = now;
        in_force_ = in_force;
    }
    return now - *newer_since_ >= own_domain_wait;
}

} // namespace jasminebank
