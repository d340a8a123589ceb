#include "node.h"

#include "control_causes.h"
#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(50);
// Idempotency keys that a coordinator keeps per shard. An entry takes about 200 bytes.
constexpr std::size_t max_keys_per_shard = 16'384;
constexpr std::size_t control_connections = 128;
// Bodies of control requests are announcements of a few hundred bytes, sent from the same VM.
constexpr duration control_body_timeout = std::chrono::seconds(10);
constexpr duration caller_idle_timeout = std::chrono::minutes(1);
constexpr duration caller_io_timeout = std::chrono::seconds(30);
// Nodes of each failure domain that ping a member of another one. More than one, so that a single
// cut link does not make a suspect.
constexpr std::size_t remote_member_pingers = 3;
// For buffered bodies, and for streams beyond their first 32 KiB: a tenth of the memory of the
// smallest VM.
constexpr std::size_t buffer_bytes = std::size_t{16} << 20;
constexpr double bytes_per_megabit = 1e6 / 8;
constexpr int ok_status = 200;
constexpr int first_server_error_status = 500;
constexpr int unavailable_status = 503;
// After draining, a planned stop waits this long for the leases to be released.
constexpr duration lease_release_timeout = std::chrono::seconds(2);

// Sent immediately on a connection above the limit.
static std::string connection_limit_response()
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\n{}: {}\r\nRetry-After: 1\r\n"
                       "Connection: close\r\nContent-Length: 0\r\n\r\n",
                       outcome_header, outcome_text({.reason = refusal::overloaded}));
}

node::node(node_settings settings, incarnation run, std::optional<platform_parts> platform)
    : settings_(std::move(settings)), run_(run), platform_(std::move(platform)),
      buffers_(std::make_shared<buffer_budget>(buffer_bytes)),
      local_service_(settings_.service, std::chrono::system_clock::now()),
      when_cut_off_(settings_.when_cut_off), stop_grace_(settings_.stop_grace)
{
}

void node::reload(const node_settings& settings)
{
    when_cut_off_ = settings.when_cut_off;
    stop_grace_ = settings.stop_grace;
}

std::unique_ptr<node> node::start(const node_settings& settings, incarnation run,
                                  std::optional<platform_parts> platform,
                                  std::function<bool()> is_cancelled)
{
    for (const ini_error& it : settings.regions.rejected)
        log_event(event::region_setting_ignored, "{}", describe(it));
    std::unique_ptr<node> out(new node(settings, run, std::move(platform)));
    if (!out->join_fleet(std::move(is_cancelled)) || !out->open_links() || !out->open_members() ||
        !out->open_http_servers())
        return nullptr;
    if (out->session_ != nullptr)
        out->session_->start();
    out->ticks_ = std::thread([it = out.get()] { it->run_ticks(); });
    return out;
}

node::~node()
{
    stop();
}

// Obtains the fleet key and the addresses of other nodes: from the platform's store if there is a
// platform, otherwise from the settings.
bool node::join_fleet(std::function<bool()> is_cancelled)
{
    if (!platform_) {
        fleet_ = {.fleet_key = settings_.fleet_key, .peers = settings_.peers};
        return true;
    }
    session_ = platform_->open_store(
        {.vm_name = settings_.vm_name,
         .link = settings_.links,
         .config_key = platform_->config_key,
         .evacuation_prefix = settings_.evacuations ? platform_->evacuation_prefix : "",
         .operator_prefix = platform_->operator_prefix,
         .first_start = settings_.first_start,
         .must_read_config = [this] { return must_read_config(); },
         .value_to_save = [this](saved_kind it) { return value_to_save(it); },
         .on_config =
             [this](const std::string& text, time_point sent_at) {
                 return feed_->apply(text, {.from = "store", .known_since = sent_at});
             },
         .on_config_read =
             [this](const config_transfer& it) { config_account_->store_read_ended(it); },
         .on_evacuations =
             [this](evacuation_read it) { members_->record_evacuations(std::move(it)); },
         .on_config_confirmed = [this](time_point at) { members_->record_store_contact(at); },
         .is_cancelled = std::move(is_cancelled)},
        settings_.store.front());
    auto joined = session_->join();
    if (!joined)
        return false;
    fleet_ = *std::move(joined);
    joined_at_ = boot_now();
    // Where the store may be in another region, nodes that start together take turns.
    if (settings_.regions.map.region_count() > 1 && !settings_.first_start && !fleet_.peers.empty())
        store_read_delay_ = store_read_delay(id_of<vm_id>(settings_.vm_name));
    return true;
}

