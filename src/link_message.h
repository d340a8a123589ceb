#pragma once

// What travels over a link between two nodes, and the ways in which that fails.

#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One header line. Names are lower case on the link.
struct header_field {
    std::string name = {};
    std::string value = {};
    bool operator==(const header_field&) const = default;
};

/// Head of a request (`method`, `path`) or of an answer (`status`).
struct message_head {
    std::string method = {};
    std::string path = {};
    int status = 0;
    std::vector<header_field> fields = {};
    bool operator==(const message_head&) const = default;
};

/// Value of the first field of that lower-case name, or nothing.
const std::string* find_field(const message_head& head, std::string_view name);

/// What a field counts for besides its text, as in HPACK.
constexpr std::size_t field_overhead_bytes = 32;

inline std::size_t size_of(const header_field& it)
{
    return it.name.size() + it.value.size() + field_overhead_bytes;
}

/// Bytes that the head counts for against a limit.
std::size_t size_of(const message_head& head);

/// True when HTTP/2 can carry the head unchanged within `limit` bytes: a legal request line or a
/// final status, legal names and values, no pseudo field among the fields, one length at most.
bool is_sendable(const message_head& head, std::size_t limit);

/// True for fields that speak of one connection only (`connection`, `transfer-encoding`, ...); a
/// link leaves them out.
bool is_connection_field(std::string_view name);

/// Which process speaks at the other end, as proved by the fleet key.
struct link_identity {
    std::string vm_name = {};
    incarnation run = {};
    bool operator==(const link_identity&) const = default;
};

/// How an exchange failed. Only `not_sent` proves that the peer never acted on the request: no byte
/// of it was given to a socket, or the peer said that it did not take it up.
enum class link_failure : std::uint8_t {
    not_sent,   ///< the request did not run
    maybe_sent, ///< the link broke with the request on its way or running
    peer_reset, ///< the peer ended the stream early with `link_error::code`
    timed_out,  ///< the deadline passed; the request may run
    closed,     ///< this side has already ended the stream, or its caller is gone
};

/// One failure. `reason` is for logs and points at static text.
struct link_error {
    link_failure kind = link_failure::closed;
    std::uint32_t code = 0; ///< HTTP/2 error code for `peer_reset`
    std::string_view reason = {};
};

/// False only when the request is known not to have run.
inline bool may_have_run(const link_error& it)
{
    return it.kind != link_failure::not_sent;
}

/// One line for a log.
std::string describe(const link_error& it);

/// Why this side ends a stream early. The values are HTTP/2 error codes.
enum class reset_reason : std::uint32_t {
    internal_error = 2, ///< this side failed; the request may have run
    refused = 7,        ///< accepting side only, before it answers: the request did not run
    cancelled = 8,      ///< nobody waits for the answer any more
};

} // namespace jasminebank
