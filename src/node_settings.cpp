#include "node_settings.h"

#include "limit_placement.h"

#include <sys/stat.h>

#include <fstream>
#include <sstream>

namespace jasminebank {

using namespace std::chrono_literals;

constexpr std::size_t min_fleet_key_bytes = 16;
constexpr std::size_t max_connections = 900; // sockets of callers, one thread each
constexpr std::size_t max_buffered_body_bytes = 1024UL * 1024;

// The key has a separate file so that the settings file needs no restricted permissions.
static std::string read_fleet_key(field_reader& in)
{
    const std::string path = in.required_text("fleet_key_file");
    struct stat info {};
    std::ifstream file(path);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    std::string key = text.str();
    while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
        key.pop_back();
    if (stat(path.c_str(), &info) != 0 || (info.st_mode & 077U) != 0)
        in.reject("fleet_key_file", "a file that only its owner can read (mode 0600)");
    if (key.size() < min_fleet_key_bytes)
        in.reject("fleet_key_file", "a file with a key of at least 16 bytes");
    return key;
}

static void read_limits(field_reader& in, node_settings& out)
{
    out.connections = in.number("connections", out.connections, 1, max_connections);
    out.buffered_body_bytes =
        in.number("buffered_body_bytes", out.buffered_body_bytes, 0, max_buffered_body_bytes);
    out.waiting_requests = in.number("waiting_requests", out.waiting_requests, 0, 100'000);
    out.backend_idle = in.time("backend_idle", 4s, 100ms, 1min);
    out.announcement_ttl = in.time("announcement_ttl", 3s, 500ms, 1min);
    out.closing_grace = in.time("closing_grace", 1s, 0s, 1min);
    out.stop_grace = in.time("stop_grace", 30s, 0s, 10min);
}

static void read_fleet_settings(field_reader& in, node_settings& out)
{
    out.ready = in.address("ready", "127.0.0.1:0");
    out.metrics = in.address("metrics", "127.0.0.1:0");
    out.backend_server = in.address("backend_server", "127.0.0.1:0");
    out.service = in.text("service", "");
    out.revoke_within = in.time("revoke_within", 0s, 0s, 1min);
    out.limit_holders = static_cast<std::uint32_t>(in.number("limit_holders", 1, 1, limit_shards));
    out.hedge_after = in.decimal("hedge_after", 0, 0, 1000);
    out.other_domain_penalty = in.decimal("other_domain_penalty", 1, 0, 1000);
    out.other_domain_penalty_per_mb = in.decimal("other_domain_penalty_per_mb", 0, 0, 1e6);
    out.other_region_penalty = in.decimal("other_region_penalty", 0, 0, 1000);
    out.other_region_penalty_per_mb = in.decimal("other_region_penalty_per_mb", 0, 0, 1e6);
    out.link_rate = in.decimal("link_rate", 0, 0, 1e6);
    out.region_link = in.decimal("region_link", 0, 0, 1e6);
    out.ping_period = in.time("ping_period", 125ms, 10ms, 10s);
    out.own_domain_first = in.flag("own_domain_first", true);
    out.service_admission = in.flag("service_admission", false);
    const std::string returned_first =
        in.one_of("returned_first", "rank", {"rank", "organisation", "none"});
    if (returned_first != "rank")
        out.returned_first =
            returned_first == "none" ? returned_order::none : returned_order::organisation;
    out.rate_slack = in.decimal("rate_slack", 0, 0, 1e6);
    out.retry_share = in.decimal("retry_share", 0.1, 0, 1);
    out.fleet_retries = in.decimal("fleet_retries", 0, 0, 1e6);
    out.fleet_retry_window = in.time("fleet_retry_window", 10s, 1s, 10min);
}

// One of the two settings is enough; the other one then adds nothing to the rate.
static std::optional<cold_start_tolerance> read_cold_start(field_reader& in)
{
    constexpr double max_over = 1000;
    constexpr double max_slack = 1e6;
    const bool is_set = in.has("cold_over") || in.has("cold_slack");
    const cold_start_tolerance out{.over = in.decimal("cold_over", 1, 0, max_over),
                                   .slack = in.decimal("cold_slack", 0, 0, max_slack)};
    return is_set ? std::optional(out) : std::nullopt;
}

result<node_settings, ini_error> read_node_settings(const ini_file& file)
{
    for (const ini_section& section : file.sections) {
        if (section.name != "node" && section.name != regions_section) {
            return ini_error{file.name, section.line,         section.name,
                             "",        "an unknown section", "[node] or [regions]"};
        }
    }
    const ini_section* section = find_section(file, "node");
    if (section == nullptr)
        return ini_error{file.name, 0, "", "", "no section", "[node]"};
    field_reader in(file, *section);
    node_settings out;
    out.vm_name = in.required_text("vm");
    out.failure_domain = in.required_text("failure_domain");
    out.region = in.text("region", "");
    out.callers = in.address("callers", "127.0.0.1:0");
    out.links = in.address("links", "127.0.0.1:0");
    out.control = in.address("control", "127.0.0.1:0");
    out.store = in.addresses("store");
    out.peers = in.addresses("peers");
    out.on_platform = in.flag("platform", false);
    out.first_start = in.flag("first_start", true);
    if (!out.on_platform)
        out.fleet_key = read_fleet_key(in);
    else if (out.store.size() != 1)
        in.reject("store", "one address, with platform = yes");
    read_fleet_settings(in, out);
    out.regions = read_region_map(file);
    out.evacuations = in.flag("evacuations", false);
    if (out.evacuations && !out.on_platform)
        in.reject("evacuations", "no, without platform = yes");
    out.cold_start = read_cold_start(in);
    out.port_file = in.text("port_file", "");
    read_limits(in, out);
    out.when_cut_off = in.one_of("when_cut_off", "refuse", {"refuse", "serve"}) == "serve"
                           ? cut_off_policy::serve
                           : cut_off_policy::refuse;
    if (const auto wrong = in.finish())
        return *wrong;
    return out;
}

} // namespace jasminebank