bool node::open_links()
{
    links_ = link_hub::start(
        {.listen = settings_.links,
         .self = {.vm_name = settings_.vm_name, .run = run_},
         .fleet_key = fleet_.fleet_key,
         .buffers = buffers_,
         .on_stream = [this](const std::shared_ptr<link_stream>& it) { accept_stream(it); },
         .on_control = [this](const control_request& it) { return answer_control(it); },
         .traffic = traffic_,
         .cause_of_path = cause_of_path});
    if (links_ == nullptr) {
        log_event(event::settings_rejected, "links: cannot listen on {}",
                  to_string(settings_.links));
        return false;
    }
    relay_ = std::make_unique<control_relay>(
        link_identity{.vm_name = settings_.vm_name, .run = run_}, *links_);
    coordinators_ = std::make_unique<key_coordinators>(
        id_of<vm_id>(settings_.vm_name), id_of<failure_domain_id>(settings_.failure_domain),
        settings_.regions.map);
    region_watch_ = std::make_unique<region_watch>(settings_.regions.map);
    open_gate();
    open_limits();
    open_entry();
    follow_store();
    return true;
}

// The backend servers that earlier runs of this node saved as withdrawn.
withdrawal_list node::withdrawn_before() const
{
    withdrawal_list out;
    const auto saved = decode_withdrawals(fleet_.withdrawals);
    if (!saved)
        log_event(event::withdrawals_unreadable, "bytes={}", fleet_.withdrawals.size());
    for (const server_withdrawal& it : saved.value_or(std::vector<server_withdrawal>{}))
        out.add(it);
    return out;
}

void node::open_gate()
{
    health_ = std::make_unique<health_service>(
        health_options{.self = id_of<vm_id>(settings_.vm_name),
                       .run = run_,
                       .store = platform_ ? std::vector<endpoint>{} : settings_.store,
                       .queries_peers = !platform_,
                       .on_standing_changed =
                           [this](backend_server_id server, server_standing standing) {
                               // On a platform, a gate's verdicts (server_standing) are valid only
                               // for a short time and are neither stored nor published.
                               if (!platform_ && gate_->set_standing(server, standing))
                                   publish_servers();
                           }},
        *links_);
    poison_ = std::make_unique<poison_service>(
        poison_service_options{.self = id_of<vm_id>(settings_.vm_name),
                               .save = [this] { save(saved_kind::victims); }},
        *links_);
    poison_->restore(fleet_.victims, fleet_.victims_of_others);
    const bool by_organisation = settings_.returned_first == returned_order::organisation;
    gate_ =
        std::make_unique<gate>(gate_options{.run = run_,
                                            .announcement_ttl = settings_.announcement_ttl,
                                            .backend_idle = settings_.backend_idle,
                                            .waiting_requests = settings_.waiting_requests,
                                            .names = platform_ ? platform_->names : header_names{},
                                            .service_admission = settings_.service_admission,
                                            .returned_first_by_organisation = by_organisation,
                                            .withdrawn = withdrawn_before(),
                                            .cold_start = settings_.cold_start},
                               *health_, *poison_);
    reach_ = std::make_unique<reach_monitor>(
        reach_monitor_options{.on_change =
                                  [this](vm_id vm, bool answers) {
                                      entry_->set_gate_reachable(vm, answers);
                                      relay_->set_reachable(vm, answers);
                                      if (delegations_ != nullptr)
                                          delegations_->set_reachable(vm, answers);
                                  }},
        *links_);
    recall_ = std::make_unique<recall_service>(
        recall_service_options{
            .plan = {.self = id_of<vm_id>(settings_.vm_name), .run = run_},
            .on_recalled = [this](const recalled_facts& it) { apply_recalled(it); }},
        *links_);
}

