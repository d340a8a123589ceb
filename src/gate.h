#pragma once

// The only door to the backend servers that announced themselves to this node: it holds their
// slots and connections, runs requests on them, and sees every service time.

#include "announcement.h"
#include "backend_call.h"
#include "dispatch.h"
#include "link_stream.h"
#include "refusal.h"
#include "types.h"
#include "worker_pool.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace jasminebank {

struct gate_options {
    incarnation run;
    duration announcement_ttl{};
    duration backend_idle{};
    std::size_t threads = 400;
    std::size_t waiting_requests = 256;
};

/// Thread-safe.
class gate {
public:
    explicit gate(gate_options options);
    ~gate();

    /// Takes an announcement; true when the records of the backend servers changed.
    bool announce(const announcement& it, time_point now);
    /// Forgets backend servers that were not heard lately; true when any was forgotten.
    bool expire(time_point now);
    /// Records of all backend servers that this node is the gate of.
    std::vector<server_record> servers() const;
    /// Takes a request from a link. Never blocks.
    void accept(const std::shared_ptr<link_stream>& stream);
    /// Refuses new requests, lets those that run finish.
    void stop();

private:
    struct idle_connection {
        std::shared_ptr<httplib::Client> client;
        time_point since;
    };
    struct backend_server {
        server_record record;
        incarnation run;
        time_point last_heard;
        std::uint32_t busy = 0;
        std::vector<idle_connection> idle;
    };

    void run(const std::shared_ptr<link_stream>& stream, const dispatch& request,
             time_point deadline);
    std::shared_ptr<httplib::Client> take_connection(backend_server_id id);
    void give_back(backend_server_id id, std::shared_ptr<httplib::Client> client,
                   const call_result& result);
    std::optional<refusal> take_slot(const dispatch& request);
    double load_of(backend_server_id id) const;

    const gate_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<backend_server_id, backend_server> servers_;
    bool stopping_ = false;
    worker_pool workers_;
};

} // namespace jasminebank
