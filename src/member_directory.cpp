#include "member_directory.h"

#include <algorithm>

namespace jasminebank {

bool is_newer(const member_record& a, const member_record& b)
{
    if (a.run != b.run)
        return a.run > b.run;
    return a.version > b.version;
}

template <class Members>
static auto place_of(Members& members, vm_id vm)
{
    return std::lower_bound(members.begin(), members.end(), vm,
                            [](const member_record& a, vm_id b) { return a.vm < b; });
}

bool member_directory::merge(const member_record& it)
{
    const auto place = place_of(members_, it.vm);
    if (place == members_.end() || place->vm != it.vm)
        members_.insert(place, it);
    else if (is_newer(it, *place))
        *place = it;
    else
        return false;
    ++changes_;
    return true;
}

// A late notice of an old run's death must not remove the run that took its place.
bool member_directory::remove(vm_id vm, incarnation run)
{
    const auto place = place_of(members_, vm);
    if (place == members_.end() || place->vm != vm || place->run > run)
        return false;
    members_.erase(place);
    ++changes_;
    return true;
}

const member_record* member_directory::find(vm_id vm) const
{
    const auto place = place_of(members_, vm);
    return place != members_.end() && place->vm == vm ? &*place : nullptr;
}

} // namespace jasminebank
