#pragma once

// The head of a caller's request as it came, split into the key that was shown and what may go on
// to a backend server. Nothing that goes on holds the key.

#include "digest.h"
#include "link_message.h"
#include "refusal.h"
#include "result.h"

#include <string>
#include <vector>

namespace jasminebank {

/// A caller's head without its key.
struct caller_head {
    digest key;         ///< of the key that was shown
    message_head clean; ///< fields that may go on, names in lower case
};

/// Splits a head. Refused are: no key, two keys, a key that also stands elsewhere in the head or
/// the target (also percent-encoded), and lengths that contradict each other.
result<caller_head, refusal> split_caller_head(message_head head);

} // namespace jasminebank
