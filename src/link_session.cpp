#include "link_session.h"

#include "log.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace jasminebank {

/// Output gathered before one send.
constexpr std::size_t output_chunk_bytes = 256UL * 1024;
/// Input taken by one receive, and how many of them one turn gives a session.
constexpr std::size_t input_chunk_bytes = 64UL * 1024;
constexpr int receives_per_turn = 4;
/// Window of the whole connection. It is given back at once; the windows of the streams bound what
/// a link holds, so that one slow reader does not stop the others.
constexpr std::int32_t connection_window_bytes = 64 * 1024 * 1024;
/// How long a link that has said all waits for the peer to close.
constexpr duration linger_time = std::chrono::seconds(1);
/// Control messages go first where they compete with bodies.
constexpr std::int32_t control_weight = NGHTTP2_MAX_WEIGHT;
constexpr std::size_t longest_vm_name = 255;
constexpr std::size_t proof_bytes = 2 * digest_bytes;
/// The fixed part of an HTTP/2 frame.
constexpr std::size_t frame_head_bytes = 9;
constexpr std::string_view peer_silent = "no answer from the peer";

// The C interface of nghttp2, turned to member functions.
struct session_callbacks {
    static link_session& of(void* user_data) { return *static_cast<link_session*>(user_data); }

    static int begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
    {
        of(user_data).on_stream_begun(*frame);
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t, void* user_data)
    {
        return of(user_data).on_field(*frame, {reinterpret_cast<const char*>(name), name_length},
                                      {reinterpret_cast<const char*>(value), value_length});
    }

    static int data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream_id,
                          const std::uint8_t* data, std::size_t n, void* user_data)
    {
        of(user_data).on_data(stream_id, {reinterpret_cast<const char*>(data), n});
        return 0;
    }

    static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
    {
        of(user_data).on_frame(*frame);
        return 0;
    }

    // Nothing of the frame is in the output yet, so the output's length is the place of its first
    // byte.
    static int before_frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
    {
        link_session& it = of(user_data);
        stream_entry* entry = it.find(frame->hd.stream_id);
        if (entry != nullptr && frame->hd.type == NGHTTP2_HEADERS && !entry->first_byte)
            entry->first_byte = it.wire_.queued_total();
        return 0;
    }

    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user_data)
    {
        of(user_data).on_frame_sent(*frame);
        return 0;
    }

    static int frame_not_sent(nghttp2_session*, const nghttp2_frame* frame, int, void* user_data)
    {
        link_session& it = of(user_data);
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            it.on_stream_closed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
        return 0;
    }

    static int stream_closed(nghttp2_session*, std::int32_t stream_id, std::uint32_t code,
                             void* user_data)
    {
        of(user_data).on_stream_closed(stream_id, code);
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t stream_id, std::uint8_t* buf,
                             std::size_t n, std::uint32_t* flags, nghttp2_data_source*,
                             void* user_data)
    {
        return of(user_data).take_output(stream_id, {reinterpret_cast<char*>(buf), n}, *flags);
    }

    static nghttp2_session_callbacks* table()
    {
        static nghttp2_session_callbacks* const it = [] {
            nghttp2_session_callbacks* out = nullptr;
            nghttp2_session_callbacks_new(&out);
            nghttp2_session_callbacks_set_on_begin_headers_callback(out, begin_headers);
            nghttp2_session_callbacks_set_on_header_callback(out, header);
            nghttp2_session_callbacks_set_on_data_chunk_recv_callback(out, data_chunk);
            nghttp2_session_callbacks_set_on_frame_recv_callback(out, frame_received);
            nghttp2_session_callbacks_set_before_frame_send_callback(out, before_frame_sent);
            nghttp2_session_callbacks_set_on_frame_send_callback(out, frame_sent);
            nghttp2_session_callbacks_set_on_frame_not_send_callback(out, frame_not_sent);
            nghttp2_session_callbacks_set_on_stream_close_callback(out, stream_closed);
            return out;
        }();
        return it;
    }

    static nghttp2_option* options()
    {
        static nghttp2_option* const it = [] {
            nghttp2_option* out = nullptr;
            nghttp2_option_new(&out);
            nghttp2_option_set_no_auto_window_update(out, 1);
            nghttp2_option_set_no_closed_streams(out, 1);
            return out;
        }();
        return it;
    }
};

