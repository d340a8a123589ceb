#pragma once

// Kept HTTP connections to one server, for short calls from many threads. A request is sent at most
// once; whether a failed one may have been received is told.

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
};

enum class http_failure : std::uint8_t {
    not_sent,          ///< no connection: the server has seen nothing
    interrupted,       ///< the connection ended before the whole answer
    deadline_exceeded, ///< no whole answer by the deadline
    too_large,         ///< the answer, or its head, is larger than allowed
};

/// Thread-safe.
class http_pool {
public:
    explicit http_pool(const http_pool_options& options);

    /// Sends a request, with a JSON body unless that is empty, and waits for the answer until
    /// `deadline`.
    result<http_answer, http_failure> send(const char* method, const std::string& path,
                                           const std::string& body, time_point deadline);
    /// The same with the method POST.
    result<http_answer, http_failure> post(const std::string& path, const std::string& body,
                                           time_point deadline);

private:
    std::unique_ptr<bounded_client> acquire_client();
    void release_client(std::unique_ptr<bounded_client> client);

    http_pool_options options_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<bounded_client>> idle_;
};

/// A JSON request whose answer goes to `receiver` piece by piece.
httplib::Request json_post(const std::string& path, const std::string& body,
                           httplib::ContentReceiverWithProgress receiver);

} // namespace jasminebank
