#pragma once

// What the answers that an entry node passed on said last about the work that their backend servers
// take.

#include "server_notice.h"
#include "types.h"

#include <unordered_map>

namespace jasminebank {

/// Not thread-safe.
class notice_cache {
public:
    /// Takes what an answer of the backend server says; nothing: it has no limit and stays.
    void store(backend_server_id server, const std::optional<reported_notice>& it);
    std::optional<reported_notice> find(backend_server_id server) const;

private:
    // Not bound to the known members: a server is unknown while its node restarts, and its limit
    // has to be known after that.
    std::unordered_map<backend_server_id, reported_notice> notices_;
};

} // namespace jasminebank
