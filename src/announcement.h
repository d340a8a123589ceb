#pragma once

// Service registration: a backend server announces itself to a node by posting JSON to the control
// address about once a second. The status of the response says whether it was accepted.

#include "member_directory.h"
#include "result.h"
#include "types.h"

#include <chrono>
#include <string>
#include <string_view>

namespace jasminebank {

/// A partition of the network may delay this many announcements of a run, which then arrive after
/// their server has left or ended.
constexpr std::uint64_t max_late_announcements = 20;

/// One announcement of a backend server.
struct announcement {
    server_record server;
    incarnation run;            ///< of the backend server; a new one means a restart
    double load = 0;            ///< utilisation that it reports, from 0 to 1
    std::string name{};         ///< the backend server's own name; empty if it has none
    std::string service_name{}; ///< of `server.service`
    std::uint64_t sequence = 0; ///< increases with each announcement of a run; 0: none
    duration warm_up{};         ///< time that it remains cold; 0: it is not cold
    /// Start of the run by the clock of its VM; the epoch: not known.
    std::chrono::system_clock::time_point started{};
};

/// The first invalid field of an announcement, and which values are allowed.
struct announcement_error {
    std::string field;
    std::string allowed;
};

/// Parses a JSON object with "service", "address" and "slots", and optionally "draining", "load",
/// "incarnation" and "warm_up_s".
result<announcement, announcement_error> parse_announcement(std::string_view text);

} // namespace jasminebank
