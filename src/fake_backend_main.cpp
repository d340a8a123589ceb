// fake_backend: a backend server for load trials. SIGTERM and SIGINT drain it and then stop it.

#include "command_line.h"
#include "fake_backend.h"
#include "log.h"

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

namespace {

using namespace jasminebank;
using namespace std::chrono_literals;

constexpr int crash_exit_code = 70;

constexpr std::array options_of_command{
    command_line_option{"service", "NAME", "service to announce (default service)"},
    command_line_option{"listen", "A:P",
                        "listen address; port 0 selects a free one (default 127.0.0.1:0)"},
    command_line_option{"node", "A:P[,A:P]", "nodes to announce to, tried in order"},
    command_line_option{"slots", "N", "requests that run concurrently (default 4)"},
    command_line_option{"waiting", "N", "queued requests; further ones are shed (default 8)"},
    command_line_option{"connections", "N",
                        "open connections; further ones are shed (default 400)"},
    command_line_option{"service-time", "TIME", "mean service time of a request (default 20ms)"},
    command_line_option{"service-noise", "SIGMA",
                        "sigma of the log-normal service time factor (default 0.2)"},
    command_line_option{"seed", "N", "seed of all random draws (default 1)"},
    command_line_option{"cold-requests", "N",
                        "number of slow requests after the start (default 0)"},
    command_line_option{"cold-time", "TIME",
                        "time after the start with slow requests (default 0ms)"},
    command_line_option{"cold-factor", "X", "service time factor of slow requests (default 3)"},
    command_line_option{"answer-bytes", "N", "response body size without ?size (default 256)"},
    command_line_option{"mode", "JSON", "initial fault mode, as for POST /control/mode"},
    command_line_option{"announce-interval", "TIME", "interval between announcements (default 1s)"},
    command_line_option{"notice", "TIME", "serving time after the drain announcement (default 3s)"},
    command_line_option{"grace", "TIME",
                        "maximum wait for what still runs after that (default 30s)"},
    command_line_option{"port-file", "FILE", "file to write the port to once it listens"},
};

// The parsed command line.
struct settings {
    fake_backend_options backend;
    backend_mode mode;
    duration drain_time{};
    duration grace{};
    std::string port_file;
};

result<settings, ini_error> read_settings(const ini_section& section)
{
    const ini_file file{.name = "command line", .sections = {}};
    field_reader in(file, section);
    settings out;
    fake_backend_options& it = out.backend;
    it.service = in.text("service", it.service);
    it.listen = in.address("listen", "127.0.0.1:0");
    it.nodes = in.addresses("node");
    it.slots = in.number("slots", it.slots, 1, 1000);
    it.waiting = in.number("waiting", it.waiting, 0, 10'000);
    it.connections = in.number("connections", it.connections, 1, 10'000);
    it.service_time = in.time("service-time", it.service_time, 0ms, 10min);
    it.service_noise = in.decimal("service-noise", it.service_noise, 0, 5);
    it.seed = in.number("seed", it.seed, 0, UINT64_MAX);
    it.cold_requests = in.number("cold-requests", it.cold_requests, 0, UINT32_MAX);
    it.cold_time = in.time("cold-time", it.cold_time, 0ms, 60min);
    it.cold_factor = in.decimal("cold-factor", it.cold_factor, 1, 1000);
    it.answer_bytes = in.number("answer-bytes", it.answer_bytes, 0, it.max_answer_bytes);
    it.announce_interval = in.time("announce-interval", it.announce_interval, 10ms, 10min);
    out.drain_time = in.time("notice", 3s, 0ms, 10min);
    out.grace = in.time("grace", 30s, 0ms, 60min);
    out.port_file = in.text("port-file", "");
    const auto mode = parse_mode(in.text("mode", "{}"));
    if (failed(mode))
        in.reject("mode", error_of(mode).field + ": " + error_of(mode).allowed);
    else
        out.mode = value_of(mode);
    if (const auto error = in.finish())
        return *error;
    return out;
}

// Writes to a temporary file and renames it, since a process that waits for the file may read it as
// soon as it exists.
bool write_port_file(const std::string& path, std::uint16_t port)
{
    const std::string draft = path + ".part";
    std::ofstream out(draft);
    out << port << '\n';
    out.close();
    return out && std::rename(draft.c_str(), path.c_str()) == 0;
}

int serve(const settings& it)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fake_backend_options options = it.backend;
    options.on_crash = [] { _exit(crash_exit_code); };
    fake_backend backend(options);
    backend.set_mode(it.mode);
    if (!backend.start()) {
        fmt::print(stderr, "cannot listen on {}\n", to_string(options.listen));
        return EXIT_FAILURE;
    }
    if (!it.port_file.empty() && !write_port_file(it.port_file, backend.address().port)) {
        fmt::print(stderr, "cannot write port file {}\n", it.port_file);
        return EXIT_FAILURE;
    }
    log_event(event::standin_started, "fake_backend {} listens on {}", options.service,
              to_string(backend.address()));
    int number = 0;
    sigwait(&signals, &number);
    backend.shut_down(it.drain_time, it.grace);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const auto section = parse_command_line(argc, argv, options_of_command);
    if (failed(section)) {
        fmt::print(stderr, "{}\n", describe(error_of(section)));
        return EXIT_FAILURE;
    }
    if (wants_help(value_of(section))) {
        fmt::print("{}", help_text("fake_backend [OPTION...]", options_of_command));
        return EXIT_SUCCESS;
    }
    const auto it = read_settings(value_of(section));
    if (failed(it)) {
        fmt::print(stderr, "{}\n", describe(error_of(it)));
        return EXIT_FAILURE;
    }
    return serve(value_of(it));
}
