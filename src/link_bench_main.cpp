// link_bench: measures links on loopback between two processes. The client process sends requests
// and is measured; the server process, its child, answers them.

#include "bench_report.h"
#include "link_hub.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <getopt.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using namespace jasminebank;

/// Deadline of one exchange, from its start.
constexpr duration exchange_limit = std::chrono::seconds(10);
constexpr double micros_per_second = 1e6;
constexpr int server_threads = 16;

/// Kind of measurement: latency of request streams or control messages, or the cost of idle links
/// opened by the client or by the server process.
enum class workload : std::uint8_t { request, control, idle_outgoing, idle_incoming };

struct bench_options {
    workload measured_workload = workload::request;
    std::size_t links = 1; ///< number of links in the idle workloads
    double rate = 200;     ///< exchanges/s over all threads; 0: no pause between them
    int threads = 1;       ///< client threads
    double seconds = 5;
    std::size_t body_bytes = 200; ///< of each request and each answer
};

link_options hub_options(const std::string& vm_name)
{
    return {.self = {.vm_name = vm_name, .run = {1}},
            .fleet_key = "key of the bench",
            .idle_timeout = std::chrono::hours(1)};
}

double cpu_seconds()
{
    rusage it{};
    getrusage(RUSAGE_SELF, &it);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_usec) / micros_per_second;
    };
    return seconds(it.ru_utime) + seconds(it.ru_stime);
}

// Returns the private dirty memory of this process in KiB.
double private_kib()
{
    std::ifstream in("/proc/self/smaps_rollup");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("Private_Dirty:"))
            return std::strtod(line.c_str() + line.find(':') + 1, nullptr);
    }
    return 0;
}

// Sends a control message and waits for the answer. Returns whether it succeeded.
bool call_and_wait(link_hub& hub, const endpoint& peer, const std::string& payload)
{
    std::promise<bool> done;
    const bool is_accepted =
        hub.call(peer, "/control/bench", payload, exchange_limit,
                 [&](const result<std::string, link_error>& it) { done.set_value(!failed(it)); });
    return is_accepted && done.get_future().get();
}

// ---- server process --------------------------------------------------------------------------

/// Queue of incoming streams for the server threads. Never destroyed before the process ends.
struct stream_queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::shared_ptr<link_stream>> waiting;
};

// Sends the request's body back. The body must fit into the buffer.
void echo_body(link_stream& it)
{
    const time_point deadline = boot_now() + exchange_limit;
    std::array<char, 16384> buf{};
    std::size_t got = 0;
    for (;;) {
        const auto n = it.read(std::span(buf).subspan(got), deadline);
        if (failed(n))
            return;
        if (value_of(n) == 0)
            break;
        got += value_of(n);
    }
    if (failed(it.respond({.status = 200}, false)) ||
        failed(it.write(std::span(buf).first(got), deadline)))
        return;
    it.finish();
}

[[noreturn]] void serve_streams(stream_queue& pool)
{
    for (;;) {
        std::unique_lock lock(pool.mutex);
        pool.changed.wait(lock, [&] { return !pool.waiting.empty(); });
        const auto it = std::move(pool.waiting.back());
        pool.waiting.pop_back();
        lock.unlock();
        echo_body(*it);
    }
}

// Starts the hubs and writes their ports to `out_fd`. If a client port is then read from `in_fd`,
// opens a link to it from each hub. Runs until the client process closes the pipe or exits.
[[noreturn]] void run_server_process(const bench_options& options, int in_fd, int out_fd)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    static stream_queue pool;
    for (int n = 0; n < server_threads; ++n)
        std::thread([] { serve_streams(pool); }).detach();
    link_options hub = hub_options("answering");
    hub.on_control = [](const control_request& it) { return std::optional(it.payload); };
    hub.on_stream = [](std::shared_ptr<link_stream> it) {
        const std::lock_guard lock(pool.mutex);
        pool.waiting.push_back(std::move(it));
        pool.changed.notify_one();
    };
    std::vector<std::unique_ptr<link_hub>> hubs;
    hubs.reserve(options.links);
    for (std::size_t n = 0; n < options.links; ++n) {
        hubs.push_back(link_hub::start(hub));
        const std::uint16_t port = hubs.back()->local().port;
        if (write(out_fd, &port, sizeof port) != sizeof port)
            _exit(EXIT_FAILURE);
    }
    endpoint client{.host = "127.0.0.1"};
    if (read(in_fd, &client.port, sizeof client.port) == sizeof client.port) {
        for (const auto& it : hubs)
            call_and_wait(*it, client, "x");
        const char ready = 1;
        if (write(out_fd, &ready, 1) == 1)
            static_cast<void>(read(in_fd, &client.port, 1));
    }
    _exit(EXIT_SUCCESS);
}

