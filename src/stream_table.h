#pragma once

// The streams of one link and the limits on their number and memory.

#include "link_control.h"
#include "link_head_fields.h"
#include "link_options.h"
#include "stream_state.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace jasminebank {

/// A control message and its response, on either side.
struct control_exchange {
    std::optional<control_call> call; ///< set on the sending side only
    std::string out;
    std::size_t out_taken = 0;
    std::string in;
};

/// One stream of a session.
struct stream_entry {
    stream_kind kind = stream_kind::request;
    std::shared_ptr<stream_state> state;       ///< set for request streams
    std::shared_ptr<control_exchange> control; ///< set for control messages
    incoming_head received_head;
    traffic_cause cause = traffic_cause::other_control; ///< of a control message
    std::optional<std::uint64_t> head_offset; ///< of the request's head in the link's output
    bool counts_against_limit = false;        ///< on streams of the link
    bool has_head = false;
    bool is_answered = false; ///< control messages: response or reset submitted
    bool is_input_ended = false;
    bool is_output_ended = false;
    buffer_reservation window_growth;
};

/// Streams by HTTP/2 stream identifier, with the limits of `link_options`.
class stream_table {
public:
    explicit stream_table(const link_options& options) : options_(options) {}

    stream_entry& add(std::int32_t id) { return entries_[id]; }
    stream_entry* find(std::int32_t id);
    const stream_entry* find(std::int32_t id) const;
    /// Removes an entry and releases what it counted against the limits.
    void remove(std::int32_t id);

    /// True while the limit on streams of this kind is not reached.
    bool has_room(stream_kind kind) const;
    /// Counts the entry against the limit of its kind.
    void count(stream_entry& it);
    /// Appends to a received control message; false when it would exceed `max_control_bytes`, or
    /// all of them together `max_link_control_bytes`.
    bool add_control_bytes(stream_entry& it, std::span<const char> bytes);
    /// Removes the received payload from the entry and returns it.
    std::string take_control_bytes(stream_entry& it);
    /// Reserves the enlarged receive window of a stream; false when the stream already has it, or
    /// the link's `link_buffer_bytes` or the process's `buffers` would be exceeded.
    bool grow_window(stream_entry& it);

    bool empty() const { return entries_.empty(); }
    auto begin() { return entries_.begin(); }
    auto end() { return entries_.end(); }

private:
    const link_options& options_;
    std::unordered_map<std::int32_t, stream_entry> entries_;
    std::size_t request_streams_ = 0;
    std::size_t control_streams_ = 0;
    std::size_t control_bytes_ = 0; ///< received payloads, together
    std::size_t grown_bytes_ = 0;   ///< window enlargements, together
};

} // namespace jasminebank
