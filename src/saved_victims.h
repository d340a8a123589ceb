#pragma once

// The part of a poison list that a node keeps in the store, so that requests that crash backend
// servers are still refused after all nodes were killed at once. Each node keeps the crashes that
// its own gate observed, so no crash is written twice.

#include "poison_list.h"

#include <string>
#include <vector>

namespace jasminebank {

/// Not thread-safe.
class saved_victims {
public:
    saved_victims();

    /// Adds what earlier runs of this node saved.
    void restore(const std::vector<poison_victim>& earlier, time_point now);
    /// Adds a crash of a backend server of this node. `known_victims` are those that this node knew
    /// of the request before. False if nothing has to be saved: the request was refused already.
    bool add(request_fingerprint fingerprint, backend_server_id server, incarnation run,
             std::size_t known_victims, time_point now);
    /// What to save, see `encode_victims`. The remaining times are those of now, so an entry that
    /// is read later lasts longer by its age.
    std::string encode(time_point now) const;

private:
    poison_list list_;
};

} // namespace jasminebank
