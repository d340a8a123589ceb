#pragma once

// Runs one HTTP request on a backend server. Request and answer bodies are streamed between the
// link from the entry node (the node that the caller is connected to) and the connection to the
// backend server.

#include "bounded_client.h"
#include "connection_ids.h"
#include "dispatch.h"
#include "endpoint.h"
#include "header_names.h"
#include "link_stream.h"
#include "server_notice.h"
#include "types.h"

#include <functional>
#include <memory>
#include <optional>

namespace jasminebank {

/// How a call to a backend server ended. Decides what is reported to its health record and to the
/// caller.
enum class call_outcome : std::uint8_t {
    whole_answer,  ///< the answer was received completely, with any status
    not_connected, ///< connecting failed, so the request did not run
    shed,          ///< refused with proof that the request did not run
    cut_answer,    ///< the answer was truncated, or its end cannot be verified
    no_answer,     ///< the connection broke or the deadline passed before an answer
    caller_left,   ///< the caller cancelled or did not finish its body
    misdirected,   ///< another backend server is at the address, so the request did not run
};

/// Why an answer was not taken for that of the request.
enum class answer_fault : std::uint8_t {
    none,
    foreign,   ///< it may belong to another request on the connection
    malformed, ///< its head or the framing of its body can't be parsed
};

struct call_result {
    call_outcome outcome = call_outcome::no_answer;
    int status = 0;              ///< of the answer; 0 if its head was not received
    bool head_forwarded = false; ///< the head of the answer was sent to the caller
    /// The answer was read to its end and no further, and has the id of its request.
    bool connection_reusable = false;
    answer_fault fault = answer_fault::none;
    bool timed_out = false;           ///< the deadline had passed when the call ended
    bool size_limit_exceeded = false; ///< a line, the head or the body of a refusal was too long
    duration service_time{};          ///< from the start of the call to its end
    /// What the answer says about the work that the server takes; nothing without a valid answer of
    /// the server, or if the fields are malformed.
    std::optional<server_notice> notice{};
};

struct backend_call_options {
    time_point deadline;
    double load = 0; ///< sent to the entry node with the answer, see `load_field`
    /// Called when the answer's head is sent on, for `wait_field`; empty or without a value: the
    /// field is not sent.
    std::function<std::optional<duration>()> wait{};
    const header_names& names;
    const dispatch& request;
    const std::string& expected_server; ///< name that the server must have; empty: any
    incarnation server_run{};           ///< of the backend server, sent with its notice
};

/// A connection to a backend server, which carries one request at a time. Connects on first use.
struct backend_connection {
    explicit backend_connection(const endpoint& address);

    bounded_client client;
    connection_ids ids;
};

std::shared_ptr<backend_connection> make_backend_connection(const endpoint& address);

/// True if a TCP connection to the address is accepted within the connect timeout.
bool accepts_connections(const endpoint& address);

/// Runs the request of `stream` on `connection`, whose ids must allow it, and forwards the answer.
/// Nothing is written to the stream unless `head_forwarded` is set; otherwise the caller of this
/// function must send a refusal.
call_result call_backend(const std::shared_ptr<backend_connection>& connection,
                         const std::shared_ptr<link_stream>& stream,
                         const backend_call_options& options);

} // namespace jasminebank
