#pragma once

// The head of a caller's request as it came, split into the key that was shown and what may go on
// to a backend server. Nothing that goes on holds the key.

#include "digest.h"
#include "header_names.h"
#include "link_message.h"
#include "refusal.h"
#include "result.h"

#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// A caller's head without its key.
struct caller_head {
    digest key{};                        ///< of the key that was shown
    message_head sanitised{};            ///< fields that may go on, names in lower case
    std::optional<refusal> key_error{};  ///< there is no usable key, which a public route needs not
    std::string host{};                  ///< in lower case, without the port
    std::optional<duration> time_left{}; ///< how long the caller will wait, if it said so
};

/// Splits a head. Refused are: two keys, a key that also stands elsewhere in the head or the target
/// (also percent-encoded), lengths that contradict each other, and fields that no link can carry.
/// Fields that the fleet itself sets, by the names given, are dropped.
result<caller_head, refusal> split_caller_head(message_head head, const header_names& names = {});

} // namespace jasminebank