// What peers know of earlier runs of this node. Runs on a link thread.
void node::apply_recalled(const recalled_facts& it)
{
    poison_->merge(it.victims);
    gate_->restore_withdrawals(it.withdrawn);
}

void node::open_entry()
{
    idempotency_ = std::make_unique<idempotency_service>(
        idempotency_service_options{
            .self = id_of<vm_id>(settings_.vm_name),
            .run = run_,
            .find_coordinator =
                [this](const idempotency_key& it) { return coordinators_->find(it); },
            .register_options = {.max_keys = max_keys_per_shard,
                                 .max_keys_per_organisation = max_keys_per_shard / 4}},
        *links_);
    const auto on_nested_ended = [this](bool refused) { gate_->nested_ended(refused, boot_now()); };
    entry_ = std::make_unique<entry>(
        entry_options{.buffered_body_bytes = settings_.buffered_body_bytes,
                      .may_serve = [this] { return may_serve(); },
                      .is_config_outdated =
                          [this] { return feed_ != nullptr && feed_->behind_for().has_value(); },
                      .take_token =
                          [this](organisation_id organisation, time_point deadline) {
                              return limits_->admit_blocking(organisation, deadline);
                          },
                      .poison_time_left =
                          [this](request_fingerprint it) { return poison_->remaining_refusal(it); },
                      .once = platform_ ? nullptr : idempotency_.get(),
                      .names = platform_ ? platform_->names : header_names{},
                      .local_service = [this] { return local_service_.name(); },
                      .on_gate_failed = [this](vm_id it) { reach_->suspect(it, boot_now()); },
                      .buffers = buffers_,
                      .hedge_after = settings_.hedge_after,
                      .on_nested_ended = on_nested_ended,
                      .service_admission = settings_.service_admission,
                      .marks_returned = settings_.returned_first != returned_order::none,
                      .retry_share = settings_.fleet_retries > 0
                                         ? settings_.retry_share * usable_share_of_retry_bound
                                         : settings_.retry_share,
                      .take_shared_retry = make_shared_retry_limiter()},
        *links_, make_router_options());
}

// The policy for other regions is used only where there are some, and a setting says what they
// cost.
router_options node::make_router_options() const
{
    const bool is_set = settings_.other_region_penalty > 0 ||
                        settings_.other_region_penalty_per_mb > 0 || settings_.region_link > 0;
    const crossing_options crossing{.other_region_penalty = settings_.other_region_penalty,
                                    .other_region_penalty_per_mb =
                                        settings_.other_region_penalty_per_mb,
                                    .region_link = settings_.region_link * bytes_per_megabit};
    return {.self = id_of<vm_id>(settings_.vm_name),
            .domain = id_of<failure_domain_id>(settings_.failure_domain),
            .other_domain_penalty = settings_.other_domain_penalty,
            .other_domain_penalty_per_mb = settings_.other_domain_penalty_per_mb,
            .own_domain_first = settings_.own_domain_first,
            .crossing = is_set && settings_.regions.map.region_count() > 1 ? std::optional(crossing)
                                                                           : std::nullopt,
            .scope_of = [this](failure_domain_id it) { return scope_of(it); },
            .regions = settings_.regions.map};
}

