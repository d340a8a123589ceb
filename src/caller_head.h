#pragma once

// Separates the API key of a caller's request from the part of the head that may be forwarded to a
// backend server. The forwarded part never contains the key.

#include "digest.h"
#include "header_names.h"
#include "link_message.h"
#include "refusal.h"
#include "result.h"

#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// The parsed head of a caller's request.
struct caller_head {
    digest key{};             ///< digest of the API key
    message_head sanitised{}; ///< the head to forward, without the key; field names in lower case
    std::optional<refusal> key_error{};  ///< why there is no usable key; ignored on public routes
    std::string host{};                  ///< lower case, without the port
    std::optional<duration> time_left{}; ///< the caller's timeout, if it sent one
};

/// Parses a request head. Refuses two different keys, a key that also occurs in another field or in
/// the request target (also percent-encoded), contradictory lengths, a body where the method has
/// none, and fields that a link cannot carry. Drops the fields of `names` that only the fleet may
/// set.
result<caller_head, refusal> split_caller_head(message_head head, const header_names& names = {});

} // namespace jasminebank
