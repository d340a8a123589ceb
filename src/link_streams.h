#pragma once

// The streams of one link: requests and control messages. Passes the stream events of nghttp2 to
// the stream states and handlers, and the actions of workers and handlers to nghttp2.

#include "link_options.h"
#include "link_wire.h"
#include "stream_table.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jasminebank {

/// A request or control message that is to be submitted on a link.
struct outgoing_stream {
    std::shared_ptr<stream_state> state;
    std::optional<control_call> call;
};

/// Ends the stream or call with `error`; the callback is deferred until no session function runs.
void fail_outgoing(link_context& context, outgoing_stream& it, link_error error);

/// Streams of one session. Handlers and callbacks never run inside these functions; they are
/// deferred to the context.
class link_streams {
public:
    link_streams(link_context& context, const link_wire& wire, bool is_caller)
        : context_(context), wire_(wire), is_caller_(is_caller), table_(context.options)
    {
    }

    /// Sets the nghttp2 session that carries the streams and the `link_session` that owns it.
    void attach(nghttp2_session* session, std::weak_ptr<link_session> owner);
    /// Sets the authenticated peer; called before any stream is submitted or accepted.
    void set_peer(const link_identity& it) { peer_ = it; }

    void submit(outgoing_stream it);
    void apply_work(stream_state& state);
    /// Answers a control message; an empty `payload` (`std::nullopt`) resets it with `code`.
    void answer(std::int32_t id, std::optional<std::string> payload, std::uint32_t code);
    /// Ends calls whose deadline has passed.
    void expire_calls(time_point now);
    /// Ends every stream because the link is broken.
    void fail_all(std::string_view reason);
    bool empty() const { return table_.empty(); }
    bool is_request(std::int32_t id) const;
    /// The cause of a HEADERS or DATA frame that this end sends on the stream.
    traffic_cause cause_of(std::int32_t id, bool is_head) const;

    // Called from the callbacks of nghttp2.
    void on_begun(std::int32_t id) { table_.add(id); }
    int on_field(std::int32_t id, std::string_view name, std::string_view value);
    void on_head(std::int32_t id, bool ends);
    void on_data(std::int32_t id, std::span<const char> bytes);
    void on_input_ended(std::int32_t id);
    /// Called before the head of the stream is queued; `offset` counts bytes of the link's output.
    void on_before_head_sent(std::int32_t id, std::uint64_t offset);
    void on_output_ended(std::int32_t id);
    void on_closed(std::int32_t id, std::uint32_t code);
    ssize_t take_output(std::int32_t id, std::span<char> buf, std::uint32_t& flags);

private:
    traffic_cause cause_of_path(std::string_view path) const;
    void submit_request(outgoing_stream it);
    void submit_call(outgoing_stream it);
    std::int32_t submit_head(const message_head& head, stream_kind kind, bool has_body);
    void submit_answer(std::int32_t id, const message_head& head, bool has_body);
    void reset(std::int32_t id, std::uint32_t code);
    void refuse(std::int32_t id);
    void on_request_head(std::int32_t id, stream_entry& entry, bool ends);
    void on_answer_head(std::int32_t id, stream_entry& entry);
    void on_control_ended(std::int32_t id, stream_entry& entry);
    void run_control(std::int32_t id, std::string path, std::string payload);
    void finish(stream_entry& entry, std::optional<link_error> error);
    bool was_sent(const stream_entry& entry) const;
    link_error closed_error(const stream_entry& entry, std::uint32_t code) const;
    link_error broken_error(const stream_entry& entry, std::string_view reason) const;

    link_context& context_;
    const link_wire& wire_;
    bool is_caller_;
    nghttp2_session* session_ = nullptr;
    std::weak_ptr<link_session> owner_;
    link_identity peer_;
    stream_table table_;
};

} // namespace jasminebank
