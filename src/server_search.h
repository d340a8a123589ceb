#pragma once

// How one request looks for a backend server. At first it asks only for free slots of servers that
// nobody suspects, which costs a round trip where there is none; then it waits for a slot; and only
// when nothing else is left it goes to a server that is suspected.

#include "refusal.h"
#include "types.h"

#include <vector>

namespace jasminebank {

struct server_search_options {
    bool idempotent = false;
    bool is_streamed = false;  ///< the body can be sent once only
    duration target_latency{}; ///< an answer within this time is worth most; 0: none
    time_point start{};        ///< when the request came
    bool is_nested = false;    ///< a running request waits for it
};

/// What to do next: after `pause`, choose among the servers that are not excluded.
struct search_step {
    duration pause{};
    std::vector<backend_server_id> excluded;
    bool consider_all_servers = false; ///< look at all of them rather than at a few
};

/// Not thread-safe.
class server_search {
public:
    explicit server_search(const server_search_options& options);

    /// The next step; after one that found no server, call `none_found` and ask again.
    search_step step(time_point now);
    /// False when the search is over.
    bool advance_stage();
    /// Whether another server may still be asked after a refusal.
    bool may_continue(time_point now) const;
    /// A gate refused the request, or could not be reached, and nothing ran there.
    void on_refused(backend_server_id server, refusal reason);
    /// The request was sent to the server, and may have run there.
    void on_reached(backend_server_id server);

    /// For a slot; else the gate refuses when none is free.
    bool may_queue() const { return stage_ != search_stage::free_slots; }
    /// Also when the gate suspects the server.
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
