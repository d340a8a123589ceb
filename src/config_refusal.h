#pragma once

// Refusals of requests that the configuration in force does not contain or allow. They are final
// for the caller, so they are given only if no newer configuration is known that may allow the
// request.

#include "refusal.h"

namespace jasminebank {

/// The answer to a request that is refused for `reason`, a final one, by the configuration in
/// force. `is_outdated`: a peer has a newer configuration, which this node has not received yet.
refusal_answer refuse_by_config(refusal reason, bool is_outdated);

} // namespace jasminebank
