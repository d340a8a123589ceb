#pragma once

// Backend servers that have told this node that they are leaving. An announcement may arrive many
// seconds late, so a node that restarts must know which servers withdrew from its earlier runs: the
// list is kept in the store and by the peers.

#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

using server_name_id = strong_id<struct server_name_tag>; ///< hash of a backend server's own name

/// A run of a backend server that takes no new requests.
struct server_withdrawal {
    server_name_id server;
    incarnation run;
    bool operator==(const server_withdrawal&) const = default;
};

/// The run of a backend server that withdraws, as it is told to its node.
struct withdrawing_run {
    incarnation run;      ///< 0: not told; then the registered one
    incarnation latest{}; ///< no run that starts from now on has a lower one; 0: not known
};

/// Not thread-safe.
class withdrawal_list {
public:
    /// Adds a withdrawal; true if it is new. A run of 0 cannot be told from a later one and is not
    /// added. Beyond a fixed number the oldest is dropped.
    bool add(const server_withdrawal& it);
    /// Adds all of them; true if any is new.
    bool merge(const std::vector<server_withdrawal>& entries);
    /// True if this run or a later one of the server has withdrawn.
    bool contains(const server_withdrawal& it) const;
    /// Oldest first.
    const std::vector<server_withdrawal>& entries() const { return entries_; }

private:
    std::vector<server_withdrawal> entries_;
};

std::string encode_withdrawals(const std::vector<server_withdrawal>& entries);
/// Nothing if the text is malformed.
std::optional<std::vector<server_withdrawal>> decode_withdrawals(std::string_view text);

} // namespace jasminebank
