#pragma once

// What a backend server says in its answers about the work that it takes: the rate of requests that
// it accepts from the whole fleet, and whether it is leaving.

#include "types.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

struct server_notice {
    std::optional<double> max_rate{}; ///< requests a second from all nodes together; none: no limit
    bool is_leaving = false;          ///< takes no new requests
    bool operator==(const server_notice&) const = default;
};

/// Parses the values of the two fields of an answer; nothing stands for an absent field. Returns
/// nothing if a value is malformed, since such an answer neither sets nor lifts a limit.
std::optional<server_notice> parse_notice(std::optional<std::string_view> max_rate,
                                          std::optional<std::string_view> leaving);

/// A notice with the run of the backend server that it is of, as nodes tell it each other.
struct reported_notice {
    server_notice notice{};
    incarnation run{};
    bool operator==(const reported_notice&) const = default;
};

/// The value of `notice_field`.
std::string encode_notice(const reported_notice& it);
/// Nothing if the text is malformed.
std::optional<reported_notice> decode_notice(std::string_view text);

} // namespace jasminebank
