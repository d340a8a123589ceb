#include "node.h"

#include "log.h"
#include "member_codec.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(200);
constexpr duration exchange_timeout = std::chrono::seconds(1);
constexpr std::size_t control_connections = 128;
constexpr duration caller_idle_timeout = std::chrono::minutes(1);
constexpr duration caller_io_timeout = std::chrono::seconds(30);
constexpr duration closing_grace = std::chrono::seconds(1);
constexpr std::string_view members_path = "/control/members";

// What a caller over the bound on connections gets, at once.
static std::string over_bound_answer()
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\n{}: {}\r\nRetry-After: 1\r\n"
                       "Connection: close\r\nContent-Length: 0\r\n\r\n",
                       outcome_header, outcome_text({.reason = refusal::overloaded}));
}

node::node(node_settings settings, incarnation run) : settings_(std::move(settings)), run_(run) {}

std::unique_ptr<node> node::start(const node_settings& settings, incarnation run)
{
    std::unique_ptr<node> out(new node(settings, run));
    if (!out->open_doors())
        return nullptr;
    out->follow_config();
    out->ticks_ = std::thread([it = out.get()] { it->run_ticks(); });
    return out;
}

node::~node()
{
    stop();
}

bool node::open_doors()
{
    gate_ = std::make_unique<gate>(gate_options{.run = run_,
                                                .announcement_ttl = settings_.announcement_ttl,
                                                .backend_idle = settings_.backend_idle,
                                                .waiting_requests = settings_.waiting_requests});
    links_ = link_hub::start(
        {.listen = settings_.links,
         .self = {.vm_name = settings_.vm_name, .run = run_},
         .fleet_key = settings_.fleet_key,
         .on_stream = [this](std::shared_ptr<link_stream> it) { gate_->accept(it); },
         .on_control = [this](const control_request& it) { return answer_control(it); }});
    if (links_ == nullptr) {
        log_event(event::settings_rejected, "links: cannot listen on {}",
                  to_string(settings_.links));
        return false;
    }
    self_ = {.vm = id_of<vm_id>(settings_.vm_name),
             .name = settings_.vm_name,
             .run = run_,
             .version = 1,
             .link = links_->local(),
             .domain = id_of<failure_domain_id>(settings_.failure_domain),
             .servers = {}};
    directory_.merge(self_);
    entry_ =
        std::make_unique<entry>(entry_options{.buffered_body_bytes = settings_.buffered_body_bytes},
                                *links_, router_options{.self = self_.vm, .domain = self_.domain});
    callers_ = std::make_unique<socket_server>(
        socket_server_options{.listen = settings_.callers,
                              .connections = settings_.connections,
                              .idle_timeout = caller_idle_timeout,
                              .io_timeout = caller_io_timeout,
                              .refusal = over_bound_answer(),
                              .prepare = [](httplib::Request& req) { req.path.assign(1, '/'); }});
    control_ = std::make_unique<socket_server>(
        socket_server_options{.listen = settings_.control, .connections = control_connections});
    add_caller_routes();
    add_control_routes();
    for (socket_server* it : {callers_.get(), control_.get()}) {
        if (!it->start()) {
            log_event(event::settings_rejected, "cannot listen on {} or {}",
                      to_string(settings_.callers), to_string(settings_.control));
            return false;
        }
    }
    return true;
}

void node::follow_config()
{
    if (settings_.store.empty())
        return;
    follower_ = std::make_unique<config_follower>(config_follower_options{
        .store = settings_.store,
        .on_generation = [this](const std::shared_ptr<const config_generation>& it) {
            entry_->set_config(it->config);
        }});
}

// Every path is served by the same handler; the library's own routing is not used.
void node::add_caller_routes()
{
    const auto plain = [this](const httplib::Request& req, httplib::Response& res) {
        entry_->handle(req, res, nullptr);
    };
    const auto with_body = [this](const httplib::Request& req, httplib::Response& res,
                                  const httplib::ContentReader& reader) {
        entry_->handle(req, res, &reader);
    };
    callers_->Get("/", plain);
    callers_->Options("/", plain);
    callers_->Post("/", with_body);
    callers_->Put("/", with_body);
    callers_->Patch("/", with_body);
    callers_->Delete("/", with_body);
}

