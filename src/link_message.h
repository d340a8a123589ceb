#pragma once

// The heads of messages that links carry between two nodes, and the errors of an exchange.

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One header field. Names are in lower case.
struct header_field {
    std::string name = {};
    std::string value = {};
    bool operator==(const header_field&) const = default;
};

/// Head of a request (`method` and `path` are set) or of a response (`status` is set).
struct message_head {
    std::string method = {};
    std::string path = {};
    int status = 0;
    std::vector<header_field> fields = {};
    bool operator==(const message_head&) const = default;
};

/// Value of the first field with this lower-case name, or null.
const std::string* find_field(const message_head& head, std::string_view name);

/// The body's size by its Content-Length; nothing if there is none.
std::optional<std::size_t> length_of(const message_head& head);

/// Bytes that each field counts in addition to its name and value, as HPACK defines it.
constexpr std::size_t field_overhead_bytes = 32;

inline std::size_t size_of(const header_field& it)
{
    return it.name.size() + it.value.size() + field_overhead_bytes;
}

/// Size of the head as compared with size limits.
std::size_t size_of(const message_head& head);

/// True when HTTP/2 can carry the head unchanged within `limit` bytes: it has a valid request line
/// or a final status, valid names and values, no pseudo-header among its fields, and at most one
/// content-length.
bool is_sendable(const message_head& head, std::size_t limit);

/// True for hop-by-hop fields (`connection`, `transfer-encoding`, ...), which links do not forward.
bool is_connection_field(std::string_view name);

/// Identity of the process at one end of a link, authenticated with the fleet key.
struct link_identity {
    std::string vm_name = {};
    incarnation run = {};
    bool operator==(const link_identity&) const = default;
};

/// How an exchange failed. Only `not_sent` guarantees that the peer did not run the request: either
/// no byte of it was passed to a socket, or the peer refused the stream.
enum class link_failure : std::uint8_t {
    not_sent,   ///< the request did not run
    maybe_sent, ///< the link broke after the request was at least partly sent
    peer_reset, ///< the peer ended the stream early with `link_error::code`
    timed_out,  ///< the deadline passed; the request may run
    closed,     ///< this side has already ended the stream, or its caller has cancelled
};

/// One failure. `reason` is for logs and must refer to a string literal.
struct link_error {
    link_failure kind = link_failure::closed;
    std::uint32_t code = 0; ///< HTTP/2 error code for `peer_reset`
    std::string_view reason = {};
};

/// False only when it is certain that the request did not run.
inline bool may_have_run(const link_error& it)
{
    return it.kind != link_failure::not_sent;
}

/// Text for log lines, without line breaks.
std::string describe(const link_error& it);

/// Why this side resets a stream. The values are HTTP/2 error codes.
enum class reset_reason : std::uint32_t {
    internal_error = 2, ///< this side failed; the request may have run
    refused = 7,        ///< accepting side only, before it responds: the request did not run
    cancelled = 8,      ///< the caller no longer waits for the response
};

} // namespace jasminebank
