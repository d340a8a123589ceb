#include "process_fleet.h"

#include "digest.h"
#include "system_clock.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace jasminebank {

using namespace std::chrono_literals;

static const std::string program_dir = JASMINEBANK_PROGRAM_DIR;
constexpr duration poll_interval = 20ms;
constexpr duration start_timeout = 20s;

bool wait_until(const std::function<bool()>& condition, duration timeout)
{
    const time_point end = boot_now() + timeout;
    while (!condition()) {
        if (boot_now() >= end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

static std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

// Uses posix_spawn instead of fork, since the test program is multithreaded.
child_process::child_process(const std::string& program, std::vector<std::string> args,
                             const std::string& output)
{
    std::string file = program_dir + "/" + program;
    std::vector<char*> argv{file.data()};
    for (std::string& it : args)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid_, file.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        pid_ = -1;
        ADD_FAILURE() << "cannot start " << file;
    }
    posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process()
{
    signal(SIGKILL);
    wait_for_exit(start_timeout);
}

std::size_t child_process::peak_memory() const
{
    std::ifstream in(fmt::format("/proc/{}/status", pid_));
    for (std::string word; in >> word;) {
        std::size_t kib = 0;
        if (word == "VmHWM:" && in >> kib)
            return kib * 1024;
    }
    return 0;
}

void child_process::signal(int number) const
{
    if (pid_ > 0 && !exit_)
        kill(pid_, number);
}

std::optional<int> child_process::wait_for_exit(duration timeout)
{
    wait_until(
        [this] {
            int status = 0;
            if (pid_ > 0 && !exit_ && waitpid(pid_, &status, WNOHANG) == pid_)
                exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            return pid_ <= 0 || exit_.has_value();
        },
        timeout);
    return exit_;
}

// The host address is derived from the process id, so that no other test takes a node's ports while
// the node restarts.
process_fleet::process_fleet(fleet_options options) : options_(std::move(options))
{
    std::string name = std::filesystem::temp_directory_path() / "jasminebank-XXXXXX";
    dir_ = mkdtemp(name.data());
    constexpr int block = 250;
    host_ = fmt::format("127.{}.{}.1", 1 + getpid() / block % block, getpid() % block);
    start_store();
    apply_configuration();
    const std::string key_file = write("fleet.key", "process-test-fleet-key\n");
    wrong_key_ = write("wrong.key", "process-test-another-key\n");
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        const endpoint any{.host = host_, .port = 0};
        nodes_.push_back({.process = nullptr,
                          .callers = any,
                          .links = any,
                          .control = any,
                          .store = to_string(store_),
                          .key_file = key_file});
        start_node(n);
    }
    start_backends();
    EXPECT_TRUE(wait_until_joined({0, 1, 2}, backends_.size())) << log(0);
}

process_fleet::~process_fleet()
{
    if (testing::Test::HasFailure()) {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            fmt::print(stderr, "node {}:\n{}", n, log(n));
    }
    for (const node_process& it : nodes_)
        it.process->signal(SIGKILL);
    for (const auto& it : backend_processes_)
        it->signal(SIGKILL);
    nodes_.clear();
    backend_processes_.clear();
    store_process_.reset();
    std::filesystem::remove_all(dir_);
}

std::string process_fleet::write(const std::string& name, const std::string& text) const
{
    std::ofstream(path(name)) << text;
    chmod(path(name).c_str(), S_IRUSR | S_IWUSR);
    return path(name);
}

void process_fleet::start_store()
{
    store_process_ = std::make_unique<child_process>(
        "fake_store",
        std::vector<std::string>{"--listen", host_ + ":0", "--port-file", path("store")},
        path("store.log"));
    EXPECT_TRUE(wait_until([this] { return !read_file(path("store")).empty(); }, start_timeout));
    store_ = {.host = host_,
              .port = static_cast<std::uint16_t>(std::atoi(read_file(path("store")).c_str()))};
}

void process_fleet::apply_configuration()
{
    std::string text = "[fleet]\nfailure_domains = d0, d1, d2\n";
    for (const fleet_service& it : options_.services) {
        text += fmt::format("[service {0}]\ntimeout = {2}\nfloor_slots = 4\n"
                            "[route {0}]\npath = /{0}/\nmethods = {1}\nservice = {0}\n"
                            "target_latency = {3}\nregions = {4}\n",
                            it.name, it.method, it.timeout, it.target, it.regions);
    }
    text += fmt::format("[organisation honey]\nrate = 2000\nburst = 4000\nkey.test = {}\n",
                        to_hex(digest_of(honey_key)));
    text += options_.extra_configuration;
    const command_result it = run_command({"apply", write("fleet.ini", text)});
    EXPECT_EQ(it.code, 0) << it.output;
}

static endpoint port_of(const std::string& ports, const std::string& name)
{
    std::istringstream in(ports);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name + " = "))
            return parse_endpoint(line.substr(name.size() + 3)).value_or(endpoint{});
    }
    return {};
}

