#pragma once

// Requests of bytes chosen by the test, for callers that no HTTP library would imitate.

#include "endpoint.h"

#include <string>

namespace jasminebank {

/// Opens a TCP connection and returns its socket; the test fails if it is refused.
int connect_to(const endpoint& to);

/// Whether a caller closes its sending side after its last byte.
enum class after_sending : std::uint8_t { keep_open, half_close };

/// Sends all of `text` on a new connection and returns all bytes received until the server closes
/// it.
std::string exchange(const endpoint& to, const std::string& text, after_sending then);

} // namespace jasminebank
