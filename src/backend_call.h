#pragma once

// One request to a backend server over HTTP, its body and answer streamed between the link and the
// backend server's connection.

#include "bounded_client.h"
#include "dispatch.h"
#include "endpoint.h"
#include "header_names.h"
#include "link_stream.h"
#include "types.h"

#include <memory>

namespace jasminebank {

/// How a call to a backend server ended, for its health and for the caller.
enum class call_outcome : std::uint8_t {
    whole_answer,  ///< the answer came whole; its status is told apart
    not_connected, ///< no connection: the request did not run
    shed,          ///< the backend server refused honestly: the request did not run
    cut_answer,    ///< the answer broke off or had no provable end
    no_answer,     ///< the connection broke, or time ran out, before an answer
    caller_left,   ///< the caller cancelled or broke off its body
    misdirected,   ///< another backend server has the address: the request did not run
};

struct call_result {
    call_outcome outcome = call_outcome::no_answer;
    int status = 0;                   ///< of the answer, if its head came
    bool head_forwarded = false;      ///< the head of the answer went to the caller
    bool connection_reusable = false; ///< the connection was read to the answer's end
    bool timed_out = false;           ///< no answer, or not its end, by the deadline
    bool size_limit_exceeded = false; ///< a line, the head or a refusal's body was too long
    duration service_time{};          ///< from the start of sending to the end of the answer
};

struct backend_call_options {
    time_point deadline;
    double load = 0; ///< told to the entry node with the answer
    const header_names& names;
    const dispatch& request;
    const std::string& expected_server; ///< may be empty
};

/// Makes a connection object for a backend server; it connects on first use.
std::shared_ptr<bounded_client> make_backend_client(const endpoint& address);

/// True when something accepts connections at the address; waits a moment at most.
bool accepts_connections(const endpoint& address);

/// Runs the request of `stream` on `client` and passes the answer on. A refusal is left to the
/// caller of this function: the stream is untouched unless `answered`.
call_result call_backend(const std::shared_ptr<bounded_client>& client,
                         const std::shared_ptr<link_stream>& stream,
                         const backend_call_options& options);

} // namespace jasminebank
