#pragma once

// A backend server for trials and tests: it serves HTTP with a set capacity and service time, fails
// in the ways that it is told to, keeps account of what it ran, and announces itself to a node.
//
// Every other path than these is a request that takes a slot:
//   GET  /health           200, or 503 when the mode is honest and the server is draining or bad
//   GET  /load             {"load": share of slots, "running": n, "draining": bool}
//   POST /control/mode     a backend_mode as JSON
//   POST /control/drain    announces that it leaves; goes on answering
//   GET  /control/account  what was run, by request id and by idempotency key
//   GET  /control/seen     ?text=T: in how many header lines T was seen
//
// A request may carry `?size=N` (bytes of the answer), `?chunked=1`, `?ms=N` (time that it takes),
// and the header Jasmine-Deadline-Ms (time left). The answer copies X-Request-Id, tells the
// organisation that the node named in X-Organisation, and its body is that of answer_body.

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
    std::vector<endpoint> nodes{}; ///< to announce to, in order; none: no announcing
    std::size_t slots = 4;
    std::size_t waiting = 8;       ///< requests that may wait for a slot; more are shed
    std::size_t connections = 400; ///< more are shed
    duration service_time = std::chrono::milliseconds(20); ///< mean
    double service_noise = 0.2;                            ///< sigma of the log-normal factor
    std::uint64_t seed = 1;
    std::uint64_t cold_requests = 0; ///< the first requests are slower by `cold_factor`
    duration cold_time{};            ///< and so are those in the time after the start
    double cold_factor = 3;
    std::uint64_t answer_bytes = 256;                     ///< without `size`
    std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024; ///< larger sizes are refused with 400
    std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;   ///< larger bodies are refused with 413
    duration announce_interval = std::chrono::seconds(1);
    account_options account{};
    std::function<void()>
        on_crash{}; ///< called after a crash has cut everything; may end the process
};

/// Serves from `start` until `leave`, `stop` or a crash.
class fake_backend {
public:
    explicit fake_backend(fake_backend_options options);
    ~fake_backend();

    /// False when the address cannot be had.
    bool start();
    /// Announces that it drains; goes on answering.
    void drain();
    /// Leaves cleanly: drains, keeps serving for `notice`, waits at most `grace` for what runs,
    /// stops.
    void shut_down(duration drain_time, duration grace);
    /// Stops listening and announcing; requests that run get their answers.
    void stop();
    /// What a crash does: cuts every connection at once and stops announcing.
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
    struct pending_request; // one request on its way through the server

    void add_routes();
    void add_control_routes();
    void handle(const httplib::Request& req, httplib::Response& res,
                const httplib::ContentReader* reader);
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
    std::mutex mutex_; // mode, random numbers and the lagging report
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
