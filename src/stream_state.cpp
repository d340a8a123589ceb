#include "stream_state.h"

#include <utility>

namespace jasminebank {

stream_state::stream_state(std::shared_ptr<link_queue> queue, stream_limits limits, bool is_caller,
                           message_head request, bool ends)
    : queue_(std::move(queue)), limits_(std::move(limits)), is_caller_(is_caller),
      request_(std::move(request)), request_ends_(ends), out_limit_(limits_.first_buffer_bytes)
{
    is_output_ended_ = is_caller && ends;
    is_output_end_taken_ = is_output_ended_;
    is_submitted_ = !is_caller;
}

// Requires `mutex_`. A stream is in the queue at most once, so the number of streams bounds the
// queue.
void stream_state::schedule_locked()
{
    if (is_scheduled_ || is_link_done_)
        return;
    is_scheduled_ = true;
    queue_->schedule(shared_from_this());
}

// Requires `mutex_`. A full buffer grows once, if the process has memory left for it.
bool stream_state::has_output_room_locked()
{
    if (out_.size() < out_limit_)
        return true;
    if (out_limit_ >= limits_.buffer_bytes)
        return false;
    out_growth_ = buffer_reservation(limits_.buffers, limits_.buffer_bytes - out_limit_);
    if (out_growth_.is_empty())
        return false;
    out_limit_ = limits_.buffer_bytes;
    return true;
}

// From here on only the link can determine whether the request was sent: a caller whose deadline
// passes must assume that it may have run.
bool stream_state::mark_submitted()
{
    const std::lock_guard lock(mutex_);
    if (is_over())
        return false;
    is_submitted_ = true;
    return true;
}

stream_work stream_state::take_work()
{
    const std::lock_guard lock(mutex_);
    is_scheduled_ = false;
    stream_work out{.response = std::exchange(response_, std::nullopt),
                    .response_ends = response_ends_,
                    .taken_bytes = std::exchange(taken_bytes_, 0),
                    .has_output = std::exchange(has_output_, false)};
    if (reset_ && !is_reset_taken_) {
        is_reset_taken_ = true;
        out.reset = reset_;
    }
    return out;
}

stream_output stream_state::take_output(std::span<char> buf)
{
    const std::lock_guard lock(mutex_);
    const bool was_full = out_.size() >= out_limit_;
    stream_output out{.bytes = out_.pop(buf)};
    out.is_end = is_output_ended_ && out_.empty() && !reset_;
    is_output_end_taken_ = out.is_end;
    if (was_full && out.bytes > 0)
        changed_.notify_all();
    return out;
}

void stream_state::receive_head(message_head head)
{
    const std::lock_guard lock(mutex_);
    received_head_ = std::move(head);
    changed_.notify_all();
}

void stream_state::receive(std::span<const char> bytes)
{
    const std::lock_guard lock(mutex_);
    if (reset_)
        return;
    in_.push(bytes);
    changed_.notify_all();
}

void stream_state::receive_end()
{
    const std::lock_guard lock(mutex_);
    is_input_ended_ = true;
    changed_.notify_all();
}

// A stream counts as cancelled when it ends before the response was complete and this side did not
// reset it.
void stream_state::end_stream(std::optional<link_error> error)
{
    std::function<void()> on_cancel;
    {
        const std::lock_guard lock(mutex_);
        if (is_link_done_)
            return;
        is_link_done_ = true;
        if (!error_)
            error_ = error;
        const bool is_whole = !error && (is_caller_ ? is_input_ended_ : is_output_end_taken_);
        if (!is_whole && !reset_) {
            is_cancelled_ = true;
            on_cancel = std::move(on_cancel_);
        }
        on_cancel_ = nullptr;
        out_.clear();
        changed_.notify_all();
    }
    if (on_cancel)
        on_cancel();
}

void stream_state::set_peer(link_identity peer)
{
    const std::lock_guard lock(mutex_);
    peer_ = std::move(peer);
}

} // namespace jasminebank
