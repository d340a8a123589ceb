#pragma once

// Settings, counters and the state that all links of one hub share.

#include "endpoint.h"
#include "link_control.h"
#include "link_message.h"
#include "link_stream.h"
#include "stream_state.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminebank {

/// Gets each accepted request once its head is there. Runs on the hub's thread; must not block.
using stream_handler = std::function<void(std::shared_ptr<link_stream>)>;

/// Settings of one hub.
struct link_options {
    endpoint listen{.host = "127.0.0.1"}; ///< port 0: any free one
    link_identity self = {};
    std::string fleet_key = {};
    /// TCP connection and proof together. A lost first packet is sent again after a second.
    duration connect_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::minutes(1);        ///< a link without streams is closed
    duration ping_after = std::chrono::seconds(1);          ///< silence while streams wait
    duration ping_timeout = std::chrono::seconds(2);        ///< silence after a ping: link is dead
    duration drain_notice = std::chrono::milliseconds(500); ///< new streams still taken
    std::size_t max_links = 2048;                           ///< both directions together
    std::size_t max_unauthenticated_links = 256;
    std::size_t max_streams = 1024;                     ///< request streams a link and direction
    std::size_t max_control_streams = 256;              ///< control messages a link and direction
    std::size_t stream_buffer_bytes = 256UL * 1024;     ///< window and write buffer of a stream
    std::size_t first_window_bytes = 32UL * 1024;       ///< window of a stream before it is read
    std::size_t link_buffer_bytes = 16UL * 1024 * 1024; ///< grown windows of a link, together
    std::size_t max_control_bytes = 1536UL * 1024;      ///< payload or answer
    std::size_t max_link_control_bytes = 8UL * 1024 * 1024; ///< payloads a link holds, together
    std::size_t max_head_bytes = 32UL * 1024;
    std::size_t max_commands = 16UL * 1024; ///< waiting opens, calls and late answers
    stream_handler on_stream = {};
    control_handler on_control = {};
};

/// The bounds of each stream. Window goes back in quarters of the first one.
inline stream_limits limits_of(const link_options& it)
{
    return {.buffer_bytes = it.stream_buffer_bytes,
            .window_step = it.first_window_bytes / 4,
            .head_bytes = it.max_head_bytes};
}

/// Bytes and frames of HTTP/2, frame heads included.
struct traffic_counter {
    std::atomic<std::uint64_t> frames_in{0};
    std::atomic<std::uint64_t> frames_out{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
};

/// Counters of one hub since its start. `control` includes all that belongs to no request stream.
struct link_counters {
    traffic_counter control;
    traffic_counter requests;
    std::atomic<std::uint64_t> links{0}; ///< open now, both directions
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> accepts{0};
    std::atomic<std::uint64_t> refused_links{0}; ///< failed proofs, malformed bytes, over a limit
    std::atomic<std::uint64_t> dead_links{0};    ///< closed because the peer fell silent
};

/// Which direction of a link a trial cuts, as seen from this hub.
enum class cut_direction : std::uint8_t { none, inbound, outbound, both };

/// What the links of one hub share. Only the owner thread uses it, but for the queue and counters.
struct link_context {
    link_options options;
    std::shared_ptr<link_queue> queue;
    std::shared_ptr<link_counters> counters = std::make_shared<link_counters>();
    /// Calls to handlers and callbacks, run between the turns of the sessions and never inside one.
    std::vector<std::function<void()>> deferred;
    /// Cuts of a trial, by VM name or "host:port".
    std::map<std::string, cut_direction> cuts;
    /// Sessions with something to send or to end, looked at once at the end of the turn.
    std::vector<std::shared_ptr<class link_session>> to_flush;
    time_point next_refusal_log;
    std::uint64_t unlogged_refusals = 0;
    bool is_draining = false;
};

/// Cut that applies to a peer, known by its VM name, its endpoint or both.
cut_direction cut_of(const link_context& context, const std::string& vm_name,
                     const std::string& address);

inline bool cuts_inbound(cut_direction it)
{
    return it == cut_direction::inbound || it == cut_direction::both;
}

inline bool cuts_outbound(cut_direction it)
{
    return it == cut_direction::outbound || it == cut_direction::both;
}

} // namespace jasminebank
