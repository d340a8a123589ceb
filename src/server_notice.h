#pragma once

// What a backend server says in its answers about the work that it takes: the rate of requests that
// it accepts from the whole fleet, and whether it is leaving.

#include <optional>
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

} // namespace jasminebank
