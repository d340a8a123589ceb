// load: load generator for trials. Exits with status 1 if an answer was wrong, truncated without
// an error, or belonged to another request, or if the accounts of the backend servers show a
// violation, for example a request that ran twice.

#include "command_line.h"
#include "load_generator.h"
#include "load_report.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace {

using namespace jasminebank;
using namespace std::chrono_literals;

constexpr int usage_status = 2;
constexpr double default_burst_factor = 4;

constexpr std::array options_of_command{
    command_line_option{"node", "A:P[,A:P]", "nodes, used in turn by the callers"},
    command_line_option{"direct", "A:P[,A:P]", "backend servers to compare with nodes, or alone"},
    command_line_option{"accounts", "A:P[,A:P]", "fake backend servers whose accounts are checked"},
    command_line_option{"duration", "TIME", "length of the run (default 10s)"},
    command_line_option{"rate", "X", "requests/s over all organisations (default 184)"},
    command_line_option{"organisation", "N:KEY:W[:B]",
                        "name, key, weight, rate factor in the middle third"},
    command_line_option{"method", "METHOD", "default GET"},
    command_line_option{"path", "PATH", "default /"},
    command_line_option{"size", "N", "bytes of each answer (default 256)"},
    command_line_option{"body-bytes", "N", "bytes of each request's body (default 0)"},
    command_line_option{"chunked", "", "requests chunked answers"},
    command_line_option{"idempotency", "", "sends an Idempotency-Key with each request"},
    command_line_option{"connections", "N",
                        "persistent connections to targets, a thread each (default 64)"},
    command_line_option{"closed-loop", "N", "N callers that each wait for the answer"},
    command_line_option{"timeout", "TIME", "of each read and write (default 10s)"},
    command_line_option{"seed", "N", "of the arrival schedule (default 1)"},
    command_line_option{"workload", "FILE",
                        "INI: [load] as above, [organisation NAME] key, weight, burst"},
    command_line_option{"text", "", "prints a table (the default)"},
    command_line_option{"json", "", "prints JSON"},
    command_line_option{"html", "FILE", "writes a page with histograms"},
};

// Settings from the command line and the workload file.
struct settings {
    load_options load;
    std::vector<endpoint> direct;
    std::vector<endpoint> accounts;
    bool text = false;
    bool json = false;
    std::string html;
};

std::optional<double> parse_positive(std::string_view text)
{
    double out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || end != text.data() + text.size() || out <= 0 || out > 1e6)
        return std::nullopt;
    return out;
}

std::vector<std::string> split(std::string_view text, char mark)
{
    std::vector<std::string> out;
    while (true) {
        const std::size_t at = text.find(mark);
        out.emplace_back(text.substr(0, at));
        if (at == std::string_view::npos)
            return out;
        text.remove_prefix(at + 1);
    }
}

// Parses NAME:KEY:WEIGHT[:FACTOR]. FACTOR is a number or "burst", which means
// default_burst_factor.
std::optional<load_organisation> parse_organisation(std::string_view text)
{
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() < 3 || parts.size() > 4 || parts[0].empty())
        return std::nullopt;
    const auto weight = parse_positive(parts[2]);
    std::optional<double> burst = 1;
    if (parts.size() == 4)
        burst = parts[3] == "burst" ? default_burst_factor : parse_positive(parts[3]);
    if (!weight || !burst || *burst < 1)
        return std::nullopt;
    return load_organisation{
        .name = parts[0], .key = parts[1], .weight = *weight, .burst_factor = *burst};
}

// Reads the sections "[organisation NAME]" of the workload file.
std::optional<ini_error> read_organisations(const ini_file& file, load_options& out)
{
    constexpr std::string_view prefix = "organisation ";
    for (const ini_section& section : file.sections) {
        if (section.name == "load")
            continue;
        if (!section.name.starts_with(prefix))
            return ini_error{file.name, section.line,   section.name,
                             "",        "this section", "[load] and [organisation NAME]"};
        field_reader in(file, section);
        out.organisations.push_back({.name = section.name.substr(prefix.size()),
                                     .key = in.required_text("key"),
                                     .weight = in.decimal("weight", 1, 1e-6, 1e6),
                                     .burst_factor = in.decimal("burst", 1, 1, 1000)});
        if (auto error = in.finish())
            return error;
    }
    return std::nullopt;
}

