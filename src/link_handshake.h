#pragma once

// The proof that both ends of a new link hold the fleet key, in one round trip before the first
// request. Each end gives a fresh nonce; each proof covers both nonces and both identities, so that
// it can be neither replayed nor reflected.
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

/// Which end of a link a process is.
enum class link_end : std::uint8_t { connecting, accepting };

/// Size of a proof, as hexadecimal digits.
constexpr std::size_t proof_bytes = 2 * digest_bytes;

/// One end's part of one handshake.
class link_handshake {
public:
    link_handshake(link_end end, link_identity self, std::string fleet_key);

    /// Connecting end, first: the head that introduces it.
    message_head introduce();
    /// Accepting end: the head that answers an introduction; nothing if that is malformed.
    std::optional<message_head> answer(const message_head& introduction);
    /// Connecting end: its proof, if the peer's holds; nothing otherwise.
    std::optional<std::string> prove(const message_head& answer);
    /// Accepting end: true if the peer's proof holds.
    bool accepts(std::string_view proof) const;

    /// The other end, as it calls itself; proved once `prove` or `accepts` has succeeded.
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
