#pragma once

// How a gate uses a backend server of its own; announced to all nodes with its record.

#include <cstdint>

namespace jasminebank {

/// What the gate does with one backend server.
enum class server_standing : std::uint8_t {
    serving,  ///< in rotation
    demoted,  ///< in rotation, picked last
    held_out, ///< no work
    on_trial, ///< a few idempotent requests
};

} // namespace jasminebank
