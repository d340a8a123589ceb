#pragma once

// How a gate uses one of its backend servers; announced to all nodes in the server's record.

#include <cstdint>

namespace jasminebank {

/// Use of one backend server by its gate.
enum class server_standing : std::uint8_t {
    serving,  ///< in rotation
    demoted,  ///< in rotation, chosen last
    held_out, ///< out of rotation, gets no requests
    on_trial, ///< out of rotation, gets a few idempotent requests
};

} // namespace jasminebank
