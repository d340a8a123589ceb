#pragma once

// Settings and counters of a hub, and the state that all its links share.

#include "endpoint.h"
#include "link_control.h"
#include "link_message.h"
#include "link_stream.h"
#include "stream_state.h"
#include "traffic_account.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminebank {

/// Called for each accepted request when its head has been received. Runs on the hub's thread; must
/// not block.
using stream_handler = std::function<void(std::shared_ptr<link_stream>)>;

/// Settings of one hub.
struct link_options {
    endpoint listen{.host = "127.0.0.1"}; ///< port 0 binds any free port
    link_identity self = {};
    std::string fleet_key = {};
    /// For connecting and the handshake together. TCP retransmits a lost SYN after 1 s, so the
    /// value allows for at least one loss.
    duration connect_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::minutes(1); ///< a link without streams is closed
    duration ping_after = std::chrono::seconds(1);   ///< without input while an answer is due
    /// After a ping; new streams then use another connection. Above the round trip of any link.
    duration doubt_after = std::chrono::milliseconds(400);
    duration ping_timeout = std::chrono::seconds(2);        ///< after a ping, closes the link
    duration drain_notice = std::chrono::milliseconds(500); ///< new streams are still accepted
    std::size_t max_links = 2048;                           ///< incoming and outgoing together
    std::size_t max_unauthenticated_links = 256;
    std::size_t max_streams = 1024;                     ///< request streams per link
    std::size_t max_control_streams = 256;              ///< control messages per link
    std::size_t stream_buffer_bytes = 256UL * 1024;     ///< full window and write buffer per stream
    std::size_t first_window_bytes = 32UL * 1024;       ///< both, until they have grown
    std::shared_ptr<buffer_budget> buffers = {};        ///< for their growth; null: no limit
    std::size_t link_buffer_bytes = 16UL * 1024 * 1024; ///< sum of a link's window enlargements
    std::size_t max_control_bytes = 1536UL * 1024;      ///< per request or response payload
    std::size_t max_link_control_bytes = 8UL * 1024 * 1024; ///< sum of payloads received on a link
    std::size_t max_head_bytes = 32UL * 1024;
    std::size_t max_commands = 16UL * 1024; ///< queued opens, calls and deferred answers
    stream_handler on_stream = {};
    control_handler on_control = {};
    std::shared_ptr<traffic_account> traffic = {}; ///< counts sent bytes; may be null
    /// The cause of a control message, by its path; only used with `traffic`.
    std::function<traffic_cause(std::string_view path)> cause_of_path = {};
};

/// The limits of each stream. A stream's receive window is replenished in steps of a quarter of the
/// initial window.
inline stream_limits limits_of(const link_options& it)
{
    return {.first_buffer_bytes = std::min(it.first_window_bytes, it.stream_buffer_bytes),
            .buffer_bytes = it.stream_buffer_bytes,
            .buffers = it.buffers,
            .window_step = it.first_window_bytes / 4,
            .head_bytes = it.max_head_bytes};
}

/// HTTP/2 frames, and their bytes including frame headers.
struct traffic_counter {
    std::atomic<std::uint64_t> frames_in{0};
    std::atomic<std::uint64_t> frames_out{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
};

/// Counters of one hub since its start. `control` counts every frame that does not belong to a
/// request stream.
struct link_counters {
    traffic_counter control;
    traffic_counter requests;
    std::atomic<std::uint64_t> links{0}; ///< currently open, incoming and outgoing
    std::atomic<std::uint64_t> connects{0};
    std::atomic<std::uint64_t> accepts{0};
    std::atomic<std::uint64_t> refused_links{0}; ///< failed handshake or limit reached
    std::atomic<std::uint64_t> dead_links{0};    ///< closed after a ping timeout
};

/// Direction in which a simulated network fault drops the traffic of a link, as seen from this hub.
enum class cut_direction : std::uint8_t { none, inbound, outbound, both };

/// State that the links of one hub share. Only the owner thread uses it, except for the queue and
/// the counters, which any thread may use.
struct link_context {
    link_options options;
    std::shared_ptr<link_queue> queue;
    std::shared_ptr<link_counters> counters = std::make_shared<link_counters>();
    /// Calls to handlers and callbacks. The loop runs them outside of all session functions,
    /// because they may call back into sessions.
    std::vector<std::function<void()>> deferred;
    /// Simulated network faults by VM name or "host:port".
    std::map<std::string, cut_direction> cuts;
    /// Sessions that may have output to send or may have to be closed; flushed once at the end of
    /// each loop iteration.
    std::vector<std::shared_ptr<class link_session>> to_flush;
    time_point next_refusal_log;
    std::uint64_t unlogged_refusals = 0;
    bool is_draining = false;
};

/// The simulated fault that is set for a peer, found by its VM name or else by its address.
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
