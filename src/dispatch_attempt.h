#pragma once

// One try of a request at one backend server, through its gate: the open stream, and what became of
// it. A request that may be repeated can have two tries open, of which the first good one counts.

#include "link_hub.h"
#include "link_stream.h"
#include "refusal.h"
#include "router.h"
#include "stop_schedule.h"
#include "types.h"

#include <httplib.h>

#include <memory>
#include <optional>
#include <span>
#include <string>

namespace jasminebank {

struct dispatch_attempt {
    route_choice choice;
    std::shared_ptr<link_stream> stream;
    time_point start;
    std::optional<int> answer_status;      ///< of an answer, also of one whose body broke off
    std::optional<message_head> answer;    ///< of the backend server
    std::optional<refusal_answer> refused; ///< by its gate, or for a failure on the way
    std::string body;                      ///< of the answer, as far as it was read ahead
    bool body_is_whole = false;            ///< nothing is left to read
    std::optional<double> load;            ///< of the backend server, as its gate told
    bool gate_responded = false;           ///< something came back from the gate
    bool gate_failed = false;
    bool body_consumed = false; ///< the caller's body is used up
    bool caller_left = false;
    bool hedge_requested = false; ///< whether it may be sent elsewhere as well, because it is late
    bool trial_requested =
        false; ///< the gate would like a request to learn whether its server is well
};

/// Whether the backend server reports a failure of its own that another one may not share.
bool is_server_error(const message_head& answer);
/// Whether the attempt has an answer that the caller is to get.
bool is_successful(const dispatch_attempt& it);

/// How a wait for one or two attempts ended.
enum class wait_result : std::uint8_t {
    own_ready,   ///< the head of the answer is there, or the stream ended
    other_ready, ///< the same of the other attempt
    timed_out,   ///< the time came, or the limit of the request
    caller_left, ///< nobody waits for the answer any more
};

/// Waits until `until`, but no longer than the limit allows. `other` may be empty.
wait_result wait_for_either(dispatch_attempt& own, dispatch_attempt* other,
                            const answer_limit& limit, time_point until = time_point::max());

/// Takes the head that has come, or what went wrong; then an answer's body, up to `prefetch_bytes`,
/// so that one that breaks off there is a failed attempt of which no caller has seen a part.
void receive_answer(dispatch_attempt& it, std::size_t prefetch_bytes, const answer_limit& limit);

/// Whether the node at `link` answers within `patience`: bytes that are sent to one that was cut
/// off a moment ago are not known to be lost.
bool probe_gate(link_hub& links, const endpoint& link, duration timeout);

/// Writes a whole body; false when the gate or the caller left, or the limit has come. Looks for
/// them while it waits for the gate to take more.
bool write_body(link_stream& stream, std::span<const char> bytes, const answer_limit& limit);

/// Streams the caller's body. False when the caller broke it off or the gate takes no more; the
/// gate's answer, if there is one, tells which.
bool stream_body(const httplib::ContentReader& reader, link_stream& stream, duration timeout,
                 const stop_deadline& stop);

} // namespace jasminebank