void process_fleet::start_node(std::size_t node)
{
    node_process& it = nodes_.at(node);
    const std::string ports = path(fmt::format("ports{}", node));
    std::filesystem::remove(ports);
    std::string peers;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (n != node)
            peers += (peers.empty() ? "" : ",") + to_string(nodes_[n].links);
    }
    const std::string settings = write(
        fmt::format("node{}.ini", node),
        fmt::format("[node]\nvm = vm{0}\nfailure_domain = d{0}\nstore = {1}\npeers = {2}\n"
                    "fleet_key_file = {3}\nport_file = {4}\ncallers = {5}\nlinks = {6}\n"
                    "control = {7}\n{8}",
                    node, it.store, peers, it.key_file, ports, to_string(it.callers),
                    to_string(it.links), to_string(it.control), options_.extra_node_settings));
    it.process = std::make_unique<child_process>(
        "node", std::vector<std::string>{"--settings", settings}, path(fmt::format("log{}", node)));
    ASSERT_TRUE(wait_until([&] { return std::filesystem::exists(ports); }, start_timeout))
        << log(node);
    it.callers = port_of(read_file(ports), "callers");
    it.links = port_of(read_file(ports), "links");
    it.control = port_of(read_file(ports), "control");
}

void process_fleet::start_backends()
{
    for (std::size_t node = 0; node < fleet_nodes; ++node) {
        std::string to;
        for (std::size_t n = 0; n < fleet_nodes; ++n)
            to += (n == 0 ? "" : ",") + to_string(control((node + n) % fleet_nodes));
        for (const fleet_service& it : options_.services) {
            const std::string name = fmt::format("{}{}", it.name, node);
            backend_processes_.push_back(std::make_unique<child_process>(
                "fake_backend",
                std::vector<std::string>{"--service", it.name, "--service-time", it.service_time,
                                         "--listen", host_ + ":0", "--node", to, "--port-file",
                                         path(name), "--slots", std::to_string(options_.slots),
                                         "--waiting", "32"},
                path(name + ".log")));
        }
    }
    for (std::size_t node = 0; node < fleet_nodes; ++node) {
        for (const fleet_service& it : options_.services) {
            const std::string file = path(fmt::format("{}{}", it.name, node));
            EXPECT_TRUE(wait_until([&] { return !read_file(file).empty(); }, start_timeout));
            const int port = std::atoi(read_file(file).c_str());
            backends_.push_back({.host = host_, .port = static_cast<std::uint16_t>(port)});
        }
    }
}

bool process_fleet::wait_until_joined(const std::vector<std::size_t>& nodes, std::size_t servers)
{
    const auto joined = [&](std::size_t node) {
        const nlohmann::json it = status(node);
        if (!it.is_object() || it.at("generation") == 0 || it.at("may_serve") != true)
            return false;
        std::size_t found = 0;
        std::size_t living = 0;
        for (const auto& member : it.at("members")) {
            if (member.at("leaving") == true)
                continue;
            ++living;
            found += member.at("backend_servers").get<std::size_t>();
        }
        return living == nodes.size() && found == servers;
    };
    const auto serves = [&](std::size_t node) {
        const fleet_service& service = options_.services.front();
        httplib::Client client(callers(node).host, callers(node).port);
        httplib::Request req;
        req.method = service.method;
        req.path = "/" + service.name + "/ready";
        req.set_header("Authorization", "Bearer " + honey_key);
        const httplib::Result answer = client.send(req);
        return answer && answer->status == 200;
    };
    return wait_until([&] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](std::size_t n) { return joined(n) && serves(n); });
    });
}

std::optional<int> process_fleet::stop_node(std::size_t node)
{
    nodes_.at(node).process->signal(SIGTERM);
    return nodes_.at(node).process->wait_for_exit(45s);
}

int process_fleet::stop_or_kill(std::size_t node, duration grace)
{
    child_process& it = *nodes_.at(node).process;
    it.signal(SIGTERM);
    if (!it.wait_for_exit(grace))
        it.signal(SIGKILL);
    return it.wait_for_exit(start_timeout).value_or(-1);
}

