#pragma once

// One TCP connection with its nghttp2 session. The connecting end opens streams, the accepting end
// responds to them. The first stream of every connection carries the handshake; no other stream is
// accepted until the handshake has succeeded. The hub is the event loop whose thread owns all
// links.

#include "link_handshake.h"
#include "link_head_fields.h"
#include "link_options.h"
#include "link_silence.h"
#include "link_streams.h"
#include "link_wire.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// Phases of a link, in order. Streams other than the handshake run only in `ready`.
enum class link_phase : std::uint8_t {
    connecting,     ///< the TCP connection is being established
    authenticating, ///< the handshake is running
    ready,
    lingering, ///< all output is sent and shut down; waits for the peer to close
    closed,    ///< the hub removes the session
};

/// One link. Only the hub's thread uses it. The hub owns it; streams and deferred answers hold weak
/// pointers to it.
class link_session : public std::enable_shared_from_this<link_session> {
public:
    /// Starts connecting to `peer`; null if that fails immediately.
    static std::shared_ptr<link_session> connect(link_context& context, const endpoint& peer,
                                                 time_point now);
    /// Takes ownership of an accepted socket; `address` is the peer's "host:port".
    static std::shared_ptr<link_session> accept(link_context& context, int fd, std::string address,
                                                time_point now);
    ~link_session();
    link_session(const link_session&) = delete;
    link_session& operator=(const link_session&) = delete;

    int fd() const { return wire_.fd(); }
    link_phase phase() const { return phase_; }
    /// True at the connecting end, which opens the streams.
    bool is_caller() const { return end_ == link_end::connecting; }
    /// True while this side may open new streams on the link.
    bool takes_streams() const;
    /// True while a stream, the handshake, closing or output is pending.
    bool is_busy() const;
    /// True while `on_tick` has to be called at short intervals, because deadlines apply.
    bool needs_ticks() const { return is_busy() || silence_.is_expecting(); }
    bool has_streams() const { return !streams_.empty() || !waiting_.empty(); }
    /// The epoll events to watch, EPOLLIN and EPOLLOUT as needed; 0 removes the socket from epoll.
    std::uint32_t wanted_events() const;
    /// The epoll events currently registered; maintained by the hub.
    std::uint32_t watched_events = 0;

    void on_events(std::uint32_t events, time_point now);
    void on_tick(time_point now);
    /// Sends pending output, and begins to close the link when all output is sent and nghttp2
    /// expects no more frames in either direction, for example after draining. Called once at the
    /// end of each loop iteration that scheduled the session for it.
    void flush(time_point now);

    /// Submits a new stream, or queues it until the link is ready.
    void open(outgoing_stream it, time_point now);
    /// Performs the actions that worker threads requested on a stream.
    void apply_work(stream_state& state);
    /// Answers a control message (a message between nodes that carries no client request) whose
    /// handler deferred its response; an empty `payload`
    /// (`std::nullopt`) resets the stream.
    void answer_deferred(std::int32_t stream_id, std::optional<std::string> payload);
    /// Sends GOAWAY so that the peer opens no more streams. The first, non-final one still accepts
    /// streams that the peer opened before receiving it; the final one refuses them.
    void announce_drain(bool is_final);
    /// Applies the simulated network faults that the context holds for this peer.
    void refresh_cut();
    bool is_cut() const { return wire_.cut() != cut_direction::none; }
    /// Closes the link immediately; every stream ends with an error.
    void fail(std::string_view reason);
    /// Transfers the socket to the caller, so that it stays open when the session is destroyed.
    int release_socket() { return wire_.release(); }

private:
    friend struct session_callbacks;

    link_session(link_context& context, int fd, link_end end, std::string address, time_point now);
    void start();
    void on_connected(time_point now);
    void on_readable(time_point now);
    void receive(std::span<const std::uint8_t> bytes);
    void check_silence(time_point now);
    void check_idle(time_point now);
    void fill_output();
    void end_if_done(time_point now);
    void linger(time_point now);
    void schedule_flush();

    void start_handshake();
    void on_handshake_head();
    void on_handshake_ended();
    void become_ready();
    ssize_t copy_proof(std::span<char> buf, std::uint32_t& flags);

    // Called from the callbacks of nghttp2.
    void on_stream_begun(const nghttp2_frame& frame);
    int on_field(const nghttp2_frame& frame, std::string_view name, std::string_view value);
    void on_data(std::int32_t stream_id, std::span<const char> bytes);
    void on_frame(const nghttp2_frame& frame);
    void on_before_frame_sent(const nghttp2_frame& frame);
    void on_frame_sent(const nghttp2_frame& frame);
    void on_stream_closed(std::int32_t stream_id, std::uint32_t code);
    ssize_t take_output(std::int32_t stream_id, std::span<char> buf, std::uint32_t& flags);
    traffic_counter& counter_of(std::int32_t stream_id) const;
    void count_sent(const nghttp2_frame& frame);

    link_context& context_;
    link_wire wire_;
    link_end end_;
    std::string address_; ///< of the peer, "host:port"
    link_identity peer_;
    link_phase phase_;
    nghttp2_session* session_ = nullptr;
    link_streams streams_;
    std::vector<outgoing_stream> waiting_;

    link_handshake handshake_;
    incoming_head peer_handshake_head_;
    std::string received_proof_;
    std::string unsent_proof_;
    bool is_proof_sent_ = false;

    bool is_output_blocked_ = false;
    bool is_going_away_ = false; ///< GOAWAY received, or sent because the link is idle
    time_point phase_deadline_;
    time_point last_received_at_;
    time_point last_used_at_;
    link_silence silence_;
    traffic_scope scope_ = traffic_scope::unknown; ///< of the peer, as of `scope_version_`
    std::uint64_t scope_version_ = 0;
    std::optional<std::string_view> failure_; ///< set in a callback; `fail` is called after it
};

} // namespace jasminebank