link_session::link_session(link_context& context, int fd, link_end end, std::string address,
                           time_point now)
    : context_(context), wire_(fd), end_(end), address_(std::move(address)),
      phase_(end == link_end::connecting ? link_phase::connecting : link_phase::proving),
      phase_deadline_(now + context.options.connect_timeout), last_heard_(now), busy_since_(now)
{
    ++context_.counters->links;
    refresh_cut();
}

link_session::~link_session()
{
    assert(entries_.empty() && waiting_.empty());
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

// The first window is small so that many streams fit the bound of a link; a stream that is read
// gets a larger one.
void link_session::start()
{
    const auto* callbacks = session_callbacks::table();
    const auto* option = session_callbacks::options();
    if (is_caller())
        nghttp2_session_client_new2(&session_, callbacks, this, option);
    else
        nghttp2_session_server_new2(&session_, callbacks, this, option);
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
    return is_caller() && phase_ < link_phase::lingering && !is_leaving_;
}

bool link_session::is_busy() const
{
    return has_streams() || phase_ != link_phase::ready;
}

std::uint32_t link_session::wanted_events() const
{
    std::uint32_t out = 0;
    if (phase_ == link_phase::connecting) {
        if (wire_.cut() == cut_direction::none)
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

void link_session::on_events(std::uint32_t events, time_point now)
{
    if (phase_ == link_phase::connecting) {
        on_connected(now);
        return;
    }
    if ((events & EPOLLOUT) != 0)
        is_output_blocked_ = false;
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        on_readable(now);
}

void link_session::on_connected(time_point now)
{
    if (wire_.cut() != cut_direction::none)
        return;
    if (wire_.connect_error() != 0) {
        fail("connection refused");
        return;
    }
    phase_ = link_phase::proving;
    last_heard_ = now;
    start();
    start_proof();
}

void link_session::on_readable(time_point now)
{
    static thread_local std::array<std::uint8_t, input_chunk_bytes> buf;
    for (int n = 0; n < receives_per_turn && phase_ != link_phase::closed; ++n) {
        std::size_t got = 0;
        const receive_state state = wire_.receive(buf, got);
        if (state == receive_state::nothing_yet)
            return;
        if (state != receive_state::some) {
            fail("connection closed by the peer");
            return;
        }
        last_heard_ = now;
        pinged_at_.reset();
        if (phase_ == link_phase::lingering)
            continue;
        if (nghttp2_session_mem_recv(session_, buf.data(), got) < 0) {
            log_event(event::link_refused, "malformed bytes from {}", address_);
            ++context_.counters->refused_links;
            fail("malformed bytes");
            return;
        }
        if (failure_) {
            fail(*failure_);
            return;
        }
        if (got < buf.size())
            return;
    }
}

stream_entry* link_session::find(std::int32_t stream_id)
{
    const auto it = entries_.find(stream_id);
    return it == entries_.end() ? nullptr : &it->second;
}

// ---- the proof -------------------------------------------------------------------------------

// The connecting end sends its nonce, gets the peer's nonce and proof, and sends its own proof
// ahead of its first requests: one round trip before the link is ready.
void link_session::start_proof()
{
    introduction_.connecting = context_.options.self;
    introduction_.connecting_nonce = fresh_nonce();
    message_head head{.method = "POST", .path = "/link/proof"};
    head.fields = {{"vm", introduction_.connecting.vm_name},
                   {"incarnation", fmt::format("{}", introduction_.connecting.run.value)},
                   {"nonce", introduction_.connecting_nonce}};
    proof_stream_ = submit_head(head, stream_kind::proof, true);
    stream_entry& entry = entries_[proof_stream_];
    entry.kind = stream_kind::proof;
    entry.control = std::make_shared<control_exchange>();
}

// Reads who speaks; nothing if a field is missing or malformed.
static std::optional<link_identity> identity_in(const message_head& head)
{
    const std::string* vm_name = find_field(head, "vm");
    const std::string* run = find_field(head, "incarnation");
    if (vm_name == nullptr || run == nullptr || vm_name->size() > longest_vm_name)
        return std::nullopt;
    link_identity out{.vm_name = *vm_name};
    const char* const end = run->data() + run->size();
    const auto [rest, ec] = std::from_chars(run->data(), end, out.run.value);
    if (ec != std::errc{} || rest != end)
        return std::nullopt;
    return out;
}

static std::optional<std::string> nonce_in(const message_head& head)
{
    const std::string* it = find_field(head, "nonce");
    if (it == nullptr || !digest_from_hex(*it))
        return std::nullopt;
    return *it;
}

// The accepting end answers a first introduction with its own and its proof.
void link_session::on_introduction(std::int32_t stream_id, stream_entry& entry)
{
    const auto identity = identity_in(entry.head_in.head);
    const auto nonce = nonce_in(entry.head_in.head);
    if (!identity || !nonce || !introduction_.connecting_nonce.empty()) {
        failure_ = "malformed introduction";
        return;
    }
    proof_stream_ = stream_id;
    introduction_ = {.connecting_nonce = *nonce,
                     .accepting_nonce = fresh_nonce(),
                     .connecting = *identity,
                     .accepting = context_.options.self};
    wire_.set_cut(cut_of(context_, identity->vm_name, address_));
    message_head head{.status = 200};
    head.fields = {
        {"vm", introduction_.accepting.vm_name},
        {"incarnation", fmt::format("{}", introduction_.accepting.run.value)},
        {"nonce", introduction_.accepting_nonce},
        {"proof", proof_of(link_end::accepting, context_.options.fleet_key, introduction_)}};
    const nghttp2_head fields = answer_fields(head);
    nghttp2_submit_response(session_, stream_id, fields.fields.data(), fields.fields.size(),
                            nullptr);
}

// The proof stream at either end: the peer's proof has come.
void link_session::on_proof(const stream_entry& entry)
{
    const std::string_view key = context_.options.fleet_key;
    bool is_valid = false;
    if (is_caller()) {
        const auto identity = identity_in(entry.head_in.head);
        const auto nonce = nonce_in(entry.head_in.head);
        const std::string* proof = find_field(entry.head_in.head, "proof");
        if (identity && nonce && proof != nullptr) {
            introduction_.accepting = *identity;
            introduction_.accepting_nonce = *nonce;
            is_valid = is_proof(*proof, link_end::accepting, key, introduction_);
        }
    }
    else {
        is_valid = is_proof(entry.control->in, link_end::connecting, key, introduction_);
    }
    if (!is_valid) {
        failure_ = "wrong fleet key";
        return;
    }
    peer_ = is_caller() ? introduction_.accepting : introduction_.connecting;
    refresh_cut();
    if (is_caller()) {
        entry.control->out = proof_of(link_end::connecting, key, introduction_);
        nghttp2_session_resume_data(session_, proof_stream_);
    }
    else {
        become_ready();
    }
}

void link_session::become_ready()
{
    phase_ = link_phase::ready;
    log_event(event::link_opened, "{} {} run {} at {}", is_caller() ? "to" : "from", peer_.vm_name,
              peer_.run.value, address_);
    for (waiting_stream& it : std::exchange(waiting_, {}))
        submit(std::move(it));
}

static void give_up(link_context& context, control_callback done, link_error error)
{
    context.deferred.emplace_back([done = std::move(done), error] { done(error); });
}

static void give_up(link_context& context, std::shared_ptr<stream_state> state,
                    std::optional<link_error> error)
{
    context.deferred.emplace_back([state = std::move(state), error] { state->finish_link(error); });
}

// ---- the connecting end: requests and control messages ---------------------------------------

void link_session::open(const std::shared_ptr<stream_state>& state, time_point now)
{
    state->session = weak_from_this();
    enqueue({.state = state, .call = std::nullopt}, now);
}

void link_session::call(control_call it, time_point now)
{
    enqueue({.state = nullptr, .call = std::move(it)}, now);
}

void link_session::enqueue(waiting_stream it, time_point now)
{
    if (!has_streams())
        busy_since_ = now;
    if (phase_ == link_phase::ready)
        submit(std::move(it));
    else if (waiting_.size() < context_.options.max_streams + context_.options.max_control_streams)
        waiting_.push_back(std::move(it));
    else
        drop(it, {.kind = link_failure::not_sent, .reason = "too many wait for the link"});
}

void link_session::submit(waiting_stream it)
{
    if (it.state)
        submit_request(it.state);
    else
        submit_call(std::move(*it.call));
}

// Returns the number of the new stream, or a negative error of nghttp2.
std::int32_t link_session::submit_head(const message_head& head, stream_kind kind, bool has_body)
{
    const nghttp2_head fields = request_fields(head, kind);
    nghttp2_priority_spec priority;
    nghttp2_priority_spec_init(
        &priority, 0, kind == stream_kind::request ? NGHTTP2_DEFAULT_WEIGHT : control_weight, 0);
    const nghttp2_data_provider body{.source = {}, .read_callback = session_callbacks::read_body};
    return nghttp2_submit_request(session_, &priority, fields.fields.data(), fields.fields.size(),
                                  has_body ? &body : nullptr, nullptr);
}

void link_session::submit_request(const std::shared_ptr<stream_state>& state)
{
    constexpr link_error too_many{.kind = link_failure::not_sent,
                                  .reason = "too many streams on the link"};
    if (request_streams_ >= context_.options.max_streams) {
        give_up(context_, state, too_many);
        return;
    }
    if (!state->hand_over()) {
        give_up(context_, state, std::nullopt);
        return;
    }
    state->set_peer(peer_);
    const std::int32_t id =
        submit_head(state->request(), stream_kind::request, !state->request_ends());
    if (id < 0) {
        give_up(context_, state, too_many);
        return;
    }
    state->stream_id = id;
    stream_entry& entry = entries_[id];
    entry.state = state;
    entry.is_out_ended = state->request_ends();
    entry.is_counted = true;
    ++request_streams_;
}

void link_session::submit_call(control_call it)
{
    constexpr link_error too_many{.kind = link_failure::not_sent,
                                  .reason = "too many control messages on the link"};
    if (control_streams_ >= context_.options.max_control_streams) {
        give_up(context_, std::move(it.done), too_many);
        return;
    }
    const message_head head{.method = "POST", .path = it.path};
    const std::int32_t id = submit_head(head, stream_kind::control, true);
    if (id < 0) {
        give_up(context_, std::move(it.done), too_many);
        return;
    }
    stream_entry& entry = entries_[id];
    entry.kind = stream_kind::control;
    entry.control = std::make_shared<control_exchange>();
    entry.control->out = std::move(it.payload);
    entry.control->call = std::move(it);
    entry.is_counted = true;
    ++control_streams_;
}

void link_session::on_answer_head(std::int32_t stream_id, stream_entry& entry)
{
    if (entry.kind == stream_kind::proof) {
        on_proof(entry);
        return;
    }
    if (entry.head_in.head.status < 200) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_PROTOCOL_ERROR);
        return;
    }
    if (entry.state)
        entry.state->receive_head(std::move(entry.head_in.head));
}

// ---- the accepting end -----------------------------------------------------------------------

void link_session::refuse(std::int32_t stream_id)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_REFUSED_STREAM);
    if (const stream_entry* entry = find(stream_id)) {
        note_closed(*entry);
        entries_.erase(stream_id);
    }
}

