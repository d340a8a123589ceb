// The node's status, budget and metrics responses for operators.

#include "log.h"
#include "node.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jasminebank {

constexpr int unknown_organisation_status = 404;

static std::string_view name_of(server_standing it)
{
    switch (it) {
    case server_standing::serving:
        return "serving";
    case server_standing::demoted:
        return "demoted";
    case server_standing::held_out:
        return "held_out";
    case server_standing::on_trial:
        break;
    }
    return "on_trial";
}

static nlohmann::json servers_json(const member_record& member, const fleet_config* config)
{
    nlohmann::json out = nlohmann::json::array();
    for (const server_record& it : member.servers) {
        const service_config* service =
            config == nullptr ? nullptr : find_service(*config, it.service);
        out.push_back({{"address", to_string(it.address)},
                       {"service", service == nullptr ? std::string("unknown") : service->name},
                       {"slots", it.slots},
                       {"draining", it.draining},
                       {"standing", name_of(it.standing)}});
    }
    return out;
}

void node::answer_status(httplib::Response& res)
{
    const auto config = entry_->config();
    const member_status membership = members_->status();
    nlohmann::json members = nlohmann::json::array();
    for (const member_record& it : members_->members()) {
        members.push_back({{"vm", it.name},
                           {"run", it.run.value},
                           {"link", to_string(it.link)},
                           {"leaving", it.leaving},
                           {"backend_servers", it.servers.size()},
                           {"servers", servers_json(it, config.get())}});
    }
    nlohmann::json out{{"vm", settings_.vm_name},
                       {"failure_domain", settings_.failure_domain},
                       {"generation", config == nullptr ? 0 : config->generation},
                       {"may_serve", membership.may_serve},
                       {"hears_majority", membership.reaches_majority},
                       {"members", std::move(members)}};
    if (settings_.evacuations)
        out["evacuated"] = members_->evacuations().domains;
    if (membership.store_age) {
        out["store_age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(*membership.store_age).count();
    }
    res.set_content(out.dump(), "application/json");
}

// The entry counts and message traffic cover the whole node, all other values the organisation.
void node::answer_budget(const httplib::Request& req, httplib::Response& res)
{
    const std::string name = req.get_param_value("organisation");
    const auto config = entry_->config();
    const organisation_id id = id_of<organisation_id>(name);
    const organisation_config* contract =
        config == nullptr ? nullptr : find_organisation(*config, id);
    if (contract == nullptr) {
        res.status = unknown_organisation_status;
        res.set_content("organisation: not in the configuration\n", "text/plain");
        return;
    }
    const budget_report it = limits_->report(id);
    nlohmann::json holders = nlohmann::json::array();
    for (const budget_holder& holder : it.holders)
        holders.push_back(
            {{"failure_domain", holder.domain}, {"vm", holder.vm}, {"epoch", holder.epoch}});
    nlohmann::json out{{"vm", settings_.vm_name},
                       {"organisation", name},
                       {"rate", contract->rate},
                       {"burst", contract->burst},
                       {"shard", it.shard},
                       {"tokens", it.tokens},
                       {"holders", std::move(holders)},
                       {"counts",
                        {{"admitted", it.entry.admitted},
                         {"waited", it.entry.waited},
                         {"refused", it.entry.refused},
                         {"no_holder", it.entry.no_holder},
                         {"requests", it.entry.requests}}},
                       {"messages",
                        {{"batches_out", it.traffic.batches_out},
                         {"messages_out", it.traffic.messages_out},
                         {"bytes_out", it.traffic.bytes_out},
                         {"batches_in", it.traffic.batches_in},
                         {"messages_in", it.traffic.messages_in},
                         {"bytes_in", it.traffic.bytes_in}}}};
    if (it.holder_tokens) {
        out["holder"] = {{"tokens", static_cast<double>(*it.holder_tokens) / one_token},
                         {"grants", it.holding.grants},
                         {"refusals", it.holding.refusals},
                         {"loans_asked", it.holding.loans_requested},
                         {"loans_given", it.holding.loans_granted}};
    }
    res.set_content(out.dump(), "application/json");
}

static void append_retries(std::string& out, const entry::retry_count_table& counts)
{
    out += "# TYPE jasminebank_retries_total counter\n";
    for (const auto& [cause, it] : counts) {
        const std::string_view line =
            "jasminebank_retries_total{{cause=\"{}\",granted=\"{}\"}} {}\n";
        out += fmt::format(fmt::runtime(line), cause, "yes", it.granted);
        out += fmt::format(fmt::runtime(line), cause, "no", it.denied);
    }
}

static void append_arrival_refusals(std::string& out, const entry::arrival_refusal_table& counts)
{
    out += "# TYPE jasminebank_refused_on_arrival_total counter\n";
    for (const auto& [key, count] : counts) {
        const auto& [service, cause] = key;
        out +=
            fmt::format("jasminebank_refused_on_arrival_total{{service=\"{}\",cause=\"{}\"}} {}\n",
                        service, cause, count);
    }
}

// The backend servers whose gate is on this node.
static void append_servers(std::string& out, const std::vector<server_load>& loads)
{
    const auto add = [&](std::string_view name, auto value_of_one) {
        out += fmt::format("# TYPE jasminebank_backend_server_{} gauge\n", name);
        for (const server_load& it : loads)
            out += fmt::format("jasminebank_backend_server_{}{{server=\"{:016x}\"}} {}\n", name,
                               it.server.value, value_of_one(it));
    };
    add("running", [](const server_load& it) { return it.running; });
    add("waiting", [](const server_load& it) { return it.waiting; });
    add("suspicion", [](const server_load& it) { return fmt::format("{:.3f}", it.suspicion); });
}

// Only the backend servers that have a cold-start limit.
static void append_cold_starts(std::string& out, std::vector<server_load> loads)
{
    std::erase_if(loads, [](const server_load& it) { return !it.start_limit; });
    if (loads.empty())
        return;
    out += "# TYPE jasminebank_backend_server_start_limit gauge\n";
    for (const server_load& it : loads)
        out += fmt::format("jasminebank_backend_server_start_limit{{server=\"{:016x}\"}} {}\n",
                           it.server.value, *it.start_limit);
    out += "# TYPE jasminebank_backend_server_cold_seconds gauge\n";
    for (const server_load& it : loads)
        out += fmt::format("jasminebank_backend_server_cold_seconds{{server=\"{:016x}\"}} {:.3f}\n",
                           it.server.value, as_milliseconds(it.cold_left) / 1e3);
}

static void append_services(std::string& out, const fleet_config& config,
                            const std::unordered_map<service_id, std::size_t>& sizes)
{
    out += "# TYPE jasminebank_service_backend_servers gauge\n";
    for (const service_config& it : config.services) {
        const auto found = sizes.find(it.id);
        out += fmt::format("jasminebank_service_backend_servers{{service=\"{}\"}} {}\n", it.name,
                           found == sizes.end() ? 0 : found->second);
    }
}

// Without restricted routes and organisations, the configuration names no region.
static void append_regions(std::string& out, const std::map<std::string, std::size_t>& nodes)
{
    if (!nodes.empty())
        out += "# TYPE jasminebank_region_nodes gauge\n";
    for (const auto& [region, count] : nodes)
        out += fmt::format("jasminebank_region_nodes{{region=\"{}\"}} {}\n", region, count);
}

static void append_evacuations(std::string& out, const evacuation_state& state,
                               const gate::evacuation_report& own)
{
    out += "# TYPE jasminebank_evacuated_failure_domain gauge\n";
    for (const std::string& it : state.domains)
        out += fmt::format("jasminebank_evacuated_failure_domain{{failure_domain=\"{}\"}} 1\n", it);
    out += fmt::format("# TYPE jasminebank_evacuation_revision gauge\n"
                       "jasminebank_evacuation_revision {}\n"
                       "# TYPE jasminebank_gate_evacuated gauge\n"
                       "jasminebank_gate_evacuated {}\n"
                       "# TYPE jasminebank_evacuation_refusals_total counter\n"
                       "jasminebank_evacuation_refusals_total {}\n",
                       state.stamp.revision, own.is_evacuated ? 1 : 0, own.refused);
}

// Request metrics first, then control traffic, limits, retries and backend servers.
std::string node::metrics_text() const
{
    const link_counters& links = links_->counters();
    const member_status membership = members_->status();
    const auto config = entry_->config();
    std::string out = entry_->metrics().text();
    const auto add = [&out](std::string_view name, std::string_view type, std::uint64_t value) {
        out +=
            fmt::format("# TYPE jasminebank_{} {}\njasminebank_{} {}\n", name, type, name, value);
    };
    add("control_link_bytes_out_total", "counter", links.control.bytes_out);
    add("control_link_bytes_in_total", "counter", links.control.bytes_in);
    add("request_link_bytes_out_total", "counter", links.requests.bytes_out);
    add("request_link_bytes_in_total", "counter", links.requests.bytes_in);
    add("datagram_bytes_out_total", "counter", membership.datagram_bytes);
    add("links", "gauge", links.links);
    add("members_asked", "gauge", membership.overall.pinged);
    add("members_heard", "gauge", membership.overall.answered);
    add("may_serve", "gauge", membership.may_serve ? 1 : 0);
    add("config_generation", "gauge", config == nullptr ? 0 : config->generation);
    if (membership.store_age)
        out += fmt::format("# TYPE jasminebank_config_confirmed_age_seconds gauge\n"
                           "jasminebank_config_confirmed_age_seconds {:.3f}\n",
                           as_milliseconds(*membership.store_age) / 1e3);
    out += config_account_->text();
    add("log_lines_dropped_total", "counter", dropped_log_lines());
    const limit_entry_counts limits = limits_->counts();
    add("limit_admitted_total", "counter", limits.admitted);
    add("limit_waited_total", "counter", limits.waited);
    add("limit_refused_total", "counter", limits.refused);
    add("limit_without_holder_total", "counter", limits.no_holder);
    add("limit_requests_total", "counter", limits.requests);
    out += traffic_->text() + entry_->crossing_metrics();
    append_retries(out, entry_->retry_counts());
    if (settings_.service_admission) {
        append_arrival_refusals(out, entry_->arrival_refusals());
        add("returned_requests_total", "counter", entry_->returned_count());
        add("held_requests_total", "counter", gate_->held_count());
    }
    const std::vector<server_load> loads = gate_->loads(boot_now());
    append_servers(out, loads);
    append_cold_starts(out, loads);
    if (settings_.evacuations)
        append_evacuations(out, members_->evacuations(), gate_->evacuation());
    if (config != nullptr)
        append_services(out, *config, entry_->backend_server_counts());
    append_regions(out, region_watch_->node_counts());
    return out;
}

} // namespace jasminebank
