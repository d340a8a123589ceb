#include "base64.h"

#include <openssl/evp.h>

#include <limits>

namespace jasminebank {

static constexpr std::size_t group_bytes = 3;
static constexpr std::size_t group_letters = 4;

static const unsigned char* unsigned_data(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string to_base64(std::string_view bytes)
{
    const std::size_t groups = (bytes.size() + group_bytes - 1) / group_bytes;
    // One extra byte, since EVP_EncodeBlock appends a zero byte.
    std::string out(groups * group_letters + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                  unsigned_data(bytes), static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

// EVP_DecodeBlock decodes padding as zero bits and skips surrounding white space, so this function
// checks both itself.
std::optional<std::string> from_base64(std::string_view text)
{
    if (text.empty())
        return std::string();
    constexpr auto limit = static_cast<std::size_t>(std::numeric_limits<int>::max());
    if (text.size() % group_letters != 0 || text.size() > limit)
        return std::nullopt;
    const std::size_t letters = text.find_last_not_of('=') + 1;
    const std::size_t padding = text.size() - letters;
    if (padding >= group_bytes || text.find_first_of("= \t\r\n") < letters)
        return std::nullopt;
    std::string out(text.size() / group_letters * group_bytes, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()), unsigned_data(text),
                                  static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    out.resize(static_cast<std::size_t>(n) - padding);
    return out;
}

} // namespace jasminebank
