#include "store_read_turn.h"

namespace jasminebank {

// Well above the time that a store contact takes to become known to all nodes, and, with the delay
// of a turn, well below the time after which API keys are refused.
constexpr duration max_store_contact_age = std::chrono::seconds(2);

bool must_read_store(const store_read_state& it)
{
    if (it.since_join < it.delay)
        return false;
    return it.is_watcher || !it.contact_age || *it.contact_age > max_store_contact_age + it.delay;
}

duration store_read_delay(vm_id vm)
{
    constexpr std::uint64_t turns = 1000;
    return std::chrono::milliseconds(mix(vm.value, 0) % turns);
}

} // namespace jasminebank
