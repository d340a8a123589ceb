#pragma once

// A small fleet of real processes for tests of failures: the stand-in store, nodes and fake backend
// servers, built programs on a loopback address of the test's own.

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

/// A program that the test started; killed and waited for at the end.
class child_process {
public:
    /// Standard output and errors go to the end of the file `output`.
    child_process(const std::string& program, std::vector<std::string> args,
                  const std::string& output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Its exit code, or minus the signal that ended it; nothing while it still runs.
    std::optional<int> wait_for_exit(duration timeout);

private:
    pid_t pid_ = -1;
    std::optional<int> exit_;
};

/// One service with a backend server beside each node.
struct fleet_service {
    std::string name; ///< also its path: "/NAME/"
    std::string method = "GET";
    std::string service_time = "5ms";
    std::string timeout = "8s";
    std::string target = "0s"; ///< target latency; 0: none
};

struct fleet_options {
    std::vector<fleet_service> services{{.name = "lids"}, {.name = "orders", .method = "POST"}};
    std::string extra_node_settings{}; ///< further settings of every node
    std::size_t slots = 8;             ///< of every backend server
};

/// What a run of the operators' command line gave.
struct command_result {
    int code = -1;
    std::string output;
};

constexpr std::size_t fleet_nodes = 3;
inline const std::string honey_key = "process-test-key-honey"; ///< of the organisation "honey"

/// Three nodes; all waits fail the test when they take too long.
class process_fleet {
public:
    explicit process_fleet(fleet_options options = {});
    ~process_fleet();

    /// Starts the node with its settings, on the ports that it had before.
    void start_node(std::size_t node);
    /// Waits until each of `nodes` knows all of them and `servers` backend servers in all.
    bool wait_until_joined(const std::vector<std::size_t>& nodes, std::size_t servers);
    /// The exit code of a planned stop.
    std::optional<int> stop_node(std::size_t node);
    /// The exit code of a planned stop under a supervisor that kills the node `grace` after
    /// SIGTERM.
    int stop_or_kill(std::size_t node, duration grace);
    child_process& node(std::size_t node) { return *nodes_.at(node).process; }
    endpoint callers(std::size_t node) const { return nodes_.at(node).callers; }
    endpoint links(std::size_t node) const { return nodes_.at(node).links; }
    endpoint control(std::size_t node) const { return nodes_.at(node).control; }
    nlohmann::json status(std::size_t node) const;
    std::uint64_t generation(std::size_t node) const;
    /// Requests that wait for a slot at this node's gate.
    std::uint64_t waiting(std::size_t node) const;
    /// Overrides the store's address in the settings, for the next start.
    void use_unreachable_store(std::size_t node) { nodes_.at(node).store = host_ + ":1"; }
    /// Overrides the fleet's key, for the next start.
    void use_wrong_key(std::size_t node) { nodes_.at(node).key_file = wrong_key_; }

    /// The backend server of service number `service` that announces to `node` first.
    endpoint backend(std::size_t node, std::size_t service) const;
    const std::vector<endpoint>& backends() const { return backends_; }
    void set_mode(const endpoint& backend, const nlohmann::json& mode) const;
    /// Requests that run at a backend server.
    std::uint64_t running(const endpoint& backend) const;
    /// Drains the service's backend servers except the one beside `node`; waits until all know it.
    void drain_all_except(std::size_t node, std::size_t service) const;

    void set_fault(const nlohmann::json& fault) const;
    command_result run_command(const std::vector<std::string>& words) const;
    /// Starts the command line without waiting for it.
    std::unique_ptr<child_process> start_command(const std::vector<std::string>& words,
                                                 const std::string& output) const;
    /// Writes a file of the fleet's own folder and returns its path.
    std::string write(const std::string& name, const std::string& text) const;
    std::string log(std::size_t node) const;

    load_options load(const fleet_service& service, duration run_time) const;
    /// Holds what callers were told against the accounts of all backend servers that live.
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
    std::vector<endpoint> backends_; ///< of node 0 by service, then of node 1, ...
};

/// True as soon as `condition` holds, false after `timeout`.
bool wait_until(const std::function<bool()>& condition,
                duration timeout = std::chrono::seconds(20));

} // namespace jasminebank
