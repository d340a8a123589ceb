#include "link_streams.h"

#include "link_session.h"
#include "session_callbacks.h"

#include <utility>

namespace jasminebank {

/// Gives control messages priority over request and response bodies.
constexpr std::int32_t control_weight = NGHTTP2_MAX_WEIGHT;
constexpr int first_final_status = 200;

static void end_request(link_context& context, std::shared_ptr<stream_state> state,
                        std::optional<link_error> error)
{
    context.deferred.emplace_back([state = std::move(state), error] { state->end_stream(error); });
}

static void end_call(link_context& context, control_call& it,
                     result<std::string, link_error> answer)
{
    if (!it.done)
        return;
    context.deferred.emplace_back(
        [done = std::exchange(it.done, nullptr), answer = std::move(answer)]() mutable {
            done(std::move(answer));
        });
}

void fail_outgoing(link_context& context, outgoing_stream& it, link_error error)
{
    if (it.call)
        end_call(context, *it.call, error);
    else
        end_request(context, std::move(it.state), error);
}

void link_streams::attach(nghttp2_session* session, std::weak_ptr<link_session> owner)
{
    session_ = session;
    owner_ = std::move(owner);
}

bool link_streams::is_request(std::int32_t id) const
{
    const stream_entry* entry = table_.find(id);
    return entry != nullptr && entry->kind == stream_kind::request;
}

traffic_cause link_streams::cause_of(std::int32_t id, bool is_head) const
{
    const stream_entry* entry = table_.find(id);
    if (entry == nullptr)
        return traffic_cause::other_frame;
    if (entry->kind == stream_kind::control)
        return entry->cause;
    if (is_caller_)
        return is_head ? traffic_cause::request_head : traffic_cause::request_body;
    return is_head ? traffic_cause::response_head : traffic_cause::response_body;
}

traffic_cause link_streams::cause_of_path(std::string_view path) const
{
    const auto& options = context_.options;
    return options.cause_of_path ? options.cause_of_path(path) : traffic_cause::other_control;
}

void link_streams::reset(std::int32_t id, std::uint32_t code)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
}

// REFUSED_STREAM guarantees to the peer that the request did not run. Call this only before the
// stream has been passed to a handler.
void link_streams::refuse(std::int32_t id)
{
    reset(id, NGHTTP2_REFUSED_STREAM);
    table_.remove(id);
}

// ---- the connecting end ----------------------------------------------------------------------

void link_streams::submit(outgoing_stream it)
{
    const stream_kind kind = it.call ? stream_kind::control : stream_kind::request;
    if (!table_.has_room(kind))
        fail_outgoing(context_, it,
                      {.kind = link_failure::not_sent, .reason = "too many streams on the link"});
    else if (it.call)
        submit_call(std::move(it));
    else
        submit_request(std::move(it));
}

// Returns the identifier of the new stream, or a negative error code of nghttp2.
std::int32_t link_streams::submit_head(const message_head& head, stream_kind kind, bool has_body)
{
    const nghttp2_head fields = request_fields(head, kind);
    const bool is_control = kind == stream_kind::control;
    nghttp2_priority_spec priority;
    nghttp2_priority_spec_init(&priority, 0, is_control ? control_weight : NGHTTP2_DEFAULT_WEIGHT,
                               0);
    const nghttp2_data_provider body = session_callbacks::body();
    return nghttp2_submit_request(session_, &priority, fields.fields.data(), fields.fields.size(),
                                  has_body ? &body : nullptr, nullptr);
}

// Does not submit a request that its caller has already withdrawn.
void link_streams::submit_request(outgoing_stream it)
{
    stream_state& state = *it.state;
    if (!state.mark_submitted()) {
        end_request(context_, std::move(it.state), std::nullopt);
        return;
    }
    state.set_peer(peer_);
    const std::int32_t id =
        submit_head(state.request(), stream_kind::request, !state.request_ends());
    if (id < 0) {
        fail_outgoing(
            context_, it,
            {.kind = link_failure::not_sent, .reason = "no stream could be submitted to nghttp2"});
        return;
    }
    state.stream_id = id;
    stream_entry& entry = table_.add(id);
    entry.is_output_ended = state.request_ends();
    entry.state = std::move(it.state);
    table_.count(entry);
}

void link_streams::submit_call(outgoing_stream it)
{
    const message_head head{.method = "POST", .path = it.call->path};
    const std::int32_t id = submit_head(head, stream_kind::control, true);
    if (id < 0) {
        fail_outgoing(
            context_, it,
            {.kind = link_failure::not_sent, .reason = "no stream could be submitted to nghttp2"});
        return;
    }
    stream_entry& entry = table_.add(id);
    entry.kind = stream_kind::control;
    entry.cause = cause_of_path(head.path);
    entry.control = std::make_shared<control_exchange>();
    entry.control->out = std::move(it.call->payload);
    entry.control->call = std::move(it.call);
    table_.count(entry);
}

