#include "link_session.h"

#include "log.h"
#include "session_callbacks.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace jasminebank {

/// Output collected from nghttp2 before each send.
constexpr std::size_t output_chunk_bytes = 256UL * 1024;
/// Buffer size of one receive call, and the limit on calls per session and loop iteration, so that
/// one busy link does not delay the others.
constexpr std::size_t input_chunk_bytes = 64UL * 1024;
constexpr int receives_per_turn = 4;
/// Receive window of the whole connection. It is replenished as soon as data is received, so that
/// one slow reader does not block the other streams; the windows of the streams limit the memory of
/// a link.
constexpr std::int32_t connection_window_bytes = 64 * 1024 * 1024;
/// How long a link that has shut down its output waits for the peer to close.
constexpr duration linger_time = std::chrono::seconds(1);
/// Size of an HTTP/2 frame header.
constexpr std::size_t frame_head_bytes = 9;
/// Limits on queued outgoing frames other than DATA: per stream (head, reset, window updates) and
/// per link. More than `max_queued_link_frames + max_queued_frames_per_stream * (max_streams +
/// max_control_streams)` means that the peer sends requests without reading the responses.
constexpr std::size_t max_queued_frames_per_stream = 4;
constexpr std::size_t max_queued_link_frames = 1000;
/// HTTP/2 identifier of the first stream of a connection, which carries the handshake.
constexpr std::int32_t handshake_stream = 1;

link_session::link_session(link_context& context, int fd, link_end end, std::string address,
                           time_point now)
    : context_(context), wire_(fd), end_(end), address_(std::move(address)),
      phase_(end == link_end::connecting ? link_phase::connecting : link_phase::authenticating),
      streams_(context, wire_, end == link_end::connecting),
      handshake_(end, context.options.self, context.options.fleet_key),
      phase_deadline_(now + context.options.connect_timeout), last_received_at_(now),
      last_used_at_(now), silence_({.ping_after = context.options.ping_after,
                                    .doubt_after = context.options.doubt_after,
                                    .ping_timeout = context.options.ping_timeout})
{
    ++context_.counters->links;
    refresh_cut();
}

link_session::~link_session()
{
    assert(!has_streams());
    nghttp2_session_del(session_);
    --context_.counters->links;
}

std::shared_ptr<link_session> link_session::connect(link_context& context, const endpoint& peer,
                                                    time_point now)
{
    const int fd = start_connect(peer);
    if (fd < 0)
        return nullptr;
    ++context.counters->connects;
    return std::shared_ptr<link_session>(
        new link_session(context, fd, link_end::connecting, to_string(peer), now));
}

std::shared_ptr<link_session> link_session::accept(link_context& context, int fd,
                                                   std::string address, time_point now)
{
    ++context.counters->accepts;
    std::shared_ptr<link_session> it(
        new link_session(context, fd, link_end::accepting, std::move(address), now));
    it->start();
    return it;
}

// The initial window is small so that many streams fit into the memory limit of a link; a stream
// gets a larger window on its first read.
void link_session::start()
{
    const auto* callbacks = session_callbacks::table();
    const auto* option = session_callbacks::options();
    if (is_caller())
        nghttp2_session_client_new2(&session_, callbacks, this, option);
    else
        nghttp2_session_server_new2(&session_, callbacks, this, option);
    streams_.attach(session_, weak_from_this());
    const link_options& options = context_.options;
    const auto streams =
        static_cast<std::uint32_t>(options.max_streams + options.max_control_streams);
    const auto window = static_cast<std::uint32_t>(options.first_window_bytes);
    const std::array<nghttp2_settings_entry, 3> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
         {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    const std::size_t n = is_caller() ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), n);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

bool link_session::takes_streams() const
{
    return is_caller() && phase_ < link_phase::lingering && !is_going_away_ &&
           !silence_.is_doubtful();
}

bool link_session::is_busy() const
{
    return has_streams() || phase_ != link_phase::ready || wire_.waiting_bytes() > 0;
}

