#include "link_handshake.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <cassert>
#include <charconv>
#include <utility>

namespace jasminebank {

constexpr std::size_t max_vm_name_bytes = 255;

// 32 random bytes as hexadecimal digits.
static std::string random_nonce()
{
    digest it;
    const int done = RAND_bytes(it.bytes.data(), static_cast<int>(it.bytes.size()));
    assert(done == 1 && "no random numbers");
    static_cast<void>(done);
    return to_hex(it);
}

static std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t out = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, out);
    if (ec != std::errc{} || rest != end)
        return std::nullopt;
    return out;
}

link_handshake::link_handshake(link_end end, link_identity self, std::string fleet_key)
    : end_(end), self_(std::move(self)), fleet_key_(std::move(fleet_key)),
      own_nonce_(random_nonce())
{
}

message_head link_handshake::own_head() const
{
    message_head out;
    out.fields = {{"vm", self_.vm_name},
                  {"incarnation", fmt::format("{}", self_.run.value)},
                  {"nonce", own_nonce_}};
    return out;
}

message_head link_handshake::introduce()
{
    message_head out = own_head();
    out.method = "POST";
    out.path = "/link/proof";
    return out;
}

// Stores the peer's identity and nonce; false if a field is missing or malformed.
bool link_handshake::read_peer(const message_head& head)
{
    const std::string* vm_name = find_field(head, "vm");
    const std::string* run = find_field(head, "incarnation");
    const std::string* nonce = find_field(head, "nonce");
    if (vm_name == nullptr || run == nullptr || nonce == nullptr)
        return false;
    const auto number = parse_number(*run);
    if (vm_name->size() > max_vm_name_bytes || !number || !digest_from_hex(*nonce))
        return false;
    peer_ = {.vm_name = *vm_name, .run = {*number}};
    peer_nonce_ = *nonce;
    return true;
}

std::optional<message_head> link_handshake::answer(const message_head& introduction)
{
    if (!peer_nonce_.empty() || !read_peer(introduction))
        return std::nullopt;
    message_head out = own_head();
    out.status = 200;
    out.fields.push_back({.name = "proof", .value = proof_of(link_end::accepting)});
    return out;
}

std::optional<std::string> link_handshake::prove(const message_head& answer)
{
    const std::string* proof = find_field(answer, "proof");
    if (proof == nullptr || !read_peer(answer) || !is_valid_proof(*proof, link_end::accepting))
        return std::nullopt;
    return proof_of(link_end::connecting);
}

bool link_handshake::accepts(std::string_view proof) const
{
    return !peer_nonce_.empty() && is_valid_proof(proof, link_end::connecting);
}

// The text names the end that makes the proof, so that a peer cannot send this end's proof back as
// its own. Each name is preceded by its length, so that two different handshakes never produce the
// same text.
std::string link_handshake::proof_of(link_end end) const
{
    const bool is_connecting = end_ == link_end::connecting;
    const link_identity& connecting = is_connecting ? self_ : peer_;
    const link_identity& accepting = is_connecting ? peer_ : self_;
    const std::string text = fmt::format(
        "jasminebank link {} {} {} {}:{} {} {}:{} {}", static_cast<int>(end),
        is_connecting ? own_nonce_ : peer_nonce_, is_connecting ? peer_nonce_ : own_nonce_,
        connecting.vm_name.size(), connecting.vm_name, connecting.run.value,
        accepting.vm_name.size(), accepting.vm_name, accepting.run.value);
    return to_hex(keyed_digest(fleet_key_, text));
}

bool link_handshake::is_valid_proof(std::string_view text, link_end end) const
{
    const auto given = digest_from_hex(text);
    const auto expected = digest_from_hex(proof_of(end));
    return given && expected && same_digest(*given, *expected);
}

} // namespace jasminebank
