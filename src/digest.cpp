#include "digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace jasminebank {

digest digest_of(std::string_view text)
{
    digest out;
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), out.bytes.data(), &n, EVP_sha256(), nullptr);
    return out;
}

bool same_digest(const digest& a, const digest& b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), digest_bytes) == 0;
}

std::string to_hex(const digest& it)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * digest_bytes);
    for (std::uint8_t byte : it.bytes) {
        out += digits[byte >> 4U];
        out += digits[byte & 0x0fU];
    }
    return out;
}

static int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<digest> digest_from_hex(std::string_view text)
{
    if (text.size() != 2 * digest_bytes)
        return std::nullopt;
    digest out;
    for (std::size_t n = 0; n < digest_bytes; ++n) {
        const int high = hex_value(text[2 * n]);
        const int low = hex_value(text[2 * n + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        out.bytes[n] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return out;
}

digest keyed_digest(std::string_view key, std::string_view text)
{
    digest out;
    unsigned int n = digest_bytes;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), out.bytes.data(), &n);
    return out;
}

} // namespace jasminebank
