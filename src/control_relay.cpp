#include "control_relay.h"

#include "foreign_document.h"
#include "log.h"
#include "system_clock.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace jasminebank {

using json = nlohmann::json;

// For the relay's call to the destination, which is at most one round trip between failure domains.
constexpr duration forward_timeout = std::chrono::milliseconds(300);
// Long enough for a probe to find out whether the node is directly reachable.
constexpr duration suspicion_period = std::chrono::seconds(1);
// A timeout this soon after a change of route belongs to a message sent on the previous route, so
// it says nothing about the new one.
constexpr duration stale_timeout_window = std::chrono::milliseconds(100);

control_relay::control_relay(link_identity self, link_hub& links)
    : self_(std::move(self)), links_(links)
{
}

void control_relay::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_.clear();
    for (const member_record& it : directory.members()) {
        if (it.name != self_.vm_name)
            members_.emplace(it.vm, member{.link = it.link, .domain = it.domain});
        else
            domain_ = it.domain;
    }
    std::erase_if(suspected_until_,
                  [this](const auto& it) { return !members_.contains(it.first); });
}

void control_relay::set_reachable(vm_id vm, bool reachable)
{
    const std::lock_guard lock(mutex_);
    if (reachable)
        unreachable_.erase(vm);
    else
        unreachable_.insert(vm);
}

// If messages to the node are being relayed already, the relay in use is replaced as well.
void control_relay::suspect(vm_id vm)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    const auto known = suspected_until_.find(vm);
    const bool is_stale_timeout = known != suspected_until_.end() &&
                                  now < known->second - suspicion_period + stale_timeout_window;
    if (is_stale_timeout)
        return;
    if (!is_direct(vm, now))
        relays_.erase(vm);
    suspected_until_[vm] = now + suspicion_period;
}

bool control_relay::is_direct(vm_id to, time_point now) const
{
    const auto found = suspected_until_.find(to);
    return !unreachable_.contains(to) && (found == suspected_until_.end() || found->second <= now);
}

// The destination itself if it is directly reachable, else the relay used last, else a random one.
// Relays in the own failure domain are preferred, since they add no further hop between domains.
// Without any relay the direct link is used nevertheless.
std::optional<control_relay::next_hop> control_relay::next_hop_to(vm_id to)
{
    const std::lock_guard lock(mutex_);
    const auto direct = members_.find(to);
    if (direct == members_.end())
        return std::nullopt;
    const time_point now = boot_now();
    if (is_direct(to, now))
        return next_hop{.via = to, .link = direct->second.link};
    const auto known = relays_.find(to);
    if (known != relays_.end() && members_.contains(known->second) && is_direct(known->second, now))
        return next_hop{.via = known->second, .link = members_.at(known->second).link};
    std::vector<next_hop> own_domain;
    std::vector<next_hop> all;
    for (const auto& [vm, it] : members_) {
        if (vm == to || !is_direct(vm, now))
            continue;
        all.push_back({.via = vm, .link = it.link});
        if (it.domain == domain_)
            own_domain.push_back(all.back());
    }
    const auto& relay_candidates = own_domain.empty() ? all : own_domain;
    if (relay_candidates.empty())
        return next_hop{.via = to, .link = direct->second.link};
    const next_hop& out = relay_candidates[random_() % relay_candidates.size()];
    relays_[to] = out.via;
    log_event(event::relay_taken, "to={:016x} by={:016x}", to.value, out.via.value);
    return out;
}

void control_relay::forget_relay(vm_id to, vm_id via)
{
    const std::lock_guard lock(mutex_);
    const auto known = relays_.find(to);
    if (known == relays_.end() || known->second != via)
        return;
    relays_.erase(known);
    log_event(event::relay_dropped, "to={:016x} by={:016x}", to.value, via.value);
}

bool control_relay::call(vm_id to, std::string path, std::string payload, duration timeout,
                         control_callback done)
{
    const auto hop = next_hop_to(to);
    if (!hop)
        return false;
    if (hop->via == to)
        return links_.call(hop->link, std::move(path), std::move(payload), timeout,
                           std::move(done));
    const std::vector<std::uint8_t> bytes = json::to_cbor(
        json::array({to.value, self_.vm_name, self_.run.value, path,
                     json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end()))}));
    return links_.call(hop->link, std::string(relay_path), std::string(bytes.begin(), bytes.end()),
                       timeout,
                       [this, to, via = hop->via,
                        done = std::move(done)](const result<std::string, link_error>& it) {
                           if (failed(it))
                               forget_relay(to, via);
                           done(it);
                       });
}

static std::optional<control_request> decode(std::string_view text, vm_id& to)
{
    const json in = parse_cbor(text);
    try {
        control_request out;
        to = vm_id{unsigned_from<std::uint64_t>(in.at(0))};
        out.peer = {.vm_name = in.at(1).get<std::string>(),
                    .run = incarnation{unsigned_from<std::uint64_t>(in.at(2))}};
        out.path = in.at(3).get<std::string>();
        const auto& payload = in.at(4).get_binary();
        out.payload.assign(payload.begin(), payload.end());
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

// Rejects a message whose inner sender is not the peer that sent it, so that no node can have a
// message forwarded with the identity of another.
std::optional<std::string> control_relay::forward(const control_request& request)
{
    vm_id to;
    const auto inner = decode(request.payload, to);
    if (!inner || inner->peer != request.peer)
        return std::nullopt;
    endpoint link;
    {
        const std::lock_guard lock(mutex_);
        const auto found = members_.find(to);
        if (found == members_.end())
            return std::nullopt;
        link = found->second.link;
    }
    const auto reply = request.defer();
    const bool sent = links_.call(link, std::string(relayed_path), request.payload, forward_timeout,
                                  [reply](const result<std::string, link_error>& answer) {
                                      if (!failed(answer))
                                          static_cast<void>(reply->answer(value_of(answer)));
                                  });
    static_cast<void>(sent); // without an answer the sender's call times out
    return std::nullopt;
}

std::optional<control_request> control_relay::unwrap(const control_request& request)
{
    vm_id to;
    auto out = decode(request.payload, to);
    if (!out || out->path == relay_path || out->path == relayed_path)
        return std::nullopt;
    out->defer = request.defer;
    return out;
}

} // namespace jasminebank