// Returns a function that takes a retry token from the limit shared by all nodes, or an empty
// function if there is no shared limit. Each node then has only its own retry budget.
std::function<bool(service_id, time_point)> node::make_shared_retry_limiter()
{
    if (settings_.fleet_retries <= 0)
        return {};
    return [this](service_id service, time_point deadline) {
        const limit_verdict it = limits_->admit_blocking(shared_retry_limit_of(service), deadline);
        return std::holds_alternative<limit_admitted>(it);
    };
}

void node::apply_config(const std::shared_ptr<const fleet_config>& config, bool is_first_hand)
{
    gate_->set_config(config, boot_now());
    entry_->set_config(config);
    health_->set_config(config);
    coordinators_->set_config(config, boot_now());
    region_watch_->set_config(*config, boot_now());
    limits_->set_config(config);
    if (leases_ != nullptr)
        leases_->set_config(config);
    members_->set_generation(config->generation, is_first_hand);
}

void node::follow_store()
{
    if (platform_) {
        feed_ = std::make_unique<config_feed>(
            config_feed_options{
                .decode = platform_->decode_config,
                .on_generation =
                    [this](const std::shared_ptr<const fleet_config>& it,
                           const config_origin& origin) { apply_config(it, origin.is_store); },
                .account = config_account_},
            *links_);
        return;
    }
    follower_ = std::make_unique<config_follower>(
        config_follower_options{
            .store = settings_.store,
            .on_generation =
                [this](const std::shared_ptr<const config_generation>& it) {
                    apply_config(it->config, false);
                },
            .on_store_current = [this](time_point at) { members_->record_store_contact(at); },
            .account = config_account_},
        *links_);
}

// With `revoke_within`, revoked keys must be refused in time even by a node that is cut off from
// the fleet. A node then serves only while it knows of a sufficiently recent store contact.
bool node::may_serve() const
{
    if (when_cut_off_ == cut_off_policy::serve)
        return true;
    if (settings_.revoke_within == duration::zero())
        return members_->may_serve();
    const auto age = members_->store_age();
    return age && *age <= settings_.revoke_within * 9 / 10; // the rest allows for delays in transit
}

bool node::must_read_config() const
{
    const auto contact_age = members_->store_age();
    const store_read_reason reason = reason_to_read_store({.is_watcher = is_watcher_,
                                                           .contact_age = contact_age,
                                                           .since_join = boot_now() - joined_at_,
                                                           .delay = store_read_delay_,
                                                           .rank = members_->rank(),
                                                           .behind_for = feed_->behind_for()});
    config_account_->reader_changed(reason, contact_age);
    return reason != store_read_reason::none;
}

// The callbacks use `members_`, which is created later. That is safe: leases are only acquired once
// a configuration is in force, and it is only fetched after the membership service has started.
void node::open_limits()
{
    const limit_peer self{.vm = id_of<vm_id>(settings_.vm_name), .run = run_};
    const auto apply_terms = [this](const shard_terms& it) {
        limits_->set_terms(it);
        coordinators_->set_terms(it, boot_now());
    };
    const auto announce_held = [this](std::vector<held_shard> it) {
        members_->announce_shards(std::move(it));
    };
    limits_ = std::make_unique<limit_service>(
        limit_service_options{
            .self = self,
            .domain = id_of<failure_domain_id>(settings_.failure_domain),
            // Half of the slack is for bursts; the other half covers what the old and the new
            // holder both grant during a takeover.
            .burst_slack = settings_.rate_slack / 2,
            .retries = {.retries = settings_.fleet_retries, .window = settings_.fleet_retry_window},
            .on_no_response = [this](vm_id it) { suspect_node(it); }},
        *relay_);
    if (platform_)
        return;
    leases_ = std::make_unique<limit_lease_service>(
        limit_lease_service_options{.self = self,
                                    .failure_domain = settings_.failure_domain,
                                    .store = settings_.store,
                                    .on_terms = apply_terms,
                                    .on_held = announce_held},
        *links_);
}

// Routes control messages to this node through a relay and probes the direct link.
void node::suspect_node(vm_id vm)
{
    relay_->suspect(vm);
    reach_->suspect(vm, boot_now());
}