// ---- client process --------------------------------------------------------------------------

/// The client's pipes to the server process and the addresses of its hubs.
struct server_process {
    int in_fd = -1;  ///< pipe from the server process
    int out_fd = -1; ///< pipe to the server process
    std::vector<endpoint> hubs;
};

server_process start_server_process(const bench_options& options)
{
    std::array<int, 2> down{};
    std::array<int, 2> up{};
    if (pipe(down.data()) != 0 || pipe(up.data()) != 0)
        std::exit(EXIT_FAILURE);
    if (fork() == 0) {
        close(down[1]);
        close(up[0]);
        run_server_process(options, down[0], up[1]);
    }
    close(down[0]);
    close(up[1]);
    server_process out{.in_fd = up[0], .out_fd = down[1], .hubs = {}};
    for (std::size_t n = 0; n < options.links; ++n) {
        endpoint it{.host = "127.0.0.1"};
        if (read(out.in_fd, &it.port, sizeof it.port) != sizeof it.port)
            std::exit(EXIT_FAILURE);
        out.hubs.push_back(it);
    }
    return out;
}

bool request_and_wait(link_hub& hub, const endpoint& peer, const std::string& body)
{
    const time_point deadline = boot_now() + exchange_limit;
    const auto it = hub.open(peer, {.method = "POST", .path = "/bench"}, false);
    if (failed(it->write(body, deadline)))
        return false;
    it->finish();
    std::array<char, 16384> buf{};
    std::size_t got = 0;
    for (;;) {
        const auto n = it->read(buf, deadline);
        if (failed(n))
            return false;
        if (value_of(n) == 0)
            return got == body.size();
        got += value_of(n);
    }
}

// Runs the sequential exchanges of one client thread until `until`. An exchange starts at its
// scheduled time, or later if the previous one took longer. Returns latencies in microseconds.
std::vector<double> run_exchanges(const bench_options& options, link_hub& hub, const endpoint& peer,
                                  time_point until)
{
    std::vector<double> out;
    const std::string body(options.body_bytes, 'x');
    const double rate = options.rate / options.threads;
    const duration pause = rate > 0 ? duration(static_cast<duration::rep>(1e9 / rate)) : duration{};
    time_point next = boot_now();
    while (next < until) {
        const time_point begin = boot_now();
        const bool is_complete = options.measured_workload == workload::control
                                     ? call_and_wait(hub, peer, body)
                                     : request_and_wait(hub, peer, body);
        const time_point end = boot_now();
        if (!is_complete) {
            fmt::print(stderr, "an exchange failed\n");
            std::exit(EXIT_FAILURE);
        }
        out.push_back(static_cast<double>((end - begin).count()) / 1e3);
        next = std::max(next + pause, end);
        std::this_thread::sleep_for(next - end);
    }
    return out;
}

void measure_exchanges(const bench_options& options, link_hub& hub, const endpoint& peer,
                       bench_report& report)
{
    call_and_wait(hub, peer, "x");
    const time_point begin = boot_now();
    const auto limit = std::chrono::duration<double>(options.seconds);
    const time_point until = begin + std::chrono::duration_cast<duration>(limit);
    const double cpu = cpu_seconds();
    std::vector<std::future<std::vector<double>>> threads;
    threads.reserve(static_cast<std::size_t>(options.threads));
    for (int n = 0; n < options.threads; ++n)
        threads.push_back(std::async(std::launch::async,
                                     [&] { return run_exchanges(options, hub, peer, until); }));
    std::vector<double> micros;
    for (auto& it : threads) {
        const std::vector<double> part = it.get();
        micros.insert(micros.end(), part.begin(), part.end());
    }
    const double seconds = std::chrono::duration<double>(boot_now() - begin).count();
    std::sort(micros.begin(), micros.end());
    const auto count = static_cast<double>(micros.size());
    const auto quantile = [&](double q) {
        return micros[static_cast<std::size_t>(q * (count - 1))];
    };
    report.add_figure("rate", count / seconds, "1/s");
    report.add_figure("p50", quantile(0.5), "us");
    report.add_figure("p99", quantile(0.99), "us");
    report.add_figure("max", micros.back(), "us");
    report.add_figure("cpu_per_exchange", (cpu_seconds() - cpu) / count * micros_per_second, "us");
    const bool is_control = options.measured_workload == workload::control;
    const traffic_counter& it = is_control ? hub.counters().control : hub.counters().requests;
    report.add_figure("bytes_out_per_exchange", static_cast<double>(it.bytes_out) / count, "B");
    report.add_figure("bytes_in_per_exchange", static_cast<double>(it.bytes_in) / count, "B");
}

