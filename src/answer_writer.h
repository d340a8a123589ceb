#pragma once

// Writes the body of a backend server's answer to the caller: first the prefetched part, then the
// rest as it arrives.

#include "dispatch_attempt.h"

#include <httplib.h>

#include <functional>

namespace jasminebank {

/// Each call writes the next part of the body; false if the rest does not arrive, so that the
/// caller can't mistake the answer for a complete one.
using answer_writer = std::function<bool(httplib::DataSink&)>;

/// Takes the prefetched part of the attempt's answer. `has_length`: the caller is told the size of
/// the body.
answer_writer make_answer_writer(dispatch_attempt& it, bool has_length, const answer_limit& limit);

} // namespace jasminebank