void node::open_delegations()
{
    const limit_peer self{.vm = id_of<vm_id>(settings_.vm_name), .run = run_};
    delegations_ = std::make_unique<delegation_service>(
        delegation_service_options{
            // Each group of organisations has its own holder.
            .delegation = {.self = self,
                           .domain = id_of<failure_domain_id>(settings_.failure_domain),
                           .groups = settings_.limit_holders},
            .on_terms = [this](const shard_terms& it) { limits_->set_terms(it); },
            .on_holders = [this](std::uint32_t shard,
                                 const std::vector<vm_id>& it) { limits_->set_holders(shard, it); },
            .on_no_response = [this](vm_id it) { suspect_node(it); }},
        *relay_);
    delegations_->set_known_node_count(fleet_.peers.size() + 1);
}

traffic_scope node::scope_of(failure_domain_id other) const
{
    return scope_of_domain(settings_.regions.map,
                           id_of<failure_domain_id>(settings_.failure_domain), other);
}

void node::apply_directory(const member_directory& directory)
{
    traffic_->set_peers(directory, id_of<failure_domain_id>(settings_.failure_domain),
                        [this](failure_domain_id it) { return scope_of(it); });
    entry_->set_directory(directory);
    health_->set_directory(directory);
    coordinators_->set_directory(directory);
    region_watch_->set_directory(directory);
    poison_->set_directory(directory);
    relay_->set_directory(directory);
    reach_->set_directory(directory);
    recall_->set_directory(directory);
    for (const member_record& member : directory.members())
        idempotency_->mark_claims_unknown(member.vm, member.run);
    limits_->set_directory(directory);
    if (leases_ != nullptr)
        leases_->set_directory(directory);
    if (ready_ && delegations_ != nullptr)
        delegations_->set_directory(directory);
}

// Runs before `apply_directory`, which rebuilds the candidates of the entry.
void node::apply_evacuations(const std::vector<std::string>& domains)
{
    std::vector<failure_domain_id> ids;
    ids.reserve(domains.size());
    for (const std::string& it : domains)
        ids.push_back(id_of<failure_domain_id>(it));
    entry_->set_evacuated(std::move(ids));
    const bool is_own =
        std::find(domains.begin(), domains.end(), settings_.failure_domain) != domains.end();
    gate_->set_evacuated(is_own, boot_now());
}

bool node::open_members()
{
    const member_record self{.vm = id_of<vm_id>(settings_.vm_name),
                             .name = settings_.vm_name,
                             .run = run_,
                             .version = 1,
                             .link = links_->local(),
                             .domain = id_of<failure_domain_id>(settings_.failure_domain),
                             .link_rate = static_cast<std::uint32_t>(settings_.link_rate),
                             .servers = {}};
    members_ = std::make_unique<member_service>(
        member_service_options{
            .membership = {.self = self,
                           .seeds = fleet_.peers,
                           .random_seed = run_.value,
                           .ping_interval = settings_.ping_period,
                           .pingers_per_remote_member =
                               platform_ ? remote_member_pingers : std::size_t{0},
                           .is_far =
                               [this](failure_domain_id it) {
                                   return scope_of(it) == traffic_scope::other_region;
                               },
                           .shares_evacuations = settings_.evacuations},
            .fleet_key = fleet_.fleet_key,
            .traffic = traffic_,
            .watchers_per_domain = platform_ ? std::size_t{1} : std::size_t{2},
            .on_directory_change = [this](const member_directory& it) { apply_directory(it); },
            .on_newer_config =
                [this](const newer_config& it) {
                    if (feed_ != nullptr)
                        feed_->hear({.peer = it.link,
                                     .generation = it.generation,
                                     .is_preferred = it.is_own_domain || is_watcher_});
                    else
                        follower_->fetch_from(it.link, it.generation);
                },
            .on_evacuations = [this](const std::vector<std::string>& it) { apply_evacuations(it); },
            .on_watcher_change =
                [this](bool watching) {
                    is_watcher_ = watching;
                    if (follower_ != nullptr)
                        follower_->watch_store(watching);
                }},
        *links_);
    if (platform_)
        open_delegations();
    ready_ = true;
    if (members_->start()) {
        if (delegations_ != nullptr)
            delegations_->start();
        return true;
    }
    log_event(event::settings_rejected, "links: no datagrams on {}: cannot open the UDP socket",
              to_string(links_->local()));
    return false;
}

