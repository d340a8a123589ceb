#include "answer_body.h"

#include "types.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

answer_body::answer_body(std::string_view request_id, std::uint64_t size,
                         const digest& request_body)
    : seed_(hash_name(fmt::format("{} {} {}", size, to_hex(request_body), request_id))), size_(size)
{
}

// Each 16 characters are the digits of one word mixed from the seed and the word's number, so that
// neither a shift nor a swap of parts goes unseen.
char answer_body::at(std::uint64_t offset) const
{
    static constexpr char digits[] = "0123456789abcdef";
    constexpr std::uint64_t digits_a_word = 16;
    const std::uint64_t word = mix(seed_, offset / digits_a_word);
    return digits[(word >> (4U * (offset % digits_a_word))) & 0x0fU];
}

std::string answer_body::part(std::uint64_t offset, std::uint64_t length) const
{
    const std::uint64_t end = std::min(size_, offset + length);
    std::string out;
    for (std::uint64_t n = offset; n < end; ++n)
        out += at(n);
    return out;
}

bool answer_body::matches(std::uint64_t offset, std::string_view text) const
{
    if (offset + text.size() > size_)
        return false;
    for (std::uint64_t n = 0; n < text.size(); ++n) {
        if (text[n] != at(offset + n))
            return false;
    }
    return true;
}

} // namespace jasminebank