void read_load(field_reader& in, settings& out)
{
    load_options& it = out.load;
    it.targets = in.addresses("node");
    out.direct = in.addresses("direct");
    out.accounts = in.addresses("accounts");
    it.run_time = in.time("duration", it.run_time, 1ms, 24h);
    it.rate = in.decimal("rate", it.rate, 0.001, 100'000);
    it.method = in.one_of("method", it.method, {"GET", "POST", "PUT", "PATCH", "DELETE"});
    it.path = in.text("path", it.path);
    if (!it.path.starts_with('/'))
        in.reject("path", "a path that starts with /");
    it.answer_bytes = in.number("size", it.answer_bytes, 0, 64ULL * 1024 * 1024);
    it.body_bytes = in.number("body-bytes", it.body_bytes, 0, 64ULL * 1024 * 1024);
    it.chunked = in.flag("chunked", false);
    it.idempotency = in.flag("idempotency", false);
    it.connections = in.number("connections", it.connections, 1, 1000);
    it.closed_loop = in.number("closed-loop", 0, 0, 1000);
    it.timeout = in.time("timeout", it.timeout, 1ms, 1h);
    it.seed = in.number("seed", it.seed, 0, UINT64_MAX);
    for (const std::string& text : in.list("organisation")) {
        const auto organisation = parse_organisation(text);
        if (organisation)
            it.organisations.push_back(*organisation);
        else
            in.reject("organisation", "NAME:KEY:WEIGHT or NAME:KEY:WEIGHT:FACTOR, factor from 1");
    }
    out.text = in.flag("text", false);
    out.json = in.flag("json", false);
    out.html = in.text("html", "");
    in.text("workload", "");
    if (it.targets.empty() && out.direct.empty())
        in.reject("node", "at least one address, here or for direct");
}

std::string workload_path(const ini_section& given)
{
    for (const ini_field& it : given.fields) {
        if (it.name == "workload")
            return it.value;
    }
    return "";
}

// Merges command line and workload file. A field on the command line overrides the same field of
// the file.
result<settings, ini_error> read_settings(const ini_section& given)
{
    settings out;
    ini_file file{.name = "command line", .sections = {}};
    const std::string path = workload_path(given);
    if (!path.empty()) {
        const auto loaded = load_ini(path);
        if (failed(loaded))
            return error_of(loaded);
        file = value_of(loaded);
        if (const auto error = read_organisations(file, out.load))
            return *error;
    }
    ini_section merged = given;
    if (const ini_section* section = find_section(file, "load"); section != nullptr) {
        for (const ini_field& it : section->fields) {
            if (!field_reader(file, given).has(it.name))
                merged.fields.push_back(it);
        }
    }
    field_reader in(file, merged);
    read_load(in, out);
    if (const auto error = in.finish())
        return *error;
    if (out.load.organisations.empty())
        out.load.organisations.push_back({.name = "anyone", .key = "none"});
    return out;
}

// Checks the accounts of the backend servers against the report. A node may retry requests whose
// method is idempotent by HTTP, so that these may run more than once.
run_violations check_accounts(const settings& it, const load_report& report)
{
    run_check_options options{.idempotent = it.load.method != "POST" && it.load.method != "PATCH"};
    std::vector<run_report> accounts;
    for (const endpoint& from : it.accounts) {
        auto account = fetch_account(from);
        if (failed(account)) {
            fmt::print(stderr, "{}\n", error_of(account).reason);
            ++options.lost_accounts;
            continue;
        }
        accounts.push_back(std::move(value_of(account)));
    }
    return check_runs(report, accounts, options);
}

// Runs the load through the nodes, then the same load directly to the backend servers. Without
// nodes, only the direct run takes place.
load_comparison run_comparison(const settings& it)
{
    load_options direct = it.load;
    direct.targets = it.direct;
    direct.direct = true;
    const bool only_direct = it.load.targets.empty();
    load_comparison out{.run = load_generator(only_direct ? direct : it.load).run(),
                        .direct = std::nullopt};
    if (!it.accounts.empty())
        out.violations = check_accounts(it, out.run);
    if (!only_direct && !it.direct.empty())
        out.direct = load_generator(direct).run();
    return out;
}

bool has_violations(const load_comparison& it)
{
    return it.run.total.count(answer_kind::wrong) > 0 ||
           (it.violations && it.violations->total() > 0) ||
           (it.direct && it.direct->total.count(answer_kind::wrong) > 0);
}

int run(const settings& it)
{
    const load_comparison report = run_comparison(it);
    if (it.text || !it.json)
        fmt::print("{}", text_report(report));
    if (it.json)
        fmt::print("{}", json_report(report));
    if (!it.html.empty()) {
        std::ofstream out(it.html);
        out << html_report(report);
        out.close();
        if (!out) {
            fmt::print(stderr, "cannot write {}\n", it.html);
            return usage_status;
        }
    }
    return has_violations(report) ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = parse_command_line(argc, argv, options_of_command);
    if (failed(given)) {
        fmt::print(stderr, "{}\n", describe(error_of(given)));
        return usage_status;
    }
    if (wants_help(value_of(given))) {
        fmt::print("{}", help_text("load --node A:P [OPTION...]", options_of_command));
        return EXIT_SUCCESS;
    }
    const auto it = read_settings(value_of(given));
    if (failed(it)) {
        fmt::print(stderr, "{}\n", describe(error_of(it)));
        return usage_status;
    }
    return run(value_of(it));
}
