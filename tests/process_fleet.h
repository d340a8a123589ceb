#pragma once

// A small fleet for failure tests: runs the programs of the fake store, the nodes and the fake
// backend servers as processes on a loopback address that no other test uses.

#include "endpoint.h"
#include "load_generator.h"
#include "run_check.h"
#include "types.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminebank {

/// A child process running one of the built programs. The destructor kills it and waits for it.
class child_process {
public:
    /// Standard output and standard error are appended to the file `output`.
    child_process(const std::string& program, std::vector<std::string> args,
                  const std::string& output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Returns the exit code, or minus the signal that killed it; nullopt if it runs after
    /// `timeout`.
    std::optional<int> wait_for_exit(duration timeout);
    /// Most memory that it has used at once, in bytes.
    std::size_t peak_memory() const;

private:
    pid_t pid_ = -1;
    std::optional<int> exit_;
};

/// One service, with one backend server per node.
struct fleet_service {
    std::string name; ///< also defines its path, "/NAME/"
    std::string method = "GET";
    std::string service_time = "5ms";
    std::string timeout = "8s";
    std::string target = "0s"; ///< target latency; 0: none
    std::string regions{};     ///< that may serve its route; empty: all
};

struct fleet_options {
    std::vector<fleet_service> services{{.name = "lids"}, {.name = "orders", .method = "POST"}};
    std::string extra_node_settings{}; ///< further settings lines for all nodes
    std::string extra_configuration{}; ///< further sections of the fleet's configuration
    std::size_t slots = 8;             ///< per backend server
};

/// Exit code and output of a run of the operators' command-line tool.
struct command_result {
    int code = -1;
    std::string output;
};

constexpr std::size_t fleet_nodes = 3;
inline const std::string honey_key =
    "process-test-key-honey"; ///< API key of the organisation "honey"

/// A fleet of three nodes. A wait for a start-up step that takes too long fails the test.
class process_fleet {
public:
    explicit process_fleet(fleet_options options = {});
    ~process_fleet();

    /// Starts the node with its settings, on the ports of its previous run if there was one.
    void start_node(std::size_t node);
    /// Waits until each of `nodes` serves requests and knows exactly these nodes and `servers`
    /// backend servers in total; false after a timeout.
    bool wait_until_joined(const std::vector<std::size_t>& nodes, std::size_t servers);
    /// Performs a planned stop and returns the exit code.
    std::optional<int> stop_node(std::size_t node);
    /// Performs a planned stop like a supervisor that kills the node `grace` after SIGTERM, and
    /// returns the exit code.
    int stop_or_kill(std::size_t node, duration grace);
    child_process& node(std::size_t node) { return *nodes_.at(node).process; }
    endpoint callers(std::size_t node) const { return nodes_.at(node).callers; }
    endpoint links(std::size_t node) const { return nodes_.at(node).links; }
    endpoint control(std::size_t node) const { return nodes_.at(node).control; }
    nlohmann::json status(std::size_t node) const;
    std::uint64_t generation(std::size_t node) const;
    /// Number of requests that wait for a slot at this node's gate.
    std::uint64_t waiting(std::size_t node) const;
    /// Sets an address on which no store listens, for the next start.
    void use_unreachable_store(std::size_t node) { nodes_.at(node).store = host_ + ":1"; }
    /// Sets a key that differs from the fleet key, for the next start.
    void use_wrong_key(std::size_t node) { nodes_.at(node).key_file = wrong_key_; }

    /// The backend server of service number `service` that announces to `node` first.
    endpoint backend(std::size_t node, std::size_t service) const;
    const std::vector<endpoint>& backends() const { return backends_; }
    void set_mode(const endpoint& backend, const nlohmann::json& mode) const;
    /// Number of requests that are running on a backend server.
    std::uint64_t running(const endpoint& backend) const;
    /// Drains the service's backend servers except the one of `node`, and waits until all nodes
    /// know.
    void drain_all_except(std::size_t node, std::size_t service) const;

    void set_fault(const nlohmann::json& fault) const;
    command_result run_command(const std::vector<std::string>& words) const;
    /// Starts the operators' command-line tool without waiting for it to exit.
    std::unique_ptr<child_process> start_command(const std::vector<std::string>& words,
                                                 const std::string& output) const;
    /// Writes a file in the fleet's temporary directory and returns its path.
    std::string write(const std::string& name, const std::string& text) const;
    std::string log(std::size_t node) const;

    load_options load(const fleet_service& service, duration run_time) const;
    /// Checks the answers that callers received against the runs recorded by all live backend
    /// servers.
    run_violations check(const load_report& report, bool idempotent = false) const;

private:
    struct node_process {
        std::unique_ptr<child_process> process;
        endpoint callers;
        endpoint links;
        endpoint control;
        std::string store;
        std::string key_file;
    };

    void start_store();
    void apply_configuration();
    void start_backends();
    std::string path(const std::string& name) const { return dir_ + "/" + name; }

    fleet_options options_;
    std::string dir_;
    std::string host_;
    std::string wrong_key_;
    endpoint store_;
    std::unique_ptr<child_process> store_process_;
    std::vector<node_process> nodes_;
    std::vector<std::unique_ptr<child_process>> backend_processes_;
    std::vector<endpoint> backends_; ///< ordered by node, then by service
};

/// Polls `condition`; returns true once it holds, false after `timeout`.
bool wait_until(const std::function<bool()>& condition,
                duration timeout = std::chrono::seconds(20));

} // namespace jasminebank
