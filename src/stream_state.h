#pragma once

// The state of one request stream, shared by worker threads, which use it through `link_stream`,
// and the thread that owns the links, which uses the functions below. One mutex protects it.

#include "buffer_budget.h"
#include "byte_queue.h"
#include "link_message.h"
#include "link_queue.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>

namespace jasminebank {

/// Limits of one stream.
struct stream_limits {
    std::size_t first_buffer_bytes = 0; ///< written bytes that are not yet passed to the link
    std::size_t buffer_bytes = 0;       ///< the same, with a part of `buffers`
    std::shared_ptr<buffer_budget> buffers = {};
    std::size_t window_step = 0; ///< bytes read before the receive window is replenished
    std::size_t head_bytes = 0;  ///< size of a head, as computed by `size_of`
};

/// Actions that worker threads requested since the owner thread last took them.
struct stream_work {
    std::optional<message_head> response;
    bool response_ends = false;
    std::size_t taken_bytes = 0; ///< read by the worker, to be added to the receive window
    bool has_output = false;
    std::optional<reset_reason> reset = std::nullopt;
};

/// Result of moving written bytes to the link.
struct stream_output {
    std::size_t bytes = 0;
    bool is_end = false;
};

/// The shared state of one stream. It outlives both the link and the worker's handle.
class stream_state : public std::enable_shared_from_this<stream_state> {
public:
    /// `is_caller` is true on the side that sends the request; `ends` means that the request has no
    /// body.
    stream_state(std::shared_ptr<link_queue> queue, stream_limits limits, bool is_caller,
                 message_head request, bool ends);

    // For the owner thread.

    /// Marks the request as submitted to the link; false when the caller has already withdrawn it.
    bool mark_submitted();
    /// Returns the actions requested since the last call and clears them.
    stream_work take_work();
    /// Moves written bytes into `buf`.
    stream_output take_output(std::span<char> buf);
    void receive_head(message_head head);
    void receive(std::span<const char> bytes);
    void receive_end();
    /// Called when the link has closed the stream; `error` is empty if the exchange was complete.
    void end_stream(std::optional<link_error> error);
    void set_peer(link_identity peer);

    /// HTTP/2 stream identifier, 0 before submission. Only the owner thread uses it.
    std::int32_t stream_id = 0;
    /// The session that carries the stream. Only the owner thread uses it.
    std::weak_ptr<class link_session> session;

    const message_head& request() const { return request_; }
    bool is_caller() const { return is_caller_; }
    /// True when the request has no body.
    bool request_ends() const { return request_ends_; }

private:
    friend class link_stream;

    bool is_over() const { return is_link_done_ || reset_; }
    bool has_output_room_locked();
    void schedule_locked();

    std::shared_ptr<link_queue> queue_;
    stream_limits limits_;
    bool is_caller_;
    message_head request_;
    bool request_ends_;

    std::mutex mutex_;
    std::condition_variable changed_;
    link_identity peer_;
    std::optional<message_head> received_head_;
    std::optional<message_head> response_;
    bool response_ends_ = false;
    byte_queue in_;
    byte_queue out_;
    buffer_reservation out_growth_;
    std::size_t out_limit_;
    std::size_t taken_bytes_ = 0;
    bool has_output_ = false;
    bool is_submitted_ = false;
    bool is_responded_ = false;
    bool is_input_ended_ = false;
    bool is_output_ended_ = false;     ///< the worker has finished writing
    bool is_output_end_taken_ = false; ///< the link has taken all output and its end
    bool is_link_done_ = false;
    bool is_cancelled_ = false;
    bool is_scheduled_ = false;
    std::optional<reset_reason> reset_;
    bool is_reset_taken_ = false;
    std::optional<link_error> error_;
    std::function<void()> on_cancel_;
};

} // namespace jasminebank
