// Daemon that runs the stand-in for the platform's key-value store; for tests only.

#include "fake_store.h"
#include "log.h"

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace jasminebank;

struct command_line {
    endpoint listen{.host = "127.0.0.1", .port = 0};
    std::string port_file;
};

[[noreturn]] static void leave_with_usage(std::FILE* out, int status)
{
    fmt::print(out, "Usage: fake_store [--listen ADDRESS:PORT] [--port-file FILE]\n"
                    "Stand-in for the platform's key-value store. SIGTERM or SIGINT stops it.\n"
                    "  --listen ADDRESS:PORT  address to listen on; port 0 selects a free port\n"
                    "                         (default 127.0.0.1:0)\n"
                    "  --port-file FILE       file to which the port is written once it listens\n"
                    "  --help                 show this text\n"
                    "POST /fault sets faults, GET /calls returns the counts of calls.\n");
    std::exit(status);
}

static command_line read_command_line(int argc, char** argv)
{
    static const option options[] = {{"listen", required_argument, nullptr, 'l'},
                                     {"port-file", required_argument, nullptr, 'p'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    command_line out;
    for (int c = 0; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (c == 'h')
            leave_with_usage(stdout, EXIT_SUCCESS);
        const auto at = c == 'l' ? parse_endpoint(optarg) : out.listen;
        if (c == '?' || !at)
            leave_with_usage(stderr, EXIT_FAILURE);
        out.listen = *at;
        if (c == 'p')
            out.port_file = optarg;
    }
    if (optind != argc)
        leave_with_usage(stderr, EXIT_FAILURE);
    return out;
}

// Writes to a temporary file and renames it, so that a reader never sees a partial number.
static bool write_port(const std::string& path, std::uint16_t port)
{
    const std::string draft = path + ".new";
    std::FILE* file = std::fopen(draft.c_str(), "w");
    if (file == nullptr)
        return false;
    fmt::print(file, "{}\n", port);
    return std::fclose(file) == 0 && std::rename(draft.c_str(), path.c_str()) == 0;
}

int main(int argc, char** argv)
{
    const command_line line = read_command_line(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fake_store store({.listen = line.listen, .state = {}});
    if (!store.start()) {
        fmt::print(stderr, "fake_store: cannot listen on {}\n", to_string(line.listen));
        return EXIT_FAILURE;
    }
    if (!line.port_file.empty() && !write_port(line.port_file, store.address().port)) {
        fmt::print(stderr, "fake_store: cannot write port file {}\n", line.port_file);
        return EXIT_FAILURE;
    }
    log_event(event::standin_started, "fake_store on {}", to_string(store.address()));
    int signal = 0;
    sigwait(&signals, &signal);
    store.stop();
    return EXIT_SUCCESS;
}
