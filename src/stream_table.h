#pragma once

// The streams of one link and what they may hold together.

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

/// A control message in its session, on either side.
struct control_exchange {
    std::optional<control_call> call; ///< on the side that asked
    std::string out;
    std::size_t out_taken = 0;
    std::string in;
};

/// One stream of a session.
struct stream_entry {
    stream_kind kind = stream_kind::request;
    std::shared_ptr<stream_state> state;       ///< request streams
    std::shared_ptr<control_exchange> control; ///< control messages
    incoming_head received_head;
    std::optional<std::uint64_t> head_offset; ///< place of the request's head in the output
    bool counts_against_limit = false;        ///< against the limits of the link
    bool has_head = false;
    bool is_answered = false; ///< control messages: by its handler or handle
    bool is_input_ended = false;
    bool is_output_ended = false;
    bool is_window_grown = false;
};

/// Streams by number, with the limits of `link_options`.
class stream_table {
public:
    explicit stream_table(const link_options& options) : options_(options) {}

    stream_entry& add(std::int32_t id) { return entries_[id]; }
    stream_entry* find(std::int32_t id);
    const stream_entry* find(std::int32_t id) const;
    /// Takes an entry out, with all that it held.
    void remove(std::int32_t id);

    /// True while one more stream of that kind fits.
    bool has_room(stream_kind kind) const;
    /// Counts the entry against the limit of its kind.
    void count(stream_entry& it);
    /// Appends to a control message; false when it or all of them would be too large.
    bool add_control_bytes(stream_entry& it, std::span<const char> bytes);
    /// Takes the received control message out.
    std::string take_control_bytes(stream_entry& it);
    /// Books the larger window of a stream; false when it has it or the link has no room.
    bool grow_window(stream_entry& it);

    bool empty() const { return entries_.empty(); }
    auto begin() { return entries_.begin(); }
    auto end() { return entries_.end(); }

private:
    const link_options& options_;
    std::unordered_map<std::int32_t, stream_entry> entries_;
    std::size_t request_streams_ = 0;
    std::size_t control_streams_ = 0;
    std::size_t control_bytes_ = 0; ///< received control messages
    std::size_t grown_bytes_ = 0;   ///< windows above the first
};

} // namespace jasminebank
