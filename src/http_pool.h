#pragma once

// A pool of keep-alive HTTP connections to one server, for short calls from many threads. A request
// is sent at most once; the failure says whether the server may have received it.

#include "bounded_client.h"
#include "endpoint.h"
#include "result.h"
#include "types.h"

#include <httplib.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jasminebank {

struct http_pool_options {
    endpoint server;
    duration connect_timeout = std::chrono::milliseconds(300);
    std::size_t max_answer_bytes = std::size_t{8} << 20;
    std::size_t max_idle_connections = 8;
};

struct http_answer {
    int status = 0;
    std::string body;
    httplib::Headers headers{};
};

enum class http_failure : std::uint8_t {
    not_sent,          ///< connecting failed, so the server received nothing
    interrupted,       ///< the connection ended before the answer was complete
    deadline_exceeded, ///< the answer was not complete by the deadline
    too_large,         ///< the answer or its head exceeds its size limit
};

/// Thread-safe.
class http_pool {
public:
    explicit http_pool(const http_pool_options& options);

    /// Sends a request and waits for the answer until `deadline`. `body` is JSON; if empty, the
    /// request has none.
    result<http_answer, http_failure> send(const char* method, const std::string& path,
                                           const std::string& body, time_point deadline);
    /// Likewise, but each part of the answer's body that arrives extends `deadline` to as long
    /// after it as it was after the call, at most to `last_deadline`.
    result<http_answer, http_failure> send(const char* method, const std::string& path,
                                           const std::string& body, time_point deadline,
                                           time_point last_deadline);
    /// Calls `send` with the method POST.
    result<http_answer, http_failure> post(const std::string& path, const std::string& body,
                                           time_point deadline);

private:
    std::unique_ptr<bounded_client> acquire_client();
    void release_client(std::unique_ptr<bounded_client> client);

    http_pool_options options_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<bounded_client>> idle_;
};

/// Builds a POST request with a JSON body. `receiver` gets the answer's body in pieces.
httplib::Request json_post(const std::string& path, const std::string& body,
                           httplib::ContentReceiverWithProgress receiver);

} // namespace jasminebank
