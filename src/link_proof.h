#pragma once

// The proof that both ends of a new link hold the fleet key. Each end gives a fresh nonce; each
// proof covers both nonces and both identities, so that neither can be replayed or reflected.

#include "digest.h"
#include "link_message.h"

#include <string>
#include <string_view>

namespace jasminebank {

/// The end that a proof speaks for.
enum class link_end : std::uint8_t { connecting, accepting };

/// What both ends know after one round trip.
struct link_introduction {
    std::string connecting_nonce; ///< 64 hexadecimal digits
    std::string accepting_nonce;  ///< 64 hexadecimal digits
    link_identity connecting;
    link_identity accepting;
};

/// 32 random bytes as hexadecimal digits.
std::string fresh_nonce();

/// The proof of one end, as hexadecimal digits.
std::string proof_of(link_end end, std::string_view fleet_key, const link_introduction& it);

/// Compares `text` with the proof expected of `end`, in constant time.
bool is_proof(std::string_view text, link_end end, std::string_view fleet_key,
              const link_introduction& it);

} // namespace jasminebank