// An entry counts from its head on, once its kind is known.
void link_session::on_stream_begun(const nghttp2_frame& frame)
{
    if (frame.hd.type != NGHTTP2_HEADERS || frame.headers.cat != NGHTTP2_HCAT_REQUEST)
        return;
    if (phase_ == link_phase::proving && proof_stream_ != 0)
        refuse(frame.hd.stream_id);
    else
        entries_.try_emplace(frame.hd.stream_id);
}

int link_session::on_field(const nghttp2_frame& frame, std::string_view name,
                           std::string_view value)
{
    stream_entry* entry = find(frame.hd.stream_id);
    if (frame.hd.type != NGHTTP2_HEADERS || entry == nullptr || entry->has_head)
        return 0;
    const bool is_fine = add_field(entry->head_in, name, value) &&
                         entry->head_in.bytes <= context_.options.max_head_bytes;
    return is_fine ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

void link_session::on_head(std::int32_t stream_id, bool ends)
{
    stream_entry* entry = find(stream_id);
    if (entry == nullptr || entry->has_head)
        return;
    entry->has_head = true;
    if (is_caller())
        on_answer_head(stream_id, *entry);
    else
        on_request_head(stream_id, *entry, ends);
}

void link_session::on_request_head(std::int32_t stream_id, stream_entry& entry, bool ends)
{
    entry.kind = entry.head_in.kind;
    if (entry.kind == stream_kind::proof && phase_ == link_phase::proving) {
        entry.control = std::make_shared<control_exchange>();
        on_introduction(stream_id, entry);
        return;
    }
    const link_options& options = context_.options;
    const bool is_request = entry.kind == stream_kind::request;
    std::size_t& count = is_request ? request_streams_ : control_streams_;
    const std::size_t limit = is_request ? options.max_streams : options.max_control_streams;
    ++count;
    entry.is_counted = true;
    if (phase_ != link_phase::ready || entry.kind == stream_kind::proof || count > limit ||
        (is_request && !options.on_stream)) {
        refuse(stream_id);
        return;
    }
    if (!is_request) {
        entry.control = std::make_shared<control_exchange>();
        return;
    }
    entry.state = std::make_shared<stream_state>(
        context_.queue, stream_limits{options.stream_buffer_bytes, options.max_head_bytes}, false,
        std::move(entry.head_in.head), ends);
    entry.state->stream_id = stream_id;
    entry.state->session = weak_from_this();
    entry.state->set_peer(peer_);
    context_.deferred.emplace_back([&handler = options.on_stream, state = entry.state] {
        handler(std::make_shared<link_stream>(state));
    });
}

void link_session::run_control(std::int32_t stream_id, std::string path, std::string payload)
{
    const auto self = weak_from_this();
    const auto reply = std::make_shared<control_reply>(
        context_.queue, [self, stream_id](std::optional<std::string> it) {
            if (const auto session = self.lock())
                session->answer(stream_id, std::move(it), NGHTTP2_INTERNAL_ERROR);
        });
    std::optional<std::string> now;
    bool is_kept = false;
    if (context_.options.on_control) {
        control_request request{
            .peer = peer_, .path = std::move(path), .payload = std::move(payload), .reply = reply};
        now = context_.options.on_control(request);
        request.reply.reset();
        is_kept = reply.use_count() > 1;
    }
    if (!now && is_kept)
        return;
    reply->revoke();
    answer(stream_id, std::move(now), NGHTTP2_REFUSED_STREAM);
}

void link_session::answer(std::int32_t stream_id, std::optional<std::string> payload,
                          std::uint32_t code)
{
    stream_entry* entry = find(stream_id);
    if (entry == nullptr || phase_ != link_phase::ready)
        return;
    if (payload && payload->size() > context_.options.max_control_bytes) {
        payload.reset();
        code = NGHTTP2_INTERNAL_ERROR;
    }
    if (!payload) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, code);
        return;
    }
    entry->control->out = std::move(*payload);
    const message_head head{.status = 200};
    const nghttp2_head fields = answer_fields(head);
    const nghttp2_data_provider body{.source = {}, .read_callback = session_callbacks::read_body};
    nghttp2_submit_response(session_, stream_id, fields.fields.data(), fields.fields.size(), &body);
}

