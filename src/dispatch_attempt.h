#pragma once

// One attempt to run a request on one backend server through its gate: the open stream and the
// result. An idempotent request can have two attempts open at a time; the first successful one
// provides the answer.

#include "link_hub.h"
#include "link_stream.h"
#include "refusal.h"
#include "router.h"
#include "server_notice.h"
#include "stop_schedule.h"
#include "types.h"

#include <httplib.h>

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace jasminebank {

/// An attempt and its result so far. Until it ends, neither `answer` nor `refused` is set.
struct dispatch_attempt {
    route_choice choice;
    std::shared_ptr<link_stream> stream;
    time_point start;
    std::optional<int> answer_status;      ///< also set if the body of the answer was truncated
    std::optional<message_head> answer;    ///< head of the backend server's answer
    std::optional<refusal_answer> refused; ///< by the gate, or for a failure of link or caller
    std::string body;                      ///< the prefetched part of the answer's body
    buffer_reservation body_memory;        ///< for `body`
    bool body_is_whole = false;            ///< `body` is the complete body
    std::optional<reported_notice> notice; ///< what the answer says about the server's work
    std::optional<double> load;            ///< share of busy slots that the gate reported
    std::optional<duration> wait;          ///< expected wait that the gate reported
    bool may_queue = false;                ///< it might wait for a slot
    bool gate_responded = false;           ///< the gate sent a head
    bool gate_failed = false;              ///< the link to the gate failed
    bool body_consumed = false;   ///< the caller's body was streamed and cannot be sent again
    bool caller_left = false;     ///< the caller disconnected or did not send its whole body
    bool hedge_requested = false; ///< a hedged request was already requested for this attempt
    /// The gate assumes that its server is failing (suspected), and requests a trial: a real
    /// request that shows whether the server has recovered.
    bool trial_requested = false;
};

/// Returns whether the backend server reported an error (5xx) that another one may not have.
bool is_server_error(const message_head& answer);
/// Returns whether the attempt has an answer that is not a server error.
bool is_successful(const dispatch_attempt& it);

/// Why a wait for one or two attempts ended.
enum class wait_result : std::uint8_t {
    own_ready,   ///< the head of the first attempt's answer has arrived, or its stream ended
    other_ready, ///< the same for the other attempt
    timed_out,   ///< `until` or the limit of the request was reached
    caller_left, ///< the caller disconnected
};

/// Waits for the head of an answer of either attempt, until `until` or `limit`, whichever is first.
/// `limit` is the request's deadline or the end of a planned stop.
/// `other` may be null.
wait_result wait_for_either(dispatch_attempt& own, dispatch_attempt* other,
                            const answer_limit& limit, time_point until = time_point::max());

/// Stores the head that has arrived, or the failure, in the attempt; then reads up to
/// `prefetch_bytes` of the answer's body, none if `buffers` has no room for them. An answer
/// truncated within these bytes is a failed attempt, and the caller has received no part of it.
void receive_answer(dispatch_attempt& it, std::size_t prefetch_bytes,
                    const std::shared_ptr<buffer_budget>& buffers, const answer_limit& limit);

/// A gate's response to a probe.
struct gate_probe {
    std::optional<double> load; ///< of the backend server, as with answers, if the gate knows it
};

/// Sends a probe to the node at `link`, which asks for the load of `server` if there is one;
/// nothing if the node does not answer within `timeout`. Without a probe, the loss of bytes sent to
/// a node that has just become unreachable would go unnoticed.
std::optional<gate_probe> probe_gate(link_hub& links, const endpoint& link, duration timeout,
                                     std::optional<backend_server_id> server = std::nullopt);

/// Writes the whole body. Returns false when the stream fails, the caller disconnects or `limit` is
/// reached; the last two are checked periodically while the gate accepts no more bytes.
bool write_body(link_stream& stream, std::span<const char> bytes, const answer_limit& limit);

/// Streams the caller's body to the gate until `limit`. Returns false when the caller did not send
/// the whole body, and cancels the stream. Returns true also when the write to the gate failed; the
/// result of the stream then gives the cause.
bool stream_body(const httplib::ContentReader& reader, link_stream& stream,
                 const answer_limit& limit);

/// Reads the next part of an answer whose head has been sent to the caller. Waits until `limit`,
/// however long the server pauses, unless the caller's connection is reset. Bytes that have arrived
/// are returned also after `limit`. 0 at the end of the answer.
result<std::size_t, link_error> read_answer_part(link_stream& stream, std::span<char> buf,
                                                 const answer_limit& limit);

} // namespace jasminebank
