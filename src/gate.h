#pragma once

// The only door to the backend servers that announced themselves to this node: it holds their slots
// and connections, shares the slots between organisations, runs requests, and reports how each one
// ended to the health service.

#include "announcement.h"
#include "backend_call.h"
#include "dispatch.h"
#include "health_service.h"
#include "link_stream.h"
#include "poison_service.h"
#include "refusal.h"
#include "slot_queue.h"
#include "stall_watch.h"
#include "types.h"
#include "worker_pool.h"

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
    std::size_t waiting_requests = 256; ///< of one backend server
    header_names names{};
};

/// What became of an announcement.
enum class announcement_result : std::uint8_t {
    unchanged, ///< and nothing that other nodes know changed
    changed,   ///< taken; the records of the backend servers changed
    outdated,  ///< of an earlier run, or older than one that was taken: ignored
};

/// How a backend server stands just now.
struct server_load {
    backend_server_id server;
    std::size_t running = 0; ///< requests
    std::size_t waiting = 0; ///< for a slot
    double suspicion = 0;    ///< probability that the next request gets no good answer
};

/// Thread-safe.
class gate {
public:
    gate(const gate_options& options, health_service& health, poison_service& poison);
    ~gate();

    announcement_result announce(const announcement& it, time_point now);
    /// The backend server of this name leaves; false if it is not known here.
    bool withdraw(const std::string& name, time_point now);
    /// Forgets backend servers that were not heard lately, refuses requests that waited too long;
    /// true when the records changed.
    bool tick(time_point now);
    /// A backend server gets another standing; true when it is known here.
    bool set_standing(backend_server_id server, server_standing standing);
    /// Records of all backend servers that this node is the gate of.
    std::vector<server_record> servers() const;
    /// How each of them stands.
    std::vector<server_load> loads(time_point now) const;
    /// Takes a request from a link. Never blocks.
    void accept(const std::shared_ptr<link_stream>& stream);
    /// Refuses new requests and those that wait; what runs goes on. Never blocks.
    void close();
    /// Closes and waits for what runs.
    void stop();

private:
    struct idle_connection {
        std::shared_ptr<bounded_client> client;
        time_point since;
    };
    struct backend_server {
        server_record record;
        incarnation run;
        std::string name;
        std::uint64_t sequence = 0;
        bool is_lost = false; ///< nothing listens, or another one answers; until it is heard again
        time_point last_announced;
        slot_queue slots;
        stall_watch stalls;
        time_point last_admitted{};
        std::vector<idle_connection> idle;
    };
    // A request that waits for a slot or runs.
    struct pending_request {
        std::shared_ptr<link_stream> stream;
        dispatch request;
        time_point deadline;
        time_point accepted;
        time_point started;
        double suspicion = 0; // of the backend server when it started
    };
    // What is to be done once the lock is free.
    struct refused_stream {
        std::shared_ptr<link_stream> stream;
        refusal reason = refusal::overloaded;
        server_load load_now{};
        duration waited{};
    };
    struct deferred_actions {
        std::vector<request_id> started;
        std::vector<refused_stream> refused;
    };

    static double load_factor(const backend_server& it);
    server_load current_load(backend_server_id server, time_point now) const;
    void log_refusal(const link_stream& stream, const server_load& load_now,
                     std::string_view reason, duration waited) const;
    std::optional<refusal> admit(const dispatch& request, time_point now);
    void collect_actions(const slot_actions& actions, deferred_actions& out,
                         refusal reason = refusal::overloaded);
    void mark_lost(const pending_request& it, call_outcome outcome);
    void perform(const deferred_actions& it);
    void cancel(request_id id);
    void run(request_id id);
    void log_dispatch_end(const pending_request& it, const call_result& result,
                          bool past_deadline) const;
    bool detect_death(const pending_request& it, const call_result& result);
    std::shared_ptr<bounded_client> acquire_connection(backend_server& server);
    void finish(request_id id, const pending_request& it, std::shared_ptr<bounded_client> client,
                const call_result& result);

    const gate_options options_;
    health_service& health_;
    poison_service& poison_;
    mutable std::mutex mutex_;
    std::unordered_map<backend_server_id, backend_server> servers_;
    std::unordered_map<request_id, pending_request> pending_;
    std::uint64_t next_request_ = 1;
    bool stopping_ = false;
    bool lost_since_tick_ = false; ///< a backend server was lost since the last tick
    worker_pool workers_;
};

} // namespace jasminebank
