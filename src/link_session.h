#pragma once

// One TCP connection with its nghttp2 session. The connecting end opens streams, the accepting end
// answers them. The first stream of every connection carries the proof of the fleet key; until that
// holds there are no others.

#include "link_handshake.h"
#include "link_head_fields.h"
#include "link_options.h"
#include "link_streams.h"
#include "link_wire.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// Where a link stands. Streams run in `ready` only.
enum class link_phase : std::uint8_t {
    connecting,     ///< the TCP connection is on its way
    authenticating, ///< the ends prove the fleet key to each other
    ready,
    lingering, ///< all said; waits for the peer to close
    closed,    ///< to be dropped
};

/// One link. Only the hub's thread touches it. The hub holds it; streams and late answers refer to
/// it weakly.
class link_session : public std::enable_shared_from_this<link_session> {
public:
    /// Starts to connect to `peer`; nothing if the system refuses at once.
    static std::shared_ptr<link_session> connect(link_context& context, const endpoint& peer,
                                                 time_point now);
    /// Takes an accepted socket from `address`, "host:port".
    static std::shared_ptr<link_session> accept(link_context& context, int fd, std::string address,
                                                time_point now);
    ~link_session();
    link_session(const link_session&) = delete;
    link_session& operator=(const link_session&) = delete;

    int fd() const { return wire_.fd(); }
    link_phase phase() const { return phase_; }
    bool is_caller() const { return end_ == link_end::connecting; }
    /// True while new streams may be opened on it.
    bool takes_streams() const;
    /// True while something has a deadline, so that `on_tick` must come often.
    bool is_busy() const;
    bool has_streams() const { return !streams_.empty() || !waiting_.empty(); }
    /// EPOLLIN and EPOLLOUT as needed; 0 when the socket must not be watched.
    std::uint32_t wanted_events() const;
    /// Events that the hub watches at present; the hub's note.
    std::uint32_t watched_events = 0;

    void on_events(std::uint32_t events, time_point now);
    void on_tick(time_point now);
    /// Sends what waits; called once at the end of each turn that to_flush the session.
    void flush(time_point now);

    /// Carries a new stream; before the link is ready it waits.
    void open(outgoing_stream it, time_point now);
    /// Does what the workers asked of a stream.
    void apply_work(stream_state& state);
    /// Answers a control message that its handler left open; nothing resets it.
    void answer_deferred(std::int32_t stream_id, std::optional<std::string> payload);
    /// Tells the peer to open no more streams; `is_final` refuses those still on their way.
    void announce_drain(bool is_final);
    /// Applies the cuts of the context.
    void refresh_cut();
    bool is_cut() const { return wire_.cut() != cut_direction::none; }
    /// Ends the link at once; every stream ends with an error.
    void fail(std::string_view reason);
    /// Gives the socket away, so that it stays open when the session goes.
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

    // What nghttp2 tells.
    void on_stream_begun(const nghttp2_frame& frame);
    int on_field(const nghttp2_frame& frame, std::string_view name, std::string_view value);
    void on_data(std::int32_t stream_id, std::span<const char> bytes);
    void on_frame(const nghttp2_frame& frame);
    void on_before_frame_sent(const nghttp2_frame& frame);
    void on_frame_sent(const nghttp2_frame& frame);
    void on_stream_closed(std::int32_t stream_id, std::uint32_t code);
    ssize_t take_output(std::int32_t stream_id, std::span<char> buf, std::uint32_t& flags);
    traffic_counter& counter_of(std::int32_t stream_id) const;

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
    bool is_going_away_ = false; ///< either end has said that no more streams will run
    time_point phase_deadline_;
    time_point last_received_at_;
    time_point busy_since_;
    std::optional<time_point> pinged_at_;
    std::optional<std::string_view> failure_; ///< noted inside a callback, acted on after it
};

} // namespace jasminebank