void node::add_control_routes()
{
    control_->set_payload_max_length(64UL * 1024);
    control_->Get("/status",
                  [this](const httplib::Request&, httplib::Response& res) { answer_status(res); });
    control_->Post("/announce", [this](const httplib::Request& req, httplib::Response& res) {
        answer_announcement(req, res);
    });
}

void node::answer_status(httplib::Response& res)
{
    const auto config = entry_->config();
    nlohmann::json members = nlohmann::json::array();
    const std::lock_guard lock(mutex_);
    for (const member_record& it : directory_.members()) {
        members.push_back({{"vm", it.name},
                           {"run", it.run.value},
                           {"link", to_string(it.link)},
                           {"leaving", it.leaving},
                           {"backend_servers", it.servers.size()}});
    }
    const nlohmann::json out{{"vm", settings_.vm_name},
                             {"failure_domain", settings_.failure_domain},
                             {"generation", config == nullptr ? 0 : config->generation},
                             {"members", std::move(members)}};
    res.set_content(out.dump(), "application/json");
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
    if (gate_->announce(value_of(it), boot_now()))
        publish_servers();
    res.set_content("{}\n", "application/json");
}

// The own record changes only here; the new version makes it win over what peers still tell.
void node::publish_servers()
{
    const std::lock_guard lock(mutex_);
    self_.servers = gate_->servers();
    self_.leaving = stopping_;
    ++self_.version;
    directory_.merge(self_);
    entry_->set_directory(directory_);
    wake_.notify_all();
}

void node::merge_members(std::string_view payload)
{
    const auto members = decode_members(payload);
    if (!members)
        return;
    const std::lock_guard lock(mutex_);
    bool changed = false;
    for (const member_record& it : *members) {
        if (it.vm != self_.vm)
            changed |= directory_.merge(it);
    }
    if (changed)
        entry_->set_directory(directory_);
}

std::optional<std::string> node::answer_control(const control_request& request)
{
    if (request.path != members_path)
        return std::nullopt;
    merge_members(request.payload);
    const std::lock_guard lock(mutex_);
    return encode_members(directory_.members());
}

void node::exchange_members()
{
    std::vector<endpoint> peers = settings_.peers;
    std::string payload;
    {
        const std::lock_guard lock(mutex_);
        payload = encode_members(directory_.members());
        for (const member_record& it : directory_.members()) {
            if (it.vm != self_.vm)
                peers.push_back(it.link);
        }
    }
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    for (const endpoint& it : peers) {
        const bool sent = links_->call(it, std::string(members_path), payload, exchange_timeout,
                                       [this](const result<std::string, link_error>& answer) {
                                           if (!failed(answer))
                                               merge_members(value_of(answer));
                                       });
        if (!sent)
            return;
    }
}

void node::run_ticks()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        if (gate_->expire(boot_now()))
            publish_servers();
        exchange_members();
        lock.lock();
        wake_.wait_for(lock, tick_interval);
    }
}

node_ports node::ports() const
{
    return {
        .callers = callers_->address(), .links = links_->local(), .control = control_->address()};
}

// Peers hear first, so that no new work comes; then callers' connections end, then what other nodes
// still run here, then the links.
void node::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || links_ == nullptr)
            return;
        stopping_ = true;
    }
    wake_.notify_all();
    if (ticks_.joinable())
        ticks_.join();
    follower_.reset();
    publish_servers();
    exchange_members();
    if (callers_ != nullptr)
        callers_->stop_gently(closing_grace);
    links_->drain();
    links_->wait_idle(boot_now() + settings_.stop_grace);
    gate_->stop();
    links_->stop();
    if (control_ != nullptr)
        control_->stop_gently();
}

} // namespace jasminebank
