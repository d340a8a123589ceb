#include "store_messages.h"

#include <cassert>
#include <limits>

namespace jasminebank {

// The end of the range is the prefix with its last byte incremented; trailing 0xff bytes cannot be
// incremented and are removed first.
store_key_range prefix_range(std::string prefix)
{
    assert(!prefix.empty());
    constexpr auto highest = std::numeric_limits<unsigned char>::max();
    std::string end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == highest)
        end.pop_back();
    assert(!end.empty());
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return {.key = std::move(prefix), .range_end = std::move(end)};
}

bool contains(const store_key_range& range, const std::string& key)
{
    if (range.range_end.empty())
        return key == range.key;
    return key >= range.key && key < range.range_end;
}

store_compare unchanged_since(std::string key, store_revision mod_revision)
{
    return {.key = std::move(key),
            .target = compare_target::mod_revision,
            .expected_revision = mod_revision,
            .expected_value = {}};
}

store_compare absent(std::string key)
{
    return {.key = std::move(key),
            .target = compare_target::create_revision,
            .expected_revision = 0,
            .expected_value = {}};
}

} // namespace jasminebank
