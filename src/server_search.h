#pragma once

// Selects the backend servers that one request is sent to, in three stages. First only servers that
// are not suspected and have a free slot, where each refusal costs a round trip; then servers that
// are not suspected, where the request may wait for a slot; and suspected servers only as the last
// choice.

#include "refusal.h"
#include "types.h"

#include <vector>

namespace jasminebank {

struct server_search_options {
    bool idempotent = false;
    bool is_streamed = false;  ///< the body can be sent only once
    duration target_latency{}; ///< of the request; 0: none
    time_point start{};        ///< when the request arrived
    bool is_nested = false;    ///< a running request depends on it
};

/// The next step: wait for `pause`, then choose among the servers that are not excluded.
struct search_step {
    duration pause{};
    std::vector<backend_server_id> excluded;
    std::vector<backend_server_id> full; ///< excluded only while others may have a free slot
    bool consider_all_servers = false;   ///< compare all servers instead of a few drawn at random
};

/// Not thread-safe.
class server_search {
public:
    explicit server_search(const server_search_options& options);

    /// Returns the next step. If no server is found for it, call `advance_stage` before the next
    /// call.
    search_step step(time_point now);
    /// Enters the next stage; false when the search is over.
    bool advance_stage();
    /// Returns whether another server may be tried after a refusal.
    bool may_continue(time_point now) const;
    /// Records that a gate refused the request or was unreachable, so that the request did not run.
    void on_refused(backend_server_id server, refusal reason);
    /// Records that the request was sent to the server and may have run there.
    void on_reached(backend_server_id server);

    /// Whether the request may wait for a slot; if not, the gate refuses it when no slot is free.
    bool may_queue() const { return stage_ != search_stage::free_slots; }
    /// Whether the request is sent to a server even if the gate suspects it.
    bool allows_suspected() const { return allows_suspected_; }

private:
    enum class search_stage : std::uint8_t { free_slots, waiting, suspected, over };

    bool may_pause(time_point now) const;

    server_search_options options_;
    search_stage stage_ = search_stage::free_slots;
    bool allows_suspected_ = false;
    std::size_t refusals_ = 0;
    std::vector<backend_server_id> reached_;
    std::vector<backend_server_id> without_free_slot_;
    std::vector<backend_server_id> suspected_;
};

} // namespace jasminebank
