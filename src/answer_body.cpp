#include "answer_body.h"

#include "types.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

constexpr std::uint64_t digits_per_word = 16;

answer_body::answer_body(std::string_view request_id, std::uint64_t size,
                         const digest& request_body)
    : seed_(hash_name(fmt::format("{} {} {}", size, to_hex(request_body), request_id))), size_(size)
{
}

// Each 16 characters are the hexadecimal digits of one word, mixed from the seed and the word's
// index, so that shifted and swapped parts are detected.
std::uint64_t answer_body::word(std::uint64_t offset) const
{
    return mix(seed_, offset / digits_per_word);
}

std::string answer_body::part(std::uint64_t offset, std::uint64_t length) const
{
    static constexpr char digits[] = "0123456789abcdef";
    constexpr std::uint64_t bits_per_digit = 4;
    const std::uint64_t end = std::min(size_, offset + length);
    std::string out;
    out.reserve(offset < end ? end - offset : 0);
    std::uint64_t bits = word(offset) >> (bits_per_digit * (offset % digits_per_word));
    for (std::uint64_t n = offset; n < end; ++n) {
        if (n % digits_per_word == 0)
            bits = word(n);
        out += digits[bits & 0x0fU];
        bits >>= bits_per_digit;
    }
    return out;
}

bool answer_body::matches(std::uint64_t offset, std::string_view text) const
{
    return offset + text.size() <= size_ && part(offset, text.size()) == text;
}

} // namespace jasminebank