// ---- bytes and ends of streams ---------------------------------------------------------------

void link_session::on_data(std::int32_t stream_id, std::span<const char> bytes)
{
    nghttp2_session_consume_connection(session_, bytes.size());
    stream_entry* entry = find(stream_id);
    if (entry == nullptr)
        return;
    if (entry->state)
        entry->state->receive(bytes);
    else if (entry->control)
        take_control_bytes(stream_id, *entry, bytes);
}

// Payloads are bounded one by one and together, so their window is given back at once.
void link_session::take_control_bytes(std::int32_t stream_id, stream_entry& entry,
                                      std::span<const char> bytes)
{
    const link_options& options = context_.options;
    const std::size_t limit =
        entry.kind == stream_kind::proof ? proof_bytes : options.max_control_bytes;
    std::string& in = entry.control->in;
    if (in.size() + bytes.size() > limit ||
        control_bytes_ + bytes.size() > options.max_link_control_bytes) {
        if (!is_caller())
            refuse(stream_id);
        else
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_CANCEL);
        return;
    }
    in.append(bytes.data(), bytes.size());
    control_bytes_ += bytes.size();
    nghttp2_session_consume_stream(session_, stream_id, bytes.size());
}

void link_session::on_in_ended(std::int32_t stream_id)
{
    stream_entry* entry = find(stream_id);
    if (entry == nullptr || entry->is_in_ended)
        return;
    entry->is_in_ended = true;
    if (entry->state)
        entry->state->receive_end();
    else if (entry->kind == stream_kind::control)
        on_control_ended(stream_id, *entry);
    else if (!is_caller() && entry->control)
        on_proof(*entry);
}

