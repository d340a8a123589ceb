#pragma once

// Mutual authentication of both ends of a new link with the shared fleet key, in one round trip
// before the first request. Each end sends a random nonce; each proof covers both nonces and both
// identities, so that it can be neither replayed nor reflected.
//
//   connecting end: identity, nonce            ->
//                                              <- accepting end: identity, nonce, proof
//   connecting end: proof, then its requests   ->

#include "digest.h"
#include "link_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// The two ends of a link: the one that opened the TCP connection and the one that accepted it.
enum class link_end : std::uint8_t { connecting, accepting };

/// Length of a proof in hexadecimal digits.
constexpr std::size_t proof_bytes = 2 * digest_bytes;

/// The state of one handshake at one of its ends.
class link_handshake {
public:
    link_handshake(link_end end, link_identity self, std::string fleet_key);

    /// Connecting end, first step: returns the request head with its identity and nonce.
    message_head introduce();
    /// Accepting end: returns the response head with its identity, nonce and proof, or nothing if
    /// the introduction is malformed.
    std::optional<message_head> answer(const message_head& introduction);
    /// Connecting end: returns its own proof if the peer's proof is valid, nothing otherwise.
    std::optional<std::string> prove(const message_head& answer);
    /// Accepting end: true if the proof of the connecting end is valid.
    bool accepts(std::string_view proof) const;

    /// The identity that the peer claims; authenticated once `prove` or `accepts` has succeeded.
    const link_identity& peer() const { return peer_; }

private:
    bool read_peer(const message_head& head);
    message_head own_head() const;
    std::string proof_of(link_end end) const;
    bool is_valid_proof(std::string_view text, link_end end) const;

    link_end end_;
    link_identity self_;
    link_identity peer_;
    std::string fleet_key_;
    std::string own_nonce_;
    std::string peer_nonce_;
};

} // namespace jasminebank