bool node::open_http_servers()
{
    callers_ = std::make_unique<socket_server>(
        socket_server_options{.listen = settings_.callers,
                              .max_connections = settings_.connections,
                              .idle_timeout = caller_idle_timeout,
                              .io_timeout = caller_io_timeout,
                              .overload_response = connection_limit_response(),
                              .prepare = [](httplib::Request& req) { req.path.assign(1, '/'); }});
    control_ = std::make_unique<socket_server>(
        socket_server_options{.listen = settings_.control,
                              .max_connections = control_connections,
                              .body_timeout = control_body_timeout});
    add_caller_routes();
    add_control_routes(*control_);
    if (settings_.metrics.port != 0) {
        metrics_server_ = std::make_unique<socket_server>(
            socket_server_options{.listen = settings_.metrics,
                                  .max_connections = control_connections,
                                  .body_timeout = control_body_timeout});
        add_control_routes(*metrics_server_);
    }
    if (settings_.ready.port != 0) {
        ready_server_ = std::make_unique<socket_server>(
            socket_server_options{.listen = settings_.ready,
                                  .max_connections = control_connections,
                                  .body_timeout = control_body_timeout});
        ready_server_->Get(".*", [this](const httplib::Request&, httplib::Response& res) {
            res.status = !leaving_ && entry_->config() != nullptr ? ok_status : unavailable_status;
        });
    }
    for (socket_server* it :
         {callers_.get(), control_.get(), metrics_server_.get(), ready_server_.get()}) {
        if (it != nullptr && !it->start()) {
            log_event(event::settings_rejected, "cannot listen on {} or {}",
                      to_string(settings_.callers), to_string(settings_.control));
            return false;
        }
    }
    return true;
}

// One handler serves all paths; the HTTP library's routing is not used: the server's `prepare`
// option sets the path of each request to "/".
void node::add_caller_routes()
{
    const auto plain = [this](const httplib::Request& req, httplib::Response& res) {
        entry_->handle(req, res, nullptr);
    };
    const auto with_body = [this](const httplib::Request& req, httplib::Response& res,
                                  const httplib::ContentReader& reader) {
        entry_->handle(req, res, &reader);
    };
    // The HTTP library answers some requests itself, such as one with a malformed head.
    const httplib::Server::HandlerWithResponse add_outcome = [](const auto&, auto& res) {
        if (res.status < first_server_error_status && !res.has_header(std::string(outcome_header)))
            res.set_header(std::string(outcome_header),
                           outcome_text({.reason = refusal::bad_request}));
        return httplib::Server::HandlerResponse::Unhandled;
    };
    callers_->set_error_handler(add_outcome);
    callers_->Get("/", plain);
    callers_->Options("/", plain);
    callers_->Post("/", with_body);
    callers_->Put("/", with_body);
    callers_->Patch("/", with_body);
    callers_->Delete("/", with_body);
}

void node::add_control_routes(socket_server& server)
{
    server.set_payload_max_length(64UL * 1024);
    server.Get("/status",
               [this](const httplib::Request&, httplib::Response& res) { answer_status(res); });
    server.Get("/budget", [this](const httplib::Request& req, httplib::Response& res) {
        answer_budget(req, res);
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& res) {
        res.set_content(metrics_text(), "text/plain; version=0.0.4");
    });
    if (&server != control_.get())
        return;
    if (platform_) {
        platform_->add_announcements(
            server, {.announce = [this](const auto& it) { return process_announcement(it); },
                     .withdraw =
                         [this](const std::string& name, const withdrawing_run& run) {
                             return withdraw_server(name, run);
                         }});
        return;
    }
    server.Post("/announce", [this](const httplib::Request& req, httplib::Response& res) {
        answer_announcement(req, res);
    });
}