void link_session::on_control_ended(std::int32_t stream_id, stream_entry& entry)
{
    control_bytes_ -= entry.control->in.size();
    std::string payload = std::exchange(entry.control->in, {});
    if (is_caller()) {
        if (entry.control->call && entry.control->call->done) {
            auto done = std::exchange(entry.control->call->done, nullptr);
            context_.deferred.emplace_back(
                [done = std::move(done), payload = std::move(payload)]() mutable {
                    done(std::move(payload));
                });
        }
        return;
    }
    const auto self = weak_from_this();
    context_.deferred.emplace_back([self, stream_id, path = std::move(entry.head_in.head.path),
                                    payload = std::move(payload)]() mutable {
        const auto session = self.lock();
        if (session && session->find(stream_id) != nullptr)
            session->run_control(stream_id, std::move(path), std::move(payload));
    });
}

ssize_t link_session::take_output(std::int32_t stream_id, std::span<char> buf, std::uint32_t& flags)
{
    stream_entry* entry = find(stream_id);
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
    if (entry->kind == stream_kind::proof && it.out.empty())
        return NGHTTP2_ERR_DEFERRED;
    const std::size_t n = it.out.copy(buf.data(), buf.size(), it.out_taken);
    it.out_taken += n;
    if (it.out_taken == it.out.size())
        flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(n);
}

