#include "member_directory.h"

#include <algorithm>

namespace jasminebank {

// Removed nodes are remembered so that a delayed copy of a record does not add them again.
constexpr std::size_t max_tombstones = 4096;
// Nodes whose earlier runs had withdrawals.
constexpr std::size_t max_former_nodes = 4096;

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

// The digest of a directory is the sum of these hashes, so changing one record costs a subtraction
// and an addition.
static std::uint64_t hash_of(const member_record& it)
{
    return mix(mix(it.vm.value, it.run.value), it.version);
}

template <class Members>
static auto find_position(Members& members, vm_id vm)
{
    return std::lower_bound(members.begin(), members.end(), vm,
                            [](const member_record& a, vm_id b) { return a.vm < b; });
}

bool member_directory::merge(const member_record& it)
{
    const record_stamp* removed = find_tombstone(it.vm);
    if (removed != nullptr && !is_newer(stamp_of(it), *removed))
        return false;
    const auto position = find_position(members_, it.vm);
    if (position == members_.end() || position->vm != it.vm) {
        members_.insert(position, it);
    }
    else {
        if (!is_newer(stamp_of(it), stamp_of(*position)))
            return false;
        digest_ -= hash_of(*position);
        if (it.run != position->run)
            keep_withdrawals(*position);
        *position = it;
    }
    digest_ += hash_of(it);
    ++change_count_;
    return true;
}

// A delayed suspicion of an old version must not remove the node if it has a newer one.
bool member_directory::remove(const record_stamp& stamp)
{
    const auto position = find_position(members_, stamp.vm);
    if (position == members_.end() || position->vm != stamp.vm ||
        is_newer(stamp_of(*position), stamp))
        return false;
    std::erase_if(tombstones_, [&](const record_stamp& it) { return it.vm == stamp.vm; });
    if (tombstones_.size() >= max_tombstones)
        tombstones_.erase(tombstones_.begin());
    tombstones_.push_back(stamp_of(*position));
    digest_ -= hash_of(*position);
    keep_withdrawals(*position);
    members_.erase(position);
    ++change_count_;
    return true;
}

void member_directory::keep_withdrawals(const member_record& it)
{
    if (it.withdrawn.empty())
        return;
    if (withdrawn_.size() >= max_former_nodes && !withdrawn_.contains(it.vm))
        withdrawn_.erase(withdrawn_.begin());
    withdrawn_[it.vm].merge(it.withdrawn);
}

withdrawal_list member_directory::withdrawals_before(vm_id vm, incarnation run) const
{
    withdrawal_list out;
    if (const auto it = withdrawn_.find(vm); it != withdrawn_.end())
        out = it->second;
    const member_record* present = find(vm);
    if (present != nullptr && present->run < run)
        out.merge(present->withdrawn);
    return out;
}

const record_stamp* member_directory::find_tombstone(vm_id vm) const
{
    const auto it = std::find_if(tombstones_.begin(), tombstones_.end(),
                                 [vm](const record_stamp& a) { return a.vm == vm; });
    return it == tombstones_.end() ? nullptr : &*it;
}

const member_record* member_directory::find(vm_id vm) const
{
    const auto position = find_position(members_, vm);
    return position != members_.end() && position->vm == vm ? &*position : nullptr;
}

} // namespace jasminebank
