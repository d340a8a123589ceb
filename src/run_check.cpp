#include "run_check.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <unordered_map>

namespace jasminebank {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_examples = 20;

// The runs of one request, summed over all accounts.
struct combined_run {
    std::uint64_t runs = 0;
    std::string organisation;
    bool mixed = false;
};

using combined_runs = std::unordered_map<std::string, combined_run>;

combined_runs combine(std::span<const run_report> accounts)
{
    combined_runs out;
    for (const run_report& account : accounts) {
        for (const run_entry& entry : account.by_request) {
            combined_run& it = out[entry.id];
            it.mixed =
                it.mixed || entry.mixed || (it.runs > 0 && it.organisation != entry.organisation);
            it.organisation = entry.organisation;
            it.runs += entry.runs;
        }
    }
    return out;
}

void add_violation(run_violations& out, std::uint64_t& count, const std::string& id,
                   std::string_view what)
{
    ++count;
    if (out.examples.size() < max_examples)
        out.examples.push_back(fmt::format("{}: {}", id, what));
}

run_entry entry_from(const json& it)
{
    return {.id = it.at("id").get<std::string>(),
            .runs = it.at("runs").get<std::uint64_t>(),
            .organisation = it.at("organisation").get<std::string>(),
            .method = it.at("method").get<std::string>(),
            .mixed = it.at("mixed").get<bool>()};
}

} // namespace

// The runs of a crashed backend server are unknown because its account is lost. A successful
// response without a recorded run is then no violation; the other violations still count, since
// they follow from recorded runs alone.
run_violations check_runs(const load_report& report, std::span<const run_report> accounts,
                          const run_check_options& options)
{
    run_violations out{.complete = report.requests_complete && options.lost_accounts == 0};
    for (const run_report& it : accounts)
        out.complete = out.complete && it.complete;
    const combined_runs runs = combine(accounts);
    for (const sent_request& it : report.requests) {
        const auto found = runs.find(it.id);
        const combined_run run = found == runs.end() ? combined_run{} : found->second;
        if (it.kind == answer_kind::refused && run.runs > 0)
            add_violation(out, out.refused_but_run, it.id, "refused as not run, but it ran");
        if (!options.idempotent && run.runs > 1)
            add_violation(out, out.run_twice, it.id, fmt::format("ran {} times", run.runs));
        if (it.kind == answer_kind::ok && run.runs == 0 && out.complete)
            add_violation(out, out.whole_but_not_run, it.id, "answered, but it did not run");
        const std::string& organisation = report.organisations.at(it.organisation).name;
        if (run.runs > 0 && (run.mixed || run.organisation != organisation))
            add_violation(out, out.foreign, it.id,
                          fmt::format("sent for organisation {}, ran for {}", organisation,
                                      run.organisation));
    }
    return out;
}

result<run_report, account_error> fetch_account(const endpoint& from)
{
    httplib::Client client(from.host, from.port);
    client.set_connection_timeout(std::chrono::seconds(2));
    const httplib::Result answer = client.Get("/control/account");
    if (!answer || answer->status != 200)
        return account_error{to_string(from) + ": GET /control/account returned no account"};
    try {
        const json it = json::parse(answer->body);
        run_report out{.runs = it.at("runs").get<std::uint64_t>(),
                       .complete = it.at("complete").get<bool>()};
        for (const json& entry : it.at("requests"))
            out.by_request.push_back(entry_from(entry));
        for (const json& entry : it.at("keys"))
            out.by_idempotency_key.push_back(entry_from(entry));
        return out;
    }
    catch (const json::exception& error) {
        return account_error{to_string(from) + ": " + error.what()};
    }
}

} // namespace jasminebank
