#include "store_era.h"

namespace jasminebank {

// Time for the operators to write again what the store has lost. Well below the time for which
// earlier reads remain a proof that the configuration in force is the newest.
constexpr duration settle_time = std::chrono::seconds(1);

bool store_era::observe(std::uint64_t era, time_point now)
{
    const bool is_restored = era_ && era > *era_;
    if (!era_ || is_restored)
        era_ = era;
    if (is_restored)
        restored_at_ = now;
    return is_restored;
}

bool store_era::is_settled(time_point now) const
{
    return !restored_at_ || now - *restored_at_ >= settle_time;
}

} // namespace jasminebank