// Each stream gives its window back as its reader takes bytes; the first time it also gets a larger
// one, while the link's share lasts.
void link_session::serve(stream_state& state)
{
    const stream_work work = state.take_work();
    stream_entry* entry = find(state.stream_id);
    if (phase_ != link_phase::ready || entry == nullptr || entry->state.get() != &state)
        return;
    const std::int32_t id = state.stream_id;
    const nghttp2_data_provider body{.source = {}, .read_callback = session_callbacks::read_body};
    if (work.response) {
        const nghttp2_head fields = answer_fields(*work.response);
        nghttp2_submit_response(session_, id, fields.fields.data(), fields.fields.size(),
                                work.response_ends ? nullptr : &body);
    }
    if (work.taken_bytes > 0) {
        grow_window(id, *entry);
        nghttp2_session_consume_stream(session_, id, work.taken_bytes);
    }
    if (work.has_output)
        nghttp2_session_resume_data(session_, id);
    if (work.reset)
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                                  static_cast<std::uint32_t>(*work.reset));
}

void link_session::grow_window(std::int32_t stream_id, stream_entry& entry)
{
    const link_options& options = context_.options;
    if (entry.is_window_grown || options.stream_buffer_bytes <= options.first_window_bytes)
        return;
    const std::size_t growth = options.stream_buffer_bytes - options.first_window_bytes;
    if (grown_bytes_ + growth > options.link_buffer_bytes)
        return;
    entry.is_window_grown = true;
    grown_bytes_ += growth;
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, stream_id,
                                          static_cast<std::int32_t>(options.stream_buffer_bytes));
}

traffic_counter& link_session::counter_of(std::int32_t stream_id) const
{
    const auto it = entries_.find(stream_id);
    const bool is_request = it != entries_.end() && it->second.kind == stream_kind::request;
    return is_request ? context_.counters->requests : context_.counters->control;
}

