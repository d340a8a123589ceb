#include "store_read_turn.h"

#include <algorithm>

namespace jasminebank {

// Well above the time that a store contact takes to become known to all nodes, and, with the delay
// of a turn, well below the time after which API keys are refused.
constexpr duration max_store_contact_age = std::chrono::seconds(2);
// Above the age that a contact usually has when a node hears of it. The deputy then asks as well, a
// small call, in case the reader is cut off from the store or turned away by it.
constexpr duration deputy_contact_age = std::chrono::milliseconds(1200);
constexpr duration turn_spread = std::chrono::milliseconds(1500);
// Time for a peer that has a newer configuration to send it, compressed and often from the same
// domain. A node that waits for it has an old contact, too, but a read of its own would only
// compete with what it waits for.
constexpr duration peer_wait = std::chrono::seconds(1);

std::string_view name_of(store_read_reason it)
{
    switch (it) {
    case store_read_reason::none:
        return "none";
    case store_read_reason::elected:
        return "elected";
    case store_read_reason::no_contact:
        return "no_contact";
    case store_read_reason::deputy:
        return "deputy";
    case store_read_reason::old_contact:
        return "old_contact";
    }
    return "";
}

// The turns of a domain's nodes are spread over `turn_spread`, in the order of their ranks.
static duration turn_of(const store_read_state& it)
{
    const auto higher = static_cast<duration::rep>(it.rank.higher);
    const auto size = static_cast<duration::rep>(std::max<std::size_t>(it.rank.domain_size, 1));
    return std::max<duration>(it.delay, turn_spread * higher / size);
}

store_read_reason reason_to_read_store(const store_read_state& it)
{
    if (it.since_join < it.delay || (it.behind_for && *it.behind_for < peer_wait))
        return store_read_reason::none;
    if (it.is_watcher)
        return store_read_reason::elected;
    if (!it.contact_age)
        return it.since_join >= turn_of(it) ? store_read_reason::no_contact
                                            : store_read_reason::none;
    if (it.rank.higher == 1 && *it.contact_age > deputy_contact_age)
        return store_read_reason::deputy;
    return *it.contact_age > max_store_contact_age + turn_of(it) ? store_read_reason::old_contact
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