void node::answer_announcement(const httplib::Request& req, httplib::Response& res)
{
    const auto it = parse_announcement(req.body);
    if (failed(it)) {
        res.status = status_of(refusal::bad_request);
        res.set_content(
            fmt::format("{}: allowed is {}\n", error_of(it).field, error_of(it).allowed),
            "text/plain");
        return;
    }
    process_announcement(value_of(it));
    res.set_content("{}\n", "application/json");
}

// On a platform, the node's VM runs one backend server at a configured address. Announcements with
// another address, or with a service that is neither configured nor in the settings, are rejected.
bool node::is_expected(const announcement& it) const
{
    if (settings_.backend_server.port != 0 && it.server.address != settings_.backend_server)
        return false;
    if (!platform_ || it.service_name == settings_.service)
        return true;
    const auto config = entry_->config();
    return config != nullptr && find_service(*config, it.server.service) != nullptr;
}

bool node::process_announcement(const announcement& it)
{
    if (!is_expected(it)) {
        log_event(event::announcement_rejected, "name={} address={} service={}", it.name,
                  to_string(it.server.address), it.service_name);
        return false;
    }
    const announcement_result end = gate_->announce(it, boot_now());
    // An outdated withdrawal counts as failed, any other outdated announcement as accepted.
    if (end == announcement_result::outdated)
        return !it.server.draining;
    local_service_.announced(it);
    if (end == announcement_result::changed)
        publish_servers();
    return true;
}

bool node::withdraw_server(const std::string& name, const withdrawing_run& run)
{
    if (!gate_->withdraw(name, run, boot_now()))
        return false;
    publish_servers();
    return true;
}

void node::save(saved_kind kind)
{
    if (session_ != nullptr)
        session_->save(kind);
}

std::string node::value_to_save(saved_kind kind) const
{
    return kind == saved_kind::victims ? poison_->saved()
                                       : encode_withdrawals(gate_->withdrawals());
}

// Serialised, because an older list, or one from before a stop, must not replace a newer one. The
// announcement of a server that leaves is confirmed only after this, so that the node's next run
// knows.
void node::publish_servers()
{
    {
        const std::lock_guard lock(publish_mutex_);
        members_->announce(
            {.servers = gate_->servers(), .leaving = leaving_, .withdrawn = gate_->withdrawals()});
    }
    save(saved_kind::withdrawals);
}

// Streams can arrive before all components of the node exist; these are reset.
void node::accept_stream(const std::shared_ptr<link_stream>& stream)
{
    if (ready_)
        gate_->accept(stream);
    else
        stream->reset(reset_reason::refused);
}

std::optional<std::string> node::answer_control(const control_request& request)
{
    if (!ready_)
        return std::nullopt;
    if (request.path == members_path)
        return members_->handle_exchange(request.payload);
    if (request.path == config_path)
        return feed_ != nullptr ? feed_->answer(request.payload)
                                : follower_->answer(request.payload);
    if (request.path == probe_path)
        return gate_->answer_probe(request.payload);
    if (request.path == relay_path)
        return relay_->forward(request);
    if (request.path == relayed_path) {
        const auto inner = control_relay::unwrap(request);
        return inner ? answer_control(*inner) : std::nullopt;
    }
    if (request.path == delegation_path && delegations_ != nullptr)
        return delegations_->answer(request);
    if (request.path == limit_path)
        return limits_->answer(request);
    if (request.path == limit_lease_path && leases_ != nullptr)
        return leases_->answer(request);
    if (request.path == poison_path)
        return poison_->receive_victims(request.payload);
    if (request.path == recall_path)
        return encode_recalled(
            {.withdrawn =
                 members_->withdrawals_before(id_of<vm_id>(request.peer.vm_name), request.peer.run)
                     .entries(),
             .victims = poison_->victims()});
    if (request.path == idempotency_path)
        return idempotency_->handle_message(request.payload);
    if (request.path == service_health_path)
        return health_->answer_query(request.payload);
    return std::nullopt;
}

