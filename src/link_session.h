#pragma once

// One TCP connection with its nghttp2 session. The connecting end opens request streams, the
// accepting end answers them. Only the hub's thread touches it.

#include "link_head_fields.h"
#include "link_options.h"
#include "link_proof.h"
#include "link_wire.h"
#include "stream_state.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Where a link stands. Streams run in `ready` only.
enum class link_phase : std::uint8_t {
    connecting, ///< the TCP connection is on its way
    proving,    ///< the ends prove the fleet key to each other
    ready,
    lingering, ///< all said; waits for the peer to close
    closed,    ///< to be dropped
};

/// A control message in its session, on either side.
struct control_exchange {
    std::optional<control_call> call; ///< on the side that asked
    std::string out;
    std::size_t out_taken = 0;
    std::string in;
    bool is_in_ended = false;
};

/// One stream of a session.
struct stream_entry {
    stream_kind kind = stream_kind::request;
    std::shared_ptr<stream_state> state;       ///< request streams
    std::shared_ptr<control_exchange> control; ///< control messages and proofs
    incoming_head head_in;
    std::optional<std::uint64_t> first_byte; ///< place of the request's head in the output
    bool is_counted = false;                 ///< against the limits of the link
    bool has_head = false;
    bool is_in_ended = false;
    bool is_out_ended = false;
    bool is_window_grown = false;
};

/// One link. It keeps itself alive in the stream states and replies that refer to it by being held
/// by its hub; they hold weak references.
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
    /// EPOLLIN and EPOLLOUT as needed; 0 when the socket must not be watched.
    std::uint32_t wanted_events() const;
    /// Events that the hub watches at present; the hub's note.
    std::uint32_t watched_events = 0;

    void on_events(std::uint32_t events, time_point now);
    void on_tick(time_point now);
    /// Sends what waits; called once at the end of each turn that touched the session.
    void flush(time_point now);

    /// Carries a new request stream; before the link is ready it waits.
    void open(const std::shared_ptr<stream_state>& state, time_point now);
    /// Carries a control message; before the link is ready it waits.
    void call(control_call it, time_point now);
    /// Does what the workers asked of a stream.
    void serve(stream_state& state);
    /// Answers a control message; nothing resets it with `code`.
    void answer(std::int32_t stream_id, std::optional<std::string> payload, std::uint32_t code);
    /// Tells the peer to open no more streams; `is_final` refuses those still on their way.
    void announce_drain(bool is_final);
    /// Applies the cuts of the context.
    void refresh_cut();
    /// Ends the link at once; every stream ends with an error.
    void fail(std::string_view reason);
    bool has_streams() const { return !entries_.empty() || !waiting_.empty(); }
    /// The socket of a closed session under an outbound cut: closing it would tell the peer.
    int release_socket() { return wire_.release(); }
    bool is_cut() const { return wire_.cut() != cut_direction::none; }

private:
    friend struct session_callbacks;

    /// A request or control message that waits for the link.
    struct waiting_stream {
        std::shared_ptr<stream_state> state;
        std::optional<control_call> call;
    };

    link_session(link_context& context, int fd, link_end end, std::string address, time_point now);
    void start();
    void start_proof();
    void on_connected(time_point now);
    void on_readable(time_point now);
    void submit(waiting_stream it);
    void submit_request(const std::shared_ptr<stream_state>& state);
    void submit_call(control_call it);
    std::int32_t submit_head(const message_head& head, stream_kind kind, bool has_body);
    void drop(waiting_stream& it, link_error error);
    void enqueue(waiting_stream it, time_point now);
    void expire_calls(time_point now);
    void check_silence(time_point now);
    void fill_output();
    void end_if_done(time_point now);
    void linger(time_point now);
    void become_ready();
    void refuse(std::int32_t stream_id);

    // What the callbacks of nghttp2 tell.
    void on_stream_begun(const nghttp2_frame& frame);
    int on_field(const nghttp2_frame& frame, std::string_view name, std::string_view value);
    void on_data(std::int32_t stream_id, std::span<const char> bytes);
    void on_frame(const nghttp2_frame& frame);
    void on_frame_sent(const nghttp2_frame& frame);
    void on_stream_closed(std::int32_t stream_id, std::uint32_t code);
    ssize_t take_output(std::int32_t stream_id, std::span<char> buf, std::uint32_t& flags);

    void on_head(std::int32_t stream_id, bool ends);
    void on_request_head(std::int32_t stream_id, stream_entry& entry, bool ends);
    void on_answer_head(std::int32_t stream_id, stream_entry& entry);
    void on_in_ended(std::int32_t stream_id);
    void on_introduction(std::int32_t stream_id, stream_entry& entry);
    void on_proof(const stream_entry& entry);
    void on_control_ended(std::int32_t stream_id, stream_entry& entry);
    void take_control_bytes(std::int32_t stream_id, stream_entry& entry,
                            std::span<const char> bytes);
    void run_control(std::int32_t stream_id, std::string path, std::string payload);
    void finish_entry(stream_entry& entry, std::optional<link_error> error);
    link_error stream_error(const stream_entry& entry, std::uint32_t code) const;
    link_error broken_error(const stream_entry& entry, std::string_view reason) const;
    bool was_sent(const stream_entry& entry) const;
    void grow_window(std::int32_t stream_id, stream_entry& entry);
    void note_closed(const stream_entry& entry);
    traffic_counter& counter_of(std::int32_t stream_id) const;
    stream_entry* find(std::int32_t stream_id);

    link_context& context_;
    link_wire wire_;
    link_end end_;
    std::string address_; ///< of the peer, "host:port"
    link_identity peer_;
    link_introduction introduction_;
    link_phase phase_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, stream_entry> entries_;
    std::vector<waiting_stream> waiting_;
    std::size_t request_streams_ = 0;
    std::size_t control_streams_ = 0;
    std::size_t control_bytes_ = 0; ///< received payloads held
    std::size_t grown_bytes_ = 0;   ///< windows above the first, all streams
    std::int32_t proof_stream_ = 0;
    bool is_proof_sent_ = false;
    bool is_output_blocked_ = false;
    bool is_leaving_ = false; ///< either end has said that it opens or takes no more streams
    time_point phase_deadline_;
    time_point last_heard_;
    time_point busy_since_;
    std::optional<time_point> pinged_at_;
    std::optional<std::string_view> failure_; ///< noted inside a callback, acted on after it
};

} // namespace jasminebank