void link_streams::on_answer_head(std::int32_t id, stream_entry& entry)
{
    if (entry.received_head.head.status < first_final_status)
        reset(id, NGHTTP2_PROTOCOL_ERROR);
    else if (entry.state)
        entry.state->receive_head(std::move(entry.received_head.head));
}

void link_streams::expire_calls(time_point now)
{
    for (auto& [id, entry] : table_) {
        control_exchange* it = entry.control.get();
        if (it == nullptr || !it->call || !it->call->done || now < it->call->deadline)
            continue;
        end_call(context_, *it->call,
                 link_error{.kind = link_failure::timed_out, .reason = "deadline passed"});
        reset(id, NGHTTP2_CANCEL);
    }
}

// ---- the accepting end -----------------------------------------------------------------------

void link_streams::on_request_head(std::int32_t id, stream_entry& entry, bool ends)
{
    const link_options& options = context_.options;
    entry.kind = entry.received_head.kind;
    const bool has_handler =
        entry.kind == stream_kind::control || static_cast<bool>(options.on_stream);
    if (!has_handler || !table_.has_room(entry.kind)) {
        refuse(id);
        return;
    }
    table_.count(entry);
    if (entry.kind == stream_kind::control) {
        entry.cause = cause_of_path(entry.received_head.head.path);
        entry.control = std::make_shared<control_exchange>();
        return;
    }
    entry.state = std::make_shared<stream_state>(context_.queue, limits_of(options), false,
                                                 std::move(entry.received_head.head), ends);
    entry.state->stream_id = id;
    entry.state->session = owner_;
    entry.state->set_peer(peer_);
    context_.deferred.emplace_back([&handler = options.on_stream, state = entry.state] {
        handler(std::make_shared<link_stream>(state));
    });
}

// A complete control payload has arrived: the response at the connecting end, the request, which is
// passed to the handler, at the accepting end.
void link_streams::on_control_ended(std::int32_t id, stream_entry& entry)
{
    std::string payload = table_.take_control_bytes(entry);
    if (is_caller_) {
        if (entry.has_head)
            end_call(context_, *entry.control->call, std::move(payload));
        return;
    }
    context_.deferred.emplace_back([this, owner = owner_, id,
                                    path = std::move(entry.received_head.head.path),
                                    payload = std::move(payload)]() mutable {
        const auto alive = owner.lock();
        if (alive && table_.find(id) != nullptr)
            run_control(id, std::move(path), std::move(payload));
    });
}

// The handler either responds now, or takes a handle to respond later, or does neither. Only the
// last case is refused as not run: once a handle was created, the message may have been acted on,
// even if the handle no longer exists.
void link_streams::run_control(std::int32_t id, std::string path, std::string payload)
{
    const auto is_deferred = std::make_shared<bool>(false);
    const auto defer = [queue = context_.queue, owner = owner_, id, is_deferred] {
        *is_deferred = true;
        return std::make_shared<control_reply>(queue, [owner, id](std::optional<std::string> it) {
            if (const auto session = owner.lock())
                session->answer_deferred(id, std::move(it));
        });
    };
    std::optional<std::string> now;
    if (context_.options.on_control)
        now = context_.options.on_control({.peer = peer_,
                                           .path = std::move(path),
                                           .payload = std::move(payload),
                                           .defer = defer});
    if (now || !*is_deferred)
        answer(id, std::move(now), NGHTTP2_REFUSED_STREAM);
}

void link_streams::answer(std::int32_t id, std::optional<std::string> payload, std::uint32_t code)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr || entry->is_answered)
        return;
    entry->is_answered = true;
    if (payload && payload->size() > context_.options.max_control_bytes) {
        payload.reset();
        code = NGHTTP2_INTERNAL_ERROR;
    }
    if (!payload) {
        reset(id, code);
        return;
    }
    entry->control->out = std::move(*payload);
    submit_answer(id, {.status = first_final_status}, true);
}

void link_streams::submit_answer(std::int32_t id, const message_head& head, bool has_body)
{
    const nghttp2_head fields = answer_fields(head);
    const nghttp2_data_provider body = session_callbacks::body();
    nghttp2_submit_response(session_, id, fields.fields.data(), fields.fields.size(),
                            has_body ? &body : nullptr);
}

// ---- both ends -------------------------------------------------------------------------------

int link_streams::on_field(std::int32_t id, std::string_view name, std::string_view value)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr || entry->has_head)
        return 0;
    const bool is_valid = add_field(entry->received_head, name, value) &&
                          entry->received_head.bytes <= context_.options.max_head_bytes;
    return is_valid ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

void link_streams::on_head(std::int32_t id, bool ends)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr || entry->has_head)
        return;
    entry->has_head = true;
    if (is_caller_)
        on_answer_head(id, *entry);
    else
        on_request_head(id, *entry, ends);
}

// Control payloads are limited individually and in total, so their windows are replenished on
// receipt. The window of a request stream is replenished when a worker has read the bytes.
void link_streams::on_data(std::int32_t id, std::span<const char> bytes)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr)
        return;
    if (entry->state)
        entry->state->receive(bytes);
    else if (!entry->control)
        return;
    else if (table_.add_control_bytes(*entry, bytes))
        nghttp2_session_consume_stream(session_, id, bytes.size());
    else if (is_caller_)
        reset(id, NGHTTP2_CANCEL);
    else
        refuse(id);
}

