#include "link_stream.h"

#include "stream_state.h"
#include "system_clock.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jasminebank {

// Limits each wait on the condition variable: it uses the monotonic clock, which stops while the
// system is suspended, whereas deadlines are on the boot-time clock, which does not.
constexpr duration max_condition_wait = std::chrono::seconds(1);

constexpr link_error already_ended{.kind = link_failure::closed,
                                   .reason = "this side has ended the stream"};

link_stream::link_stream(std::shared_ptr<stream_state> state) : state_(std::move(state)) {}

// Resets the stream, so that a worker that returns early leaves no stream open. If a complete
// response has been sent while the caller still sends its body, the session signals the caller to
// stop sending.
link_stream::~link_stream()
{
    on_cancel(nullptr);
    reset(state_->is_caller() ? reset_reason::cancelled : reset_reason::internal_error);
}

template <class Done>
bool link_stream::wait(std::unique_lock<std::mutex>& lock, time_point deadline, Done done)
{
    while (!done()) {
        const duration left = deadline - boot_now();
        if (left <= duration::zero())
            return false;
        state_->changed_.wait_for(lock, std::min(left, max_condition_wait));
    }
    return true;
}

// Requires the state's mutex. Withdraws a request that has not been submitted, so that the caller
// can safely retry on another endpoint.
link_error link_stream::deadline_error()
{
    stream_state& it = *state_;
    if (it.is_submitted_ || it.is_over())
        return {.kind = link_failure::timed_out, .reason = "deadline passed"};
    it.reset_ = reset_reason::cancelled;
    it.error_ = link_error{.kind = link_failure::not_sent,
                           .reason = "deadline passed before the link was ready"};
    it.schedule_locked();
    return *it.error_;
}

result<std::size_t, link_error> link_stream::write_some(std::span<const char> bytes,
                                                        time_point until)
{
    stream_state& it = *state_;
    std::unique_lock lock(it.mutex_);
    const bool is_ready = wait(lock, until, [&] {
        return it.is_over() || it.is_output_ended_ || it.has_output_room_locked();
    });
    if (it.is_over() || it.is_output_ended_)
        return it.error_.value_or(already_ended);
    if (!is_ready)
        return std::size_t{0};
    const std::size_t n = std::min(bytes.size(), it.out_limit_ - it.out_.size());
    it.out_.push(bytes.first(n));
    it.has_output_ = true;
    it.schedule_locked();
    return n;
}

result<ok, link_error> link_stream::write(std::span<const char> bytes, time_point deadline)
{
    while (!bytes.empty()) {
        const auto n = write_some(bytes, deadline);
        if (failed(n))
            return error_of(n);
        if (value_of(n) == 0) {
            const std::lock_guard lock(state_->mutex_);
            return deadline_error();
        }
        bytes = bytes.subspan(value_of(n));
    }
    return ok{};
}

void link_stream::finish()
{
    stream_state& it = *state_;
    const std::lock_guard lock(it.mutex_);
    if (it.is_output_ended_ || it.is_over())
        return;
    it.is_output_ended_ = true;
    it.has_output_ = true;
    it.schedule_locked();
}

bool link_stream::reset(reset_reason reason)
{
    stream_state& it = *state_;
    const std::lock_guard lock(it.mutex_);
    if (it.is_over())
        return it.error_ && !may_have_run(*it.error_);
    // A complete response that is still queued must be sent; only the rest of the request is not
    // needed.
    if (!it.is_caller_ && it.is_output_ended_ && it.is_responded_)
        return false;
    if (reason == reset_reason::refused && (it.is_caller_ || it.is_responded_))
        reason = reset_reason::internal_error;
    it.reset_ = reason;
    it.in_.clear();
    it.schedule_locked();
    return !it.is_submitted_;
}

result<message_head, link_error> link_stream::read_head(time_point deadline)
{
    stream_state& it = *state_;
    std::unique_lock lock(it.mutex_);
    const bool is_ready = wait(lock, deadline, [&] { return it.received_head_ || it.is_over(); });
    if (it.received_head_)
        return *it.received_head_;
    if (it.is_over())
        return it.error_.value_or(already_ended);
    assert(!is_ready);
    static_cast<void>(is_ready);
    return deadline_error();
}

bool link_stream::has_head(time_point until)
{
    stream_state& it = *state_;
    std::unique_lock lock(it.mutex_);
    return wait(lock, until, [&] { return it.received_head_ || it.is_over(); });
}

bool link_stream::withdraw_unsent()
{
    const std::lock_guard lock(state_->mutex_);
    return deadline_error().kind == link_failure::not_sent;
}

// Counts the bytes read, so that the link replenishes the peer's window by as much.
result<std::size_t, link_error> link_stream::read(std::span<char> buf, time_point deadline)
{
    stream_state& it = *state_;
    std::unique_lock lock(it.mutex_);
    const bool is_ready =
        wait(lock, deadline, [&] { return !it.in_.empty() || it.is_input_ended_ || it.is_over(); });
    if (!is_ready)
        return deadline_error();
    if (it.reset_)
        return it.error_.value_or(already_ended);
    const std::size_t n = it.in_.pop(buf);
    if (n > 0) {
        it.taken_bytes_ += n;
        if (!it.is_input_ended_ && it.taken_bytes_ >= it.limits_.window_step)
            it.schedule_locked();
        return n;
    }
    if (it.is_input_ended_)
        return std::size_t{0};
    return it.error_.value_or(already_ended);
}

const message_head& link_stream::head() const
{
    return state_->request();
}

bool link_stream::has_no_body() const
{
    return state_->request_ends();
}

result<ok, link_error> link_stream::respond(message_head head, bool ends)
{
    stream_state& it = *state_;
    assert(!it.is_caller_);
    if (!is_sendable(head, it.limits_.head_bytes) || head.status == 0)
        return link_error{.reason = "a link cannot carry this response head: invalid or too large"};
    const std::lock_guard lock(it.mutex_);
    if (it.is_over() || it.is_responded_)
        return it.error_.value_or(already_ended);
    it.is_responded_ = true;
    it.is_output_ended_ = ends;
    it.is_output_end_taken_ = ends;
    it.response_ = std::move(head);
    it.response_ends_ = ends;
    it.schedule_locked();
    return ok{};
}

bool link_stream::is_cancelled() const
{
    const std::lock_guard lock(state_->mutex_);
    return state_->is_cancelled_;
}

void link_stream::on_cancel(std::function<void()> it)
{
    {
        const std::lock_guard lock(state_->mutex_);
        if (!state_->is_cancelled_ || !it) {
            state_->on_cancel_ = std::move(it);
            return;
        }
    }
    it();
}

link_identity link_stream::peer() const
{
    const std::lock_guard lock(state_->mutex_);
    return state_->peer_;
}

} // namespace jasminebank
