// node: the daemon that runs on each backend server VM. SIGTERM and SIGINT start a planned stop
// that lets open requests end; SIGHUP reloads the settings.

#include "command_line.h"
#include "log.h"
#include "node.h"
#include "platform/parts.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <malloc.h>

namespace {

using namespace jasminebank;

// Each arena keeps its own free memory. Few arenas keep a process with many threads within its
// memory limit.
constexpr int malloc_arenas = 2;

constexpr std::array options_of_command{
    command_line_option{"settings", "FILE", "INI file with the section [node]"},
    command_line_option{"check", "", "check the settings and exit"},
};

result<node_settings, ini_error> load_settings(const std::string& path)
{
    const auto file = load_ini(path);
    if (failed(file))
        return error_of(file);
    return read_node_settings(value_of(file));
}

// Increases with each start on the same VM, even if the resolution of the clock is coarse.
incarnation new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

// Written to a temporary file and renamed, since a process that waits for the file may read it as
// soon as it exists.
bool write_port_file(const std::string& path, const node_ports& ports)
{
    if (path.empty())
        return true;
    const std::string temporary_path = path + ".part";
    std::ofstream out(temporary_path);
    out << fmt::format("callers = {}\nlinks = {}\ncontrol = {}\n", to_string(ports.callers),
                       to_string(ports.links), to_string(ports.control));
    out.close();
    return out && std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

// Keeps the current settings if the new ones are invalid.
void reload(node& it, const std::string& path)
{
    const auto settings = load_settings(path);
    if (failed(settings)) {
        log_event(event::settings_rejected, "kept the current settings: {}",
                  describe(error_of(settings)));
        return;
    }
    it.reload(value_of(settings));
    log_event(event::settings_reloaded, "{}", path);
}

// Detects a stop signal while the node starts: signals are blocked then, and an unreachable store
// may delay the start indefinitely.
bool is_stop_pending()
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

int serve(const node_settings& settings, const std::string& path)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_ARENA_MAX, malloc_arenas);
    const auto it =
        node::start(settings, new_incarnation(),
                    settings.on_platform ? std::optional(platform::make_parts()) : std::nullopt,
                    is_stop_pending);
    if (it == nullptr && is_stop_pending()) {
        log_event(event::node_stopped, "{}: stopped before it joined the fleet", settings.vm_name);
        return EXIT_SUCCESS;
    }
    if (it == nullptr)
        return EXIT_FAILURE;
    const node_ports ports = it->ports();
    log_event(event::node_started, "{} in {}: callers {}, links {}, control {}", settings.vm_name,
              settings.failure_domain, to_string(ports.callers), to_string(ports.links),
              to_string(ports.control));
    if (!write_port_file(settings.port_file, ports)) {
        log_event(event::settings_rejected, "port_file: cannot write {}", settings.port_file);
        return EXIT_FAILURE;
    }
    int number = 0;
    while (sigwait(&signals, &number) == 0 && number == SIGHUP)
        reload(*it, path);
    log_event(event::node_stopping, "signal {}", number);
    it->stop();
    log_event(event::node_stopped, "{}", settings.vm_name);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const auto line = parse_command_line(argc, argv, options_of_command);
    if (failed(line)) {
        fmt::print(stderr, "{}\n", describe(error_of(line)));
        return EXIT_FAILURE;
    }
    if (wants_help(value_of(line))) {
        fmt::print("{}", help_text("node --settings FILE [--check]", options_of_command));
        return EXIT_SUCCESS;
    }
    const ini_file place{.name = "command line", .sections = {}};
    field_reader in(place, value_of(line));
    const std::string path = in.required_text("settings");
    const bool only_check = in.flag("check", false);
    if (const auto wrong = in.finish()) {
        fmt::print(stderr, "{}\n", describe(*wrong));
        return EXIT_FAILURE;
    }
    const auto settings = load_settings(path);
    if (failed(settings)) {
        log_event(event::settings_rejected, "{}", describe(error_of(settings)));
        return EXIT_FAILURE;
    }
    return only_check ? EXIT_SUCCESS : serve(value_of(settings), path);
}