void link_streams::on_input_ended(std::int32_t id)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr || entry->is_input_ended)
        return;
    entry->is_input_ended = true;
    if (entry->state)
        entry->state->receive_end();
    else if (entry->control)
        on_control_ended(id, *entry);
}

void link_streams::on_before_head_sent(std::int32_t id, std::uint64_t offset)
{
    stream_entry* entry = table_.find(id);
    if (entry != nullptr && !entry->head_offset)
        entry->head_offset = offset;
}

// Once the response has been sent completely, the rest of the request is not needed: a reset with
// NO_ERROR signals the peer to stop sending it.
void link_streams::on_output_ended(std::int32_t id)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr)
        return;
    entry->is_output_ended = true;
    if (!is_caller_ && !entry->is_input_ended)
        reset(id, NGHTTP2_NO_ERROR);
}

ssize_t link_streams::take_output(std::int32_t id, std::span<char> buf, std::uint32_t& flags)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (entry->state) {
        const stream_output out = entry->state->take_output(buf);
        if (out.is_end)
            flags |= NGHTTP2_DATA_FLAG_EOF;
        else if (out.bytes == 0)
            return NGHTTP2_ERR_DEFERRED;
        return static_cast<ssize_t>(out.bytes);
    }
    control_exchange& it = *entry->control;
    const std::size_t n = it.out.copy(buf.data(), buf.size(), it.out_taken);
    it.out_taken += n;
    if (it.out_taken == it.out.size())
        flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
}

// Replenishes the receive window by the bytes that the worker has read. The first time, it also
// enlarges the window if the link's memory limit allows.
void link_streams::apply_work(stream_state& state)
{
    const stream_work work = state.take_work();
    const std::int32_t id = state.stream_id;
    stream_entry* entry = table_.find(id);
    if (entry == nullptr || entry->state.get() != &state)
        return;
    if (work.response)
        submit_answer(id, *work.response, !work.response_ends);
    if (work.taken_bytes > 0) {
        const auto window = static_cast<std::int32_t>(context_.options.stream_buffer_bytes);
        if (table_.grow_window(*entry))
            nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, id, window);
        nghttp2_session_consume_stream(session_, id, work.taken_bytes);
    }
    if (work.has_output)
        nghttp2_session_resume_data(session_, id);
    if (work.reset)
        reset(id, static_cast<std::uint32_t>(*work.reset));
}

// ---- closing and errors ----------------------------------------------------------------------

bool link_streams::was_sent(const stream_entry& entry) const
{
    return entry.head_offset && wire_.sent_total() > *entry.head_offset;
}

// REFUSED_STREAM means that the peer did not run the request, but not after a response head: then
// the handler has already run.
link_error link_streams::closed_error(const stream_entry& entry, std::uint32_t code) const
{
    if (!is_caller_)
        return {.kind = link_failure::closed, .code = code, .reason = "the caller gave up"};
    if (!was_sent(entry))
        return {.kind = link_failure::not_sent, .code = code, .reason = "request was not sent"};
    if (code == NGHTTP2_REFUSED_STREAM && !entry.has_head)
        return {.kind = link_failure::not_sent, .code = code, .reason = "refused by the peer"};
    return {.kind = link_failure::peer_reset, .code = code, .reason = "stream was reset"};
}

link_error link_streams::broken_error(const stream_entry& entry, std::string_view reason) const
{
    if (!is_caller_)
        return {.kind = link_failure::closed, .reason = reason};
    return {.kind = was_sent(entry) ? link_failure::maybe_sent : link_failure::not_sent,
            .reason = reason};
}

void link_streams::on_closed(std::int32_t id, std::uint32_t code)
{
    stream_entry* entry = table_.find(id);
    if (entry == nullptr)
        return;
    const bool is_whole =
        is_caller_ ? entry->is_input_ended : code == NGHTTP2_NO_ERROR && entry->is_output_ended;
    std::optional<link_error> error;
    if (!is_whole)
        error = closed_error(*entry, code);
    finish(*entry, error);
    table_.remove(id);
}

void link_streams::finish(stream_entry& entry, std::optional<link_error> error)
{
    constexpr link_error no_answer{.kind = link_failure::peer_reset,
                                   .reason = "no complete answer"};
    if (entry.state)
        end_request(context_, entry.state, error);
    else if (entry.control && entry.control->call)
        end_call(context_, *entry.control->call, error.value_or(no_answer));
}

void link_streams::fail_all(std::string_view reason)
{
    for (auto& [id, entry] : table_) {
        const bool is_whole = is_caller_ && entry.is_input_ended;
        if (is_whole)
            finish(entry, std::nullopt);
        else
            finish(entry, broken_error(entry, reason));
    }
    while (!table_.empty())
        table_.remove(table_.begin()->first);
}

} // namespace jasminebank