nlohmann::json process_fleet::status(std::size_t node) const
{
    httplib::Client client(control(node).host, control(node).port);
    client.set_read_timeout(2s);
    const httplib::Result answer = client.Get("/status");
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json{};
}

std::uint64_t process_fleet::generation(std::size_t node) const
{
    nlohmann::json it;
    const bool answered = wait_until([&] {
        it = status(node);
        return it.is_object();
    });
    EXPECT_TRUE(answered) << log(node);
    return answered ? it.at("generation").get<std::uint64_t>() : 0;
}

std::uint64_t process_fleet::waiting(std::size_t node) const
{
    httplib::Client client(control(node).host, control(node).port);
    const httplib::Result answer = client.Get("/metrics");
    std::istringstream in(answer ? answer->body : "");
    std::uint64_t out = 0;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("jasminebank_backend_server_waiting{"))
            out += std::strtoull(line.c_str() + line.rfind(' '), nullptr, 10);
    }
    return out;
}

endpoint process_fleet::backend(std::size_t node, std::size_t service) const
{
    return backends_.at(node * options_.services.size() + service);
}

void process_fleet::set_mode(const endpoint& backend, const nlohmann::json& mode) const
{
    httplib::Client client(backend.host, backend.port);
    const httplib::Result answer = client.Post("/control/mode", mode.dump(), "application/json");
    EXPECT_TRUE(answer && answer->status == 200);
}

std::uint64_t process_fleet::running(const endpoint& backend) const
{
    httplib::Client client(backend.host, backend.port);
    const httplib::Result answer = client.Get("/load");
    const auto it = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    return it.is_object() ? it.at("running").get<std::uint64_t>() : 0;
}

void process_fleet::drain_all_except(std::size_t node, std::size_t service) const
{
    for (std::size_t n = 0; n < fleet_nodes; ++n) {
        const endpoint it = backend(n, service);
        httplib::Client client(it.host, it.port);
        EXPECT_TRUE(n == node || client.Post("/control/drain"));
    }
    const auto draining = [&](std::size_t at) {
        const nlohmann::json it = status(at);
        std::size_t out = 0;
        for (const auto& member : it.is_object() ? it.at("members") : nlohmann::json::array()) {
            for (const auto& server : member.at("servers"))
                out += server.at("draining") == true ? 1 : 0;
        }
        return out;
    };
    for (std::size_t n = 0; n < fleet_nodes; ++n)
        EXPECT_TRUE(wait_until([&] { return draining(n) == fleet_nodes - 1; })) << log(n);
}

void process_fleet::set_fault(const nlohmann::json& fault) const
{
    httplib::Client client(store_.host, store_.port);
    const httplib::Result answer = client.Post("/fault", fault.dump(), "application/json");
    EXPECT_TRUE(answer && answer->status == 200);
}

std::unique_ptr<child_process> process_fleet::start_command(const std::vector<std::string>& words,
                                                            const std::string& output) const
{
    std::vector<std::string> args{"--store", to_string(store_)};
    args.insert(args.end(), words.begin(), words.end());
    return std::make_unique<child_process>("jasminebank", args, path(output));
}

command_result process_fleet::run_command(const std::vector<std::string>& words) const
{
    std::filesystem::remove(path("command.out"));
    const auto it = start_command(words, "command.out");
    const std::optional<int> code = it->wait_for_exit(30s);
    return {.code = code.value_or(-1), .output = read_file(path("command.out"))};
}

std::string process_fleet::log(std::size_t node) const
{
    return read_file(path(fmt::format("log{}", node)));
}

load_options process_fleet::load(const fleet_service& service, duration run_time) const
{
    load_options out{.targets = {}, .run_time = run_time, .method = service.method};
    for (const node_process& it : nodes_)
        out.targets.push_back(it.callers);
    out.organisations = {{.name = "honey", .key = honey_key}};
    out.path = "/" + service.name + "/x";
    out.timeout = 15s;
    return out;
}

run_violations process_fleet::check(const load_report& report, bool idempotent) const
{
    std::size_t lost = 0;
    std::vector<run_report> accounts;
    for (const endpoint& it : backends_) {
        auto account = fetch_account(it);
        if (failed(account))
            ++lost;
        else
            accounts.push_back(std::move(value_of(account)));
    }
    return check_runs(report, accounts, {.idempotent = idempotent, .lost_accounts = lost});
}

} // namespace jasminebank
