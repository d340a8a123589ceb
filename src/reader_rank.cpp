#include "reader_rank.h"

#include <map>

namespace jasminebank {

// Differs from the salts of other rankings, so that one node does not get all roles.
constexpr std::uint64_t reader_salt = 0x77617463;

static bool comes_before(const member_record& a, const member_record& b)
{
    if (a.link_rate != b.link_rate)
        return a.link_rate > b.link_rate;
    return mix(a.vm.value, reader_salt) > mix(b.vm.value, reader_salt);
}

reader_rank rank_reader(std::span<const member_record> members, const member_record& self)
{
    reader_rank out;
    for (const member_record& it : members) {
        if (it.domain != self.domain || it.leaving || it.vm == self.vm)
            continue;
        ++out.domain_size;
        out.higher += comes_before(it, self) ? 1 : 0;
    }
    return out;
}

std::vector<const member_record*>
first_reader_of_each_other_domain(std::span<const member_record> members, const member_record& self)
{
    std::map<failure_domain_id, const member_record*> first;
    for (const member_record& it : members) {
        if (it.domain == self.domain || it.leaving)
            continue;
        const member_record*& best = first[it.domain];
        if (best == nullptr || comes_before(it, *best))
            best = &it;
    }
    std::vector<const member_record*> out;
    out.reserve(first.size());
    for (const auto& [domain, it] : first)
        out.push_back(it);
    return out;
}

} // namespace jasminebank
