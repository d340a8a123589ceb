#include "link_proof.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <cassert>

namespace jasminebank {

std::string fresh_nonce()
{
    digest it;
    const int done = RAND_bytes(it.bytes.data(), static_cast<int>(it.bytes.size()));
    assert(done == 1 && "no random numbers");
    static_cast<void>(done);
    return to_hex(it);
}

// Lengths go before the names, so that no two introductions give the same text.
std::string proof_of(link_end end, std::string_view fleet_key, const link_introduction& it)
{
    const std::string text =
        fmt::format("jasminebank link {} {} {} {}:{} {} {}:{} {}", static_cast<int>(end),
                    it.connecting_nonce, it.accepting_nonce, it.connecting.vm_name.size(),
                    it.connecting.vm_name, it.connecting.run.value, it.accepting.vm_name.size(),
                    it.accepting.vm_name, it.accepting.run.value);
    return to_hex(keyed_digest(fleet_key, text));
}

bool is_proof(std::string_view text, link_end end, std::string_view fleet_key,
              const link_introduction& it)
{
    const auto given = digest_from_hex(text);
    const auto expected = digest_from_hex(proof_of(end, fleet_key, it));
    return given && expected && same_digest(*given, *expected);
}

} // namespace jasminebank