// Measures the memory growth since before the links were opened (`initial_private_kib`), and CPU
// time and traffic of the idle links from one second after they were opened.
void measure_idle(const bench_options& options, link_hub& hub, double initial_private_kib,
                  bench_report& report)
{
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double memory_growth_kib = private_kib() - initial_private_kib;
    const double cpu = cpu_seconds();
    const traffic_counter& it = hub.counters().control;
    const std::uint64_t bytes = it.bytes_in + it.bytes_out;
    std::this_thread::sleep_for(std::chrono::duration<double>(options.seconds));
    report.add_figure("links", static_cast<double>(hub.counters().links), "1");
    report.add_figure("memory", memory_growth_kib, "KiB");
    report.add_figure("cpu", (cpu_seconds() - cpu) / options.seconds * 1e3, "ms/s");
    report.add_figure("traffic",
                      static_cast<double>(it.bytes_in + it.bytes_out - bytes) / options.seconds,
                      "B/s");
}

void run(const bench_options& options, bench_report& report)
{
    server_process peer = start_server_process(options);
    link_options hub_settings = hub_options("asking");
    hub_settings.on_control = [](const control_request& it) { return std::optional(it.payload); };
    const auto hub = link_hub::start(hub_settings);
    const double initial_private_kib = private_kib();
    const bool is_incoming = options.measured_workload == workload::idle_incoming;
    if (is_incoming) {
        const std::uint16_t port = hub->local().port;
        char ready = 0;
        if (write(peer.out_fd, &port, sizeof port) != sizeof port ||
            read(peer.in_fd, &ready, 1) != 1)
            std::exit(EXIT_FAILURE);
    }
    if (options.measured_workload == workload::idle_outgoing) {
        for (const endpoint& it : peer.hubs)
            call_and_wait(*hub, it, "x");
    }
    if (is_incoming || options.measured_workload == workload::idle_outgoing)
        measure_idle(options, *hub, initial_private_kib, report);
    else
        measure_exchanges(options, *hub, peer.hubs.front(), report);
}

void print_help()
{
    fmt::print("usage: link_bench [options] request|control|idle_outgoing|idle_incoming\n\n"
               "Measures links between two processes on loopback.\n\n"
               "  -r, --rate N      exchanges/s, 0 for no pause between them (default 200)\n"
               "  -t, --threads N   client threads (default 1)\n"
               "  -b, --body N      bytes of request and answer, up to 16000 (default 200)\n"
               "  -l, --links N     links of the idle workloads (default 1)\n"
               "  -s, --seconds N   time to measure (default 5)\n"
               "  -h, --help        this text\n");
}

std::optional<workload> workload_of(std::string_view name)
{
    if (name == "request")
        return workload::request;
    if (name == "control")
        return workload::control;
    if (name == "idle_outgoing")
        return workload::idle_outgoing;
    if (name == "idle_incoming")
        return workload::idle_incoming;
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options it;
    const std::array<option, 7> options{{{"rate", required_argument, nullptr, 'r'},
                                         {"threads", required_argument, nullptr, 't'},
                                         {"body", required_argument, nullptr, 'b'},
                                         {"links", required_argument, nullptr, 'l'},
                                         {"seconds", required_argument, nullptr, 's'},
                                         {"help", no_argument, nullptr, 'h'},
                                         {nullptr, 0, nullptr, 0}}};
    for (int c = 0; (c = getopt_long(argc, argv, "r:t:b:l:s:h", options.data(), nullptr)) != -1;) {
        if (c == 'h' || c == '?') {
            print_help();
            return c == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        const double value = std::max(std::strtod(optarg, nullptr), 0.0);
        if (c == 'r')
            it.rate = value;
        else if (c == 't')
            it.threads = static_cast<int>(std::clamp(value, 1.0, 1000.0));
        else if (c == 'b')
            it.body_bytes = static_cast<std::size_t>(std::min(value, 16000.0));
        else if (c == 'l')
            it.links = static_cast<std::size_t>(std::clamp(value, 1.0, 2000.0));
        else
            it.seconds = value;
    }
    const auto measured_workload = optind + 1 == argc ? workload_of(argv[optind]) : std::nullopt;
    if (!measured_workload) {
        print_help();
        return EXIT_FAILURE;
    }
    it.measured_workload = *measured_workload;
    bench_report report;
    run(it, report);
    for (const bench_figure& figure : report.figures())
        fmt::print("{:<24} {:>12.2f} {}\n", figure.name, figure.value, figure.unit);
    return EXIT_SUCCESS;
}