std::uint32_t link_session::wanted_events() const
{
    std::uint32_t out = 0;
    if (phase_ == link_phase::connecting) {
        if (!is_cut())
            out |= EPOLLOUT;
        return out;
    }
    if (!cuts_inbound(wire_.cut()))
        out |= EPOLLIN;
    if (is_output_blocked_ && !cuts_outbound(wire_.cut()))
        out |= EPOLLOUT;
    return out;
}

void link_session::refresh_cut()
{
    wire_.set_cut(cut_of(context_, peer_.vm_name, address_));
}

void link_session::schedule_flush()
{
    context_.to_flush.push_back(shared_from_this());
}

// ---- input -----------------------------------------------------------------------------------

void link_session::on_events(std::uint32_t events, time_point now)
{
    if (phase_ == link_phase::connecting) {
        on_connected(now);
        return;
    }
    if ((events & EPOLLOUT) != 0)
        is_output_blocked_ = false;
    const bool is_readable = (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0;
    if (is_readable && !cuts_inbound(wire_.cut()))
        on_readable(now);
}

void link_session::on_connected(time_point now)
{
    if (is_cut())
        return;
    if (wire_.connect_error() != 0) {
        fail("connection refused");
        return;
    }
    phase_ = link_phase::authenticating;
    last_received_at_ = now;
    silence_.received(now);
    start();
    start_handshake();
}

void link_session::on_readable(time_point now)
{
    static thread_local std::array<std::uint8_t, input_chunk_bytes> buf;
    for (int n = 0; n < receives_per_turn && phase_ != link_phase::closed; ++n) {
        std::size_t got = 0;
        const receive_state state = wire_.receive(buf, got);
        if (state == receive_state::would_block)
            return;
        if (state != receive_state::some) {
            fail("connection closed by the peer");
            return;
        }
        last_received_at_ = now;
        silence_.received(now);
        if (phase_ != link_phase::lingering)
            receive(std::span(buf).first(got));
        if (got < buf.size())
            return;
    }
}

void link_session::receive(std::span<const std::uint8_t> bytes)
{
    if (nghttp2_session_mem_recv(session_, bytes.data(), bytes.size()) < 0)
        fail("malformed HTTP/2 input");
    else if (failure_)
        fail(*failure_);
}

// ---- handshake -------------------------------------------------------------------------------

void link_session::start_handshake()
{
    const message_head head = handshake_.introduce();
    const nghttp2_head fields = request_fields(head, stream_kind::control);
    const nghttp2_data_provider body = session_callbacks::body();
    const std::int32_t id = nghttp2_submit_request(session_, nullptr, fields.fields.data(),
                                                   fields.fields.size(), &body, nullptr);
    assert(id == handshake_stream);
    static_cast<void>(id);
}

// Receives the introduction at the accepting end and the response to it at the connecting end. The
// accepting end learns the peer's VM name only here, so a simulated fault set for that name takes
// effect from here on.
void link_session::on_handshake_head()
{
    if (is_caller()) {
        const auto proof = handshake_.prove(peer_handshake_head_.head);
        if (!proof) {
            failure_ = "wrong fleet key";
            return;
        }
        unsent_proof_ = *proof;
        nghttp2_session_resume_data(session_, handshake_stream);
        return;
    }
    const auto answer = handshake_.answer(peer_handshake_head_.head);
    if (!answer) {
        failure_ = "malformed handshake head";
        return;
    }
    wire_.set_cut(cut_of(context_, handshake_.peer().vm_name, address_));
    const nghttp2_head fields = answer_fields(*answer);
    nghttp2_submit_response(session_, handshake_stream, fields.fields.data(), fields.fields.size(),
                            nullptr);
}

void link_session::on_handshake_ended()
{
    if (is_caller())
        return;
    if (handshake_.accepts(received_proof_))
        become_ready();
    else
        failure_ = "wrong fleet key";
}

ssize_t link_session::copy_proof(std::span<char> buf, std::uint32_t& flags)
{
    if (unsent_proof_.empty())
        return NGHTTP2_ERR_DEFERRED;
    const std::size_t n = unsent_proof_.copy(buf.data(), buf.size());
    unsent_proof_.erase(0, n);
    if (unsent_proof_.empty())
        flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
}

void link_session::become_ready()
{
    phase_ = link_phase::ready;
    peer_ = handshake_.peer();
    refresh_cut();
    streams_.set_peer(peer_);
    log_event(event::link_opened, "{} {} run {} at {}", is_caller() ? "to" : "from", peer_.vm_name,
              peer_.run.value, address_);
    for (outgoing_stream& it : std::exchange(waiting_, {}))
        streams_.submit(std::move(it));
    if (context_.is_draining)
        announce_drain(false);
}

// ---- streams ---------------------------------------------------------------------------------

void link_session::open(outgoing_stream it, time_point now)
{
    const link_options& options = context_.options;
    if (!has_streams())
        last_used_at_ = now;
    silence_.expect_answer(now);
    if (it.state)
        it.state->session = weak_from_this();
    if (phase_ == link_phase::ready)
        streams_.submit(std::move(it));
    else if (waiting_.size() < options.max_streams + options.max_control_streams)
        waiting_.push_back(std::move(it));
    else
        fail_outgoing(
            context_, it,
            {.kind = link_failure::not_sent, .reason = "too many streams wait for the link"});
    schedule_flush();
}

void link_session::apply_work(stream_state& state)
{
    if (phase_ == link_phase::ready)
        streams_.apply_work(state);
    else
        state.take_work();
    schedule_flush();
}

void link_session::answer_deferred(std::int32_t stream_id, std::optional<std::string> payload)
{
    if (phase_ != link_phase::ready)
        return;
    streams_.answer(stream_id, std::move(payload), NGHTTP2_INTERNAL_ERROR);
    schedule_flush();
}

void link_session::on_stream_begun(const nghttp2_frame& frame)
{
    const std::int32_t id = frame.hd.stream_id;
    const bool is_request =
        frame.hd.type == NGHTTP2_HEADERS && frame.headers.cat == NGHTTP2_HCAT_REQUEST;
    if (!is_request || id == handshake_stream)
        return;
    if (phase_ == link_phase::ready) {
        if (!has_streams())
            last_used_at_ = last_received_at_;
        streams_.on_begun(id);
    }
    else {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
    }
}

int link_session::on_field(const nghttp2_frame& frame, std::string_view name,
                           std::string_view value)
{
    if (frame.hd.type != NGHTTP2_HEADERS)
        return 0;
    if (frame.hd.stream_id != handshake_stream)
        return streams_.on_field(frame.hd.stream_id, name, value);
    const bool is_valid = add_field(peer_handshake_head_, name, value) &&
                          peer_handshake_head_.bytes <= context_.options.max_head_bytes;
    return is_valid ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

void link_session::on_data(std::int32_t stream_id, std::span<const char> bytes)
{
    nghttp2_session_consume_connection(session_, bytes.size());
    if (stream_id != handshake_stream)
        streams_.on_data(stream_id, bytes);
    else if (received_proof_.size() + bytes.size() <= proof_bytes)
        received_proof_.append(bytes.data(), bytes.size());
    else
        failure_ = "handshake proof is too long";
}

traffic_counter& link_session::counter_of(std::int32_t stream_id) const
{
    const bool is_request = streams_.is_request(stream_id);
    return is_request ? context_.counters->requests : context_.counters->control;
}

// The scope is looked up again only after the known peers have changed.
void link_session::count_sent(const nghttp2_frame& frame)
{
    traffic_account* traffic = context_.options.traffic.get();
    if (traffic == nullptr)
        return;
    const std::uint64_t version = traffic->peers_version();
    if (phase_ == link_phase::ready && version != scope_version_) {
        scope_ = traffic->scope_of(id_of<vm_id>(peer_.vm_name));
        scope_version_ = version;
    }
    const bool is_head = frame.hd.type == NGHTTP2_HEADERS;
    const bool is_message = is_head || frame.hd.type == NGHTTP2_DATA;
    traffic->add(is_message ? streams_.cause_of(frame.hd.stream_id, is_head)
                            : traffic_cause::other_frame,
                 scope_, frame.hd.length + frame_head_bytes);
}

// Processes the head before counting its frame: only then is it known whether the stream is a
// request or a control message.
void link_session::on_frame(const nghttp2_frame& frame)
{
    const std::int32_t id = frame.hd.stream_id;
    const bool ends = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool is_head = frame.hd.type == NGHTTP2_HEADERS;
    if (is_head && id == handshake_stream)
        on_handshake_head();
    else if (is_head)
        streams_.on_head(id, ends);
    traffic_counter& counter = counter_of(id);
    ++counter.frames_in;
    counter.bytes_in += frame.hd.length + frame_head_bytes;
    if (frame.hd.type == NGHTTP2_GOAWAY)
        is_going_away_ = true;
    if (!ends || (!is_head && frame.hd.type != NGHTTP2_DATA))
        return;
    if (id == handshake_stream)
        on_handshake_ended();
    else
        streams_.on_input_ended(id);
}

// nghttp2 calls this before any byte of the frame is queued, so the total of queued bytes is the
// offset of the frame's first byte.
void link_session::on_before_frame_sent(const nghttp2_frame& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS)
        streams_.on_before_head_sent(frame.hd.stream_id, wire_.queued_total());
}

void link_session::on_frame_sent(const nghttp2_frame& frame)
{
    const std::int32_t id = frame.hd.stream_id;
    traffic_counter& counter = counter_of(id);
    ++counter.frames_out;
    counter.bytes_out += frame.hd.length + frame_head_bytes;
    count_sent(frame);
    const bool can_end = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if (!can_end || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
        return;
    if (id == handshake_stream)
        is_proof_sent_ = true;
    else
        streams_.on_output_ended(id);
}

void link_session::on_stream_closed(std::int32_t stream_id, std::uint32_t code)
{
    if (stream_id != handshake_stream)
        streams_.on_closed(stream_id, code);
    else if (code != NGHTTP2_NO_ERROR && phase_ == link_phase::authenticating && !failure_)
        failure_ = "the peer reset the proof stream"; // the handshake stream
}

ssize_t link_session::take_output(std::int32_t stream_id, std::span<char> buf, std::uint32_t& flags)
{
    if (stream_id == handshake_stream)
        return copy_proof(buf, flags);
    return streams_.take_output(stream_id, buf, flags);
}

// ---- timers ----------------------------------------------------------------------------------

static void expire_waiting_calls(link_context& context, std::vector<outgoing_stream>& waiting,
                                 time_point now)
{
    constexpr link_error late{.kind = link_failure::not_sent,
                              .reason = "deadline passed before the link was ready"};
    for (outgoing_stream& it : std::exchange(waiting, {})) {
        if (it.call && now >= it.call->deadline)
            fail_outgoing(context, it, late);
        else
            waiting.push_back(std::move(it));
    }
}

void link_session::on_tick(time_point now)
{
    const bool is_due = now >= phase_deadline_;
    if (phase_ == link_phase::lingering && is_due)
        phase_ = link_phase::closed;
    if (phase_ < link_phase::ready && is_due)
        fail("timeout before the link was ready");
    expire_waiting_calls(context_, waiting_, now);
    if (phase_ != link_phase::ready)
        return;
    streams_.expire_calls(now);
    check_silence(now);
    if (phase_ == link_phase::ready && !has_streams())
        check_idle(now);
}

void link_session::check_silence(time_point now)
{
    const silence_action action = silence_.step(has_streams(), now);
    if (action == silence_action::ping)
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    if (action != silence_action::close)
        return;
    log_event(event::link_dead, "no answer from {} at {}", peer_.vm_name, address_);
    ++context_.counters->dead_links;
    fail("no answer from the peer");
}

// The end that opened an idle link closes it. The accepting end waits twice as long, so that it
// closes only links that their opener failed to close.
void link_session::check_idle(time_point now)
{
    const duration limit = context_.options.idle_timeout * (is_caller() ? 1 : 2);
    if (is_going_away_ || now - std::max(last_received_at_, last_used_at_) < limit)
        return;
    is_going_away_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                          nullptr, 0);
}

// ---- output and closing ----------------------------------------------------------------------

// The connecting end becomes ready as soon as its proof is queued, so that waiting requests follow
// the proof without another round trip.
void link_session::fill_output()
{
    while (wire_.waiting_bytes() < output_chunk_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(session_, &data);
        if (n < 0) {
            failure_ = "internal error of the nghttp2 session";
            return;
        }
        if (n > 0)
            wire_.push({data, static_cast<std::size_t>(n)});
        else if (is_caller() && is_proof_sent_ && phase_ == link_phase::authenticating)
            become_ready();
        else
            return;
    }
}

void link_session::flush(time_point now)
{
    while (phase_ == link_phase::authenticating || phase_ == link_phase::ready) {
        fill_output();
        if (failure_) {
            fail(*failure_);
            return;
        }
        if (wire_.waiting_bytes() == 0)
            break;
        if (!wire_.send()) {
            fail("connection broken");
            return;
        }
        is_output_blocked_ = wire_.waiting_bytes() > 0;
        if (is_output_blocked_)
            break;
    }
    end_if_done(now);
}

void link_session::end_if_done(time_point now)
{
    if (phase_ != link_phase::authenticating && phase_ != link_phase::ready)
        return;
    const link_options& options = context_.options;
    const std::size_t limit =
        max_queued_link_frames +
        max_queued_frames_per_stream * (options.max_streams + options.max_control_streams);
    if (nghttp2_session_get_outbound_queue_size(session_) > limit)
        fail("the peer sends requests without reading responses");
    else if (nghttp2_session_want_read(session_) == 0 &&
             nghttp2_session_want_write(session_) == 0 && wire_.waiting_bytes() == 0)
        linger(now);
}

// Shuts down only the output and waits for the peer to close: closing a socket with unread input
// resets the connection, and the peer could lose the last bytes sent.
void link_session::linger(time_point now)
{
    if (has_streams() || phase_ == link_phase::authenticating) {
        fail("HTTP/2 session ended by the peer");
        return;
    }
    log_event(event::link_closed, "{} at {}: idle or drained", peer_.vm_name, address_);
    wire_.shutdown_output();
    phase_ = link_phase::lingering;
    phase_deadline_ = now + linger_time;
}

void link_session::announce_drain(bool is_final)
{
    if (is_caller() || phase_ != link_phase::ready)
        return;
    if (is_final)
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                              nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                              nullptr, 0);
    else
        nghttp2_submit_shutdown_notice(session_);
    schedule_flush();
}

// Logs at most one refusal per second, so that unauthenticated connections cannot flood the log.
static void log_refusal(link_context& context, const std::string& address, std::string_view reason,
                        time_point now)
{
    constexpr duration log_interval = std::chrono::seconds(1);
    ++context.counters->refused_links;
    if (now < context.next_refusal_log) {
        ++context.unlogged_refusals;
        return;
    }
    context.next_refusal_log = now + log_interval;
    log_event(event::link_refused, "{}: {} ({} more before)", address, reason,
              std::exchange(context.unlogged_refusals, 0));
}

void link_session::fail(std::string_view reason)
{
    if (phase_ == link_phase::closed)
        return;
    const link_phase before = std::exchange(phase_, link_phase::closed);
    streams_.fail_all(reason);
    for (outgoing_stream& it : std::exchange(waiting_, {}))
        fail_outgoing(context_, it, {.kind = link_failure::not_sent, .reason = reason});
    if (before == link_phase::ready)
        log_event(event::link_closed, "{} at {}: {}", peer_.vm_name, address_, reason);
    else if (before == link_phase::authenticating)
        log_refusal(context_, address_, reason, last_received_at_);
    schedule_flush();
}

} // namespace jasminebank