void link_session::on_frame(const nghttp2_frame& frame)
{
    const std::int32_t id = frame.hd.stream_id;
    const bool ends = (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (frame.hd.type == NGHTTP2_HEADERS)
        on_head(id, ends);
    traffic_counter& counter = counter_of(id);
    ++counter.frames_in;
    counter.bytes_in += frame.hd.length + frame_head_bytes;
    if ((frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA) && ends)
        on_in_ended(id);
    if (frame.hd.type == NGHTTP2_GOAWAY)
        is_leaving_ = true;
}

void link_session::on_frame_sent(const nghttp2_frame& frame)
{
    const std::int32_t id = frame.hd.stream_id;
    traffic_counter& counter = counter_of(id);
    ++counter.frames_out;
    counter.bytes_out += frame.hd.length + frame_head_bytes;
    const bool has_end = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    stream_entry* entry = find(id);
    if (!has_end || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 || entry == nullptr)
        return;
    entry->is_out_ended = true;
    if (entry->kind == stream_kind::proof) {
        is_proof_sent_ = is_caller();
        return;
    }
    // A whole answer is out: the rest of the request is not wanted.
    if (!is_caller() && !entry->is_in_ended)
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
}

bool link_session::was_sent(const stream_entry& entry) const
{
    return entry.first_byte && wire_.handed_total() > *entry.first_byte;
}

// The peer refuses a stream only if it did not take it up; after an answer began, that is no longer
// believed.
link_error link_session::stream_error(const stream_entry& entry, std::uint32_t code) const
{
    if (!is_caller())
        return {.kind = link_failure::closed, .code = code, .reason = "the caller gave up"};
    if (!was_sent(entry))
        return {.kind = link_failure::not_sent, .code = code, .reason = "request was not sent"};
    if (code == NGHTTP2_REFUSED_STREAM && !entry.has_head)
        return {.kind = link_failure::not_sent, .code = code, .reason = "refused by the peer"};
    return {.kind = link_failure::peer_reset, .code = code, .reason = "stream was reset"};
}

link_error link_session::broken_error(const stream_entry& entry, std::string_view reason) const
{
    if (!is_caller())
        return {.kind = link_failure::closed, .reason = reason};
    return {.kind = was_sent(entry) ? link_failure::maybe_sent : link_failure::not_sent,
            .reason = reason};
}

void link_session::on_stream_closed(std::int32_t stream_id, std::uint32_t code)
{
    stream_entry* entry = find(stream_id);
    if (entry == nullptr)
        return;
    if (entry->kind == stream_kind::proof && phase_ == link_phase::proving && !is_proof_sent_)
        failure_ = "the peer ended the proof";
    const bool is_whole =
        is_caller() ? entry->is_in_ended : code == NGHTTP2_NO_ERROR && entry->is_out_ended;
    std::optional<link_error> error;
    if (!is_whole)
        error = stream_error(*entry, code);
    finish_entry(*entry, error);
    entries_.erase(stream_id);
}

void link_session::note_closed(const stream_entry& entry)
{
    if (entry.is_window_grown)
        grown_bytes_ -= context_.options.stream_buffer_bytes - context_.options.first_window_bytes;
    if (entry.control)
        control_bytes_ -= entry.control->in.size();
    if (!entry.is_counted)
        return;
    if (entry.kind == stream_kind::request)
        --request_streams_;
    else
        --control_streams_;
}

void link_session::finish_entry(stream_entry& entry, std::optional<link_error> error)
{
    note_closed(entry);
    if (entry.state) {
        give_up(context_, entry.state, error);
    }
    else if (entry.control && entry.control->call && entry.control->call->done) {
        constexpr link_error no_answer{.kind = link_failure::peer_reset,
                                       .reason = "no whole answer"};
        give_up(context_, std::exchange(entry.control->call->done, nullptr),
                error.value_or(no_answer));
    }
}

// ---- time, output and the end ----------------------------------------------------------------

void link_session::on_tick(time_point now)
{
    if (phase_ == link_phase::lingering && now >= phase_deadline_) {
        phase_ = link_phase::closed;
        return;
    }
    const bool is_standing_up = phase_ == link_phase::connecting || phase_ == link_phase::proving;
    if (is_standing_up && now >= phase_deadline_) {
        fail("timeout before the link was ready");
        return;
    }
    expire_calls(now);
    if (phase_ == link_phase::ready)
        check_silence(now);
}

void link_session::expire_calls(time_point now)
{
    for (std::size_t n = 0; n < waiting_.size();) {
        waiting_stream& it = waiting_[n];
        if (!it.call || now < it.call->deadline) {
            ++n;
            continue;
        }
        drop(it, {.kind = link_failure::not_sent,
                  .reason = "deadline passed before the link was ready"});
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(n));
    }
    for (auto& [id, entry] : entries_) {
        control_call* call = entry.control && entry.control->call ? &*entry.control->call : nullptr;
        if (call == nullptr || !call->done || now < call->deadline)
            continue;
        link_error late{.kind = link_failure::timed_out, .reason = "deadline passed"};
        give_up(context_, std::exchange(call->done, nullptr), late);
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    }
}

