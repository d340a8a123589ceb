#include "member_directory.h"

#include <algorithm>

namespace jasminebank {

// Removed nodes are remembered so that late news of them does not bring them back.
constexpr std::size_t most_removed = 4096;

record_stamp stamp_of(const member_record& it)
{
    return {.vm = it.vm, .run = it.run, .version = it.version};
}

bool is_newer(const record_stamp& a, const record_stamp& b)
{
    if (a.run != b.run)
        return a.run > b.run;
    return a.version > b.version;
}

// A sum of hashes, so that a change of one record is two additions.
static std::uint64_t hash_of(const member_record& it)
{
    return mix(mix(it.vm.value, it.run.value), it.version);
}

template <class Members>
static auto place_of(Members& members, vm_id vm)
{
    return std::lower_bound(members.begin(), members.end(), vm,
                            [](const member_record& a, vm_id b) { return a.vm < b; });
}

bool member_directory::merge(const member_record& it)
{
    const record_stamp* removed = find_removed(it.vm);
    if (removed != nullptr && !is_newer(stamp_of(it), *removed))
        return false;
    const auto place = place_of(members_, it.vm);
    if (place == members_.end() || place->vm != it.vm) {
        members_.insert(place, it);
    }
    else {
        if (!is_newer(stamp_of(it), stamp_of(*place)))
            return false;
        digest_ -= hash_of(*place);
        *place = it;
    }
    digest_ += hash_of(it);
    ++changes_;
    return true;
}

// A late notice of an old edition's death must not remove the one that took its place.
bool member_directory::remove(const record_stamp& stamp)
{
    const auto place = place_of(members_, stamp.vm);
    if (place == members_.end() || place->vm != stamp.vm || is_newer(stamp_of(*place), stamp))
        return false;
    std::erase_if(removed_, [&](const record_stamp& it) { return it.vm == stamp.vm; });
    if (removed_.size() >= most_removed)
        removed_.erase(removed_.begin());
    removed_.push_back(stamp_of(*place));
    digest_ -= hash_of(*place);
    members_.erase(place);
    ++changes_;
    return true;
}

const record_stamp* member_directory::find_removed(vm_id vm) const
{
    const auto it = std::find_if(removed_.begin(), removed_.end(),
                                 [vm](const record_stamp& a) { return a.vm == vm; });
    return it == removed_.end() ? nullptr : &*it;
}

const member_record* member_directory::find(vm_id vm) const
{
    const auto place = place_of(members_, vm);
    return place != members_.end() && place->vm == vm ? &*place : nullptr;
}

} // namespace jasminebank
