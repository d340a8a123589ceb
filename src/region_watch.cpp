#include "region_watch.h"

#include <algorithm>

namespace jasminebank {

void region_watch::set_config(const fleet_config& config, time_point now)
{
    const std::lock_guard lock(mutex_);
    named_ = config.region_names;
    report_from_ = now + region_report_delay;
    unreported_.clear();
    for (const auto& [id, name] : named_)
        unreported_.push_back(name);
}

void region_watch::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    node_domains_.clear();
    for (const member_record& it : directory.members())
        node_domains_.push_back(it.domain);
}

std::map<std::string, std::size_t> region_watch::count_nodes() const
{
    std::map<std::string, std::size_t> out;
    for (const auto& [id, name] : named_)
        out[name] = 0;
    for (const failure_domain_id domain : node_domains_) {
        const auto region = regions_.region_of(domain);
        const auto named = region ? named_.find(*region) : named_.end();
        if (named != named_.end())
            ++out[named->second];
    }
    return out;
}

std::vector<std::string> region_watch::new_absentees(time_point now)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> out;
    if (now < report_from_ || unreported_.empty())
        return out;
    const auto counts = count_nodes();
    std::ranges::copy_if(unreported_, std::back_inserter(out),
                         [&](const std::string& it) { return counts.at(it) == 0; });
    std::erase_if(unreported_, [&](const std::string& it) { return counts.at(it) == 0; });
    return out;
}

std::map<std::string, std::size_t> region_watch::node_counts() const
{
    const std::lock_guard lock(mutex_);
    return count_nodes();
}

} // namespace jasminebank
