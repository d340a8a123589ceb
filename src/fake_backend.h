#pragma once

// A backend server for tests and load trials: it serves HTTP with a configured capacity and service
// time, injects faults, records which requests it ran, and announces itself to a node.
//
// These paths need no slot; a request for any other path occupies one while it runs:
//   GET  /health           200; with honest_health 503 while draining or faults are active
//   GET  /load             {"load": share of slots, "running": n, "draining": bool}
//   POST /control/mode     replaces the backend_mode (JSON body)
//   POST /control/drain    announces that it is draining; keeps serving
//   GET  /control/account  the recorded runs by request id and by idempotency key; with ?id=ID only
//                          those of that id, with ?repeated only those that ran more than once
//   GET  /control/seen     ?text=T: the number of distinct header lines that contain T
//
// A request may have the parameters `size` (response bytes), `chunked`, `ms` (service time), and
// the header Jasmine-Deadline-Ms (milliseconds until its deadline). The response copies
// X-Request-Id, has the value of Jasmine-Organisation in X-Organisation, and its body is generated
// by answer_body.

#include "announcer.h"
#include "answer_body.h"
#include "backend_mode.h"
#include "concurrency_limiter.h"
#include "run_account.h"
#include "socket_server.h"

#include <atomic>
#include <memory>
#include <random>

namespace jasminebank {

struct fake_backend_options {
    std::string service = "service";
    endpoint listen{.host = "127.0.0.1", .port = 0};
    std::vector<endpoint> nodes{}; ///< nodes to announce to, in order; empty: no announcements
    std::size_t slots = 4;         ///< requests that run concurrently
    std::size_t waiting = 8;       ///< queued requests; further ones are shed
    std::size_t connections = 400; ///< open connections; further ones are shed
    duration service_time = std::chrono::milliseconds(20); ///< mean service time
    double service_noise = 0.2; ///< sigma of a log-normal factor with mean 1
    std::uint64_t seed = 1;
    std::uint64_t cold_requests = 0; ///< first requests, slower by `cold_factor`
    duration cold_time{};            ///< time after start with the same slowdown
    double cold_factor = 3;
    std::uint64_t answer_bytes = 256;                     ///< response size without `size`
    std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024; ///< larger sizes are refused with 400
    std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;   ///< larger bodies are refused with 413
    duration announce_interval = std::chrono::seconds(1);
    account_options account{};
    std::function<void()>
        on_crash{}; ///< called after a crash closed all connections; may end the process
};

/// Serves from `start` until `shut_down`, `stop` or a crash.
class fake_backend {
public:
    explicit fake_backend(fake_backend_options options);
    ~fake_backend();

    /// Binds the address, serves and announces. False when the address cannot be bound.
    bool start();
    /// Announces that the server is draining; keeps serving.
    void drain();
    /// Drains, keeps serving for `drain_time`, waits at most `grace` for running requests,
    /// announces a last time and stops. Requests that still run after `grace` are aborted.
    void shut_down(duration drain_time, duration grace);
    /// Stops listening and announcing; running requests are still answered.
    void stop();
    /// Simulates a crash: aborts all connections at once and stops announcing.
    void crash();

    void set_mode(const backend_mode& mode);
    endpoint address() const { return server_.address(); }
    bool has_crashed() const { return crashed_; }
    bool is_draining() const { return draining_; }
    std::optional<endpoint> announced_node() const { return announcer_.node(); }
    const run_account& account() const { return account_; }
    std::uint64_t shed_requests() const { return shed_; }
    std::uint64_t cancelled_requests() const { return cancelled_; }
    std::uint64_t expired_requests() const { return expired_; }

private:
    struct pending_request; // one request from its arrival to its response

    void add_routes();
    void add_control_routes();
    void handle(const httplib::Request& req, httplib::Response& res,
                const httplib::ContentReader* reader);
    void add_notice(httplib::Response& res);
    bool read_request(pending_request& it, const httplib::ContentReader* reader);
    void run(pending_request& it);
    void answer(pending_request& it);
    duration draw_service_time(const request_faults& faults);
    server_announcement build_announcement();
    double reported_load();
    bool reported_health();
    void refresh_report();

    fake_backend_options options_;
    run_account account_;
    concurrency_limiter limiter_;
    socket_server server_;
    announcer announcer_;
    std::mutex mutex_; // guards mode_, random_, report_time_, load_ and healthy_
    backend_mode mode_;
    std::mt19937_64 random_;
    time_point report_time_{};
    double load_ = 0;
    bool healthy_ = true;
    time_point started_{};
    std::uint64_t incarnation_ = 0;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> crashed_ = false;
    std::atomic<std::uint64_t> started_requests_ = 0;
    std::atomic<std::uint64_t> shed_ = 0;
    std::atomic<std::uint64_t> cancelled_ = 0;
    std::atomic<std::uint64_t> expired_ = 0;
};

} // namespace jasminebank
