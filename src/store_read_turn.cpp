#include "store_read_turn.h"

namespace jasminebank {

// Well above the time that a store contact takes to become known to all nodes, and, with the delay
// of a turn, well below the time after which API keys are refused.
constexpr duration max_store_contact_age = std::chrono::seconds(2);

std::string_view name_of(store_read_reason it)
{
    switch (it) {
    case store_read_reason::none:
        return "none";
    case store_read_reason::elected:
        return "elected";
    case store_read_reason::no_contact:
        return "no_contact";
    case store_read_reason::old_contact:
        return "old_contact";
    }
    return "";
}

store_read_reason reason_to_read_store(const store_read_state& it)
{
    if (it.since_join < it.delay)
        return store_read_reason::none;
    if (it.is_watcher)
        return store_read_reason::elected;
    if (!it.contact_age)
        return store_read_reason::no_contact;
    return *it.contact_age > max_store_contact_age + it.delay ? store_read_reason::old_contact
                                                              : store_read_reason::none;
}

bool must_read_store(const store_read_state& it)
{
    return reason_to_read_store(it) != store_read_reason::none;
}

duration store_read_delay(vm_id vm)
{
    constexpr std::uint64_t turns = 1000;
    return std::chrono::milliseconds(mix(vm.value, 0) % turns);
}

} // namespace jasminebank
