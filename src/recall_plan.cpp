#include "recall_plan.h"

#include <algorithm>

namespace jasminebank {

std::vector<member_record> recall_plan::candidates(const member_directory& directory,
                                                   bool started_earlier) const
{
    std::vector<member_record> out;
    for (const member_record& it : directory.members()) {
        if (it.vm != options_.self && it.run < options_.run == started_earlier &&
            !asked_.contains(it.vm))
            out.push_back(it);
    }
    std::sort(out.begin(), out.end(), [](const member_record& a, const member_record& b) {
        return a.run != b.run ? a.run < b.run : a.vm < b.vm;
    });
    return out;
}

// Runs are compared by the clocks of different VMs, so all may seem to have started later.
std::vector<member_record> recall_plan::next_peers(const member_directory& directory)
{
    std::vector<member_record> out = candidates(directory, true);
    if (out.empty() && pending_ + answers_ == 0)
        out = candidates(directory, false);
    const std::size_t open = std::min(options_.wanted_peers, answers_ + pending_);
    out.resize(std::min(out.size(), options_.wanted_peers - open));
    for (const member_record& it : out)
        asked_.insert(it.vm);
    pending_ += out.size();
    return out;
}

void recall_plan::finished(vm_id peer, bool answered)
{
    if (!asked_.contains(peer) || pending_ == 0)
        return;
    --pending_;
    answers_ += answered ? 1 : 0;
}

} // namespace jasminebank
