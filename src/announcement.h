#pragma once

// How backend servers announce themselves to a node: JSON over the control address, repeated about
// once a second. The answer's status tells whether the announcement was taken.

#include "member_directory.h"
#include "result.h"
#include "types.h"

#include <string>
#include <string_view>

namespace jasminebank {

/// One announcement.
struct announcement {
    server_record server;
    incarnation run;            ///< of the backend server; a new one means that it was restarted
    double load = 0;            ///< as it claims, from 0 to 1
    std::string name{};         ///< the backend server's own name; empty if it has none
    std::string service_name{}; ///< of `server.service`
    std::uint64_t sequence = 0; ///< grows with each announcement of a run; 0: not counted
    duration warm_up{};         ///< how much longer it is slow after its start
};

/// What is wrong with an announcement.
struct announcement_error {
    std::string field;
    std::string allowed;
};

/// Reads the JSON text {"service", "address", "slots", "draining", "load", "incarnation"}.
result<announcement, announcement_error> parse_announcement(std::string_view text);

} // namespace jasminebank