// A silent peer is asked while streams wait; without an answer the link is dead. An idle link is
// closed by the end that opened it; the other end waits twice as long.
void link_session::check_silence(time_point now)
{
    const link_options& options = context_.options;
    if (!has_streams()) {
        pinged_at_.reset();
        const duration limit = is_caller() ? options.idle_timeout : 2 * options.idle_timeout;
        const bool is_idle = now - std::max(last_heard_, busy_since_) >= limit;
        if (is_idle && !is_leaving_) {
            is_leaving_ = true;
            nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                                  nghttp2_session_get_last_proc_stream_id(session_),
                                  NGHTTP2_NO_ERROR, nullptr, 0);
        }
        return;
    }
    if (pinged_at_) {
        if (now - *pinged_at_ < options.ping_timeout)
            return;
        log_event(event::link_dead, "no answer from {} at {}", peer_.vm_name, address_);
        ++context_.counters->dead_links;
        fail(peer_silent);
    }
    else if (now - std::max(last_heard_, busy_since_) >= options.ping_after) {
        pinged_at_ = now;
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    }
}

void link_session::fill_output()
{
    while (wire_.waiting_bytes() < output_chunk_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(session_, &data);
        if (n < 0) {
            failure_ = "internal error of the session";
            return;
        }
        if (n > 0) {
            wire_.push({data, static_cast<std::size_t>(n)});
            continue;
        }
        if (!is_proof_sent_ || phase_ != link_phase::proving)
            return;
        become_ready();
    }
}

void link_session::flush(time_point now)
{
    while (phase_ == link_phase::proving || phase_ == link_phase::ready) {
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
            return;
    }
    end_if_done(now);
}

void link_session::end_if_done(time_point now)
{
    if (phase_ != link_phase::proving && phase_ != link_phase::ready)
        return;
    if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0)
        linger(now);
}

// The peer must read the last bytes before it sees the end: closing with unread input would reset
// the connection and destroy them.
void link_session::linger(time_point now)
{
    if (has_streams()) {
        fail("link ended");
        return;
    }
    log_event(event::link_closed, "{} at {}: idle or drained", peer_.vm_name, address_);
    wire_.shut_output();
    phase_ = link_phase::lingering;
    phase_deadline_ = now + linger_time;
}

void link_session::announce_drain(bool is_final)
{
    if (is_caller() || phase_ != link_phase::ready)
        return;
    if (!is_final)
        nghttp2_submit_shutdown_notice(session_);
    else
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                              nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                              nullptr, 0);
}

void link_session::drop(waiting_stream& it, link_error error)
{
    if (it.call)
        give_up(context_, std::move(it.call->done), error);
    else
        give_up(context_, std::move(it.state), error);
}

void link_session::fail(std::string_view reason)
{
    if (phase_ == link_phase::closed)
        return;
    const bool was_ready = phase_ == link_phase::ready;
    const bool was_proving = phase_ == link_phase::proving;
    phase_ = link_phase::closed;
    for (auto& [id, entry] : std::exchange(entries_, {}))
        finish_entry(entry, broken_error(entry, reason));
    for (waiting_stream& it : std::exchange(waiting_, {}))
        drop(it, {.kind = link_failure::not_sent, .reason = reason});
    if (was_ready) {
        log_event(event::link_closed, "{} at {}: {}", peer_.vm_name, address_, reason);
    }
    else if (was_proving) {
        ++context_.counters->refused_links;
        log_event(event::link_refused, "{}: {}", address_, reason);
    }
}

} // namespace jasminebank
