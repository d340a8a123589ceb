#include "link_options.h"

namespace jasminebank {

cut_direction cut_of(const link_context& context, const std::string& vm_name,
                     const std::string& address)
{
    if (const auto it = context.cuts.find(vm_name); it != context.cuts.end())
        return it->second;
    if (const auto it = context.cuts.find(address); it != context.cuts.end())
        return it->second;
    return cut_direction::none;
}

} // namespace jasminebank