void node::report_absent_regions()
{
    for (const std::string& it : region_watch_->new_absentees(boot_now()))
        log_event(event::region_absent, "region={} generation={}", it,
                  entry_->config()->generation);
}

void node::run_ticks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        if (gate_->tick(boot_now()))
            publish_servers();
        idempotency_->tick(boot_now());
        for (const unanswered_ping& it : members_->unanswered_pings())
            reach_->suspect(it.vm, it.sent);
        reach_->tick(boot_now());
        if (feed_ != nullptr)
            feed_->tick();
        report_absent_regions();
        lock.lock();
        wake_.wait_for(lock, tick_interval);
    }
}

node_ports node::ports() const
{
    return {
        .callers = callers_->address(), .links = links_->local(), .control = control_->address()};
}

// Announces the stop to the other nodes first, so that they send their requests elsewhere, and asks
// callers to close their connections. Requests accepted before `accept_end` may complete during the
// rest of the grace period (`accept_end` is `closing_grace` after the start of the stop, at most
// half of the grace period); those still open at the answer deadline are answered with their state.
// All components that take part in requests keep running until no request is open.
void node::stop()
{
    if (links_ == nullptr || leaving_.exchange(true))
        return;
    const time_point now = boot_now();
    const stop_schedule plan = plan_stop(now, stop_grace_.load(), settings_.closing_grace);
    if (entry_ != nullptr)
        entry_->begin_stop(plan);
    if (members_ != nullptr)
        publish_servers();
    if (leases_ != nullptr)
        leases_->release();
    if (callers_ != nullptr)
        callers_->start_draining();
    std::this_thread::sleep_for(plan.accept_end - now);
    gate_->close();
    if (callers_ != nullptr)
        callers_->close_idle();
    links_->drain();
    const bool is_answered = callers_ == nullptr || callers_->wait_until_closed(plan.disconnect);
    if (callers_ != nullptr)
        callers_->abort_connections();
    const bool is_idle = links_->wait_idle(plan.disconnect);
    log_event(event::node_drained, "callers_answered={} links_idle={} ms={:.0f} ms_left={:.0f}",
              is_answered, is_idle, as_milliseconds(boot_now() - now),
              as_milliseconds(plan.end - boot_now()));
    stop_services(plan);
}

// The links are stopped before the threads that wait for them are joined.
void node::stop_services(const stop_schedule& plan)
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (ticks_.joinable())
        ticks_.join();
    if (delegations_ != nullptr)
        delegations_->stop();
    if (leases_ != nullptr)
        leases_->stop(std::min(boot_now() + lease_release_timeout, plan.end));
    limits_->stop();
    if (members_ != nullptr)
        members_->stop();
    health_->stop();
    links_->stop();
    if (callers_ != nullptr)
        callers_->join();
    gate_->stop();
    follower_.reset();
    close_control_servers(plan.end);
    if (session_ != nullptr)
        session_->leave();
}

// Status clients use persistent connections, so idle connections are closed first.
void node::close_control_servers(time_point deadline)
{
    const std::array servers{control_.get(), metrics_server_.get(), ready_server_.get()};
    for (socket_server* it : servers) {
        if (it != nullptr)
            it->close_idle();
    }
    for (socket_server* it : servers) {
        if (it == nullptr)
            continue;
        it->wait_until_closed(deadline);
        it->abort_connections();
        it->join();
    }
}

} // namespace jasminebank
