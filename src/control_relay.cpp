#include "control_relay.h"

#include "log.h"
#include "system_clock.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace jasminebank {

using json = nlohmann::json;

// Of a message through a third node: two more ways between failure domains at the most.
constexpr duration pass_on_timeout = std::chrono::milliseconds(300);
// By then a probe has found out whether the direct way works.
constexpr duration suspicion_lasts = std::chrono::seconds(1);
// What was sent before a way was left is no evidence against the next one.
constexpr duration least_trial_of_a_way = std::chrono::milliseconds(100);

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
    std::erase_if(suspected_, [this](const auto& it) { return !members_.contains(it.first); });
}

void control_relay::set_reachable(vm_id vm, bool reachable)
{
    const std::lock_guard lock(mutex_);
    if (reachable)
        unreachable_.erase(vm);
    else
        unreachable_.insert(vm);
}

// A way that is in use and brings no answers is left as well.
void control_relay::suspect(vm_id vm)
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    const auto known = suspected_.find(vm);
    const bool is_new_way =
        known != suspected_.end() && now < known->second - suspicion_lasts + least_trial_of_a_way;
    if (is_new_way)
        return;
    if (!is_direct(vm, now))
        ways_.erase(vm);
    suspected_[vm] = now + suspicion_lasts;
}

bool control_relay::is_direct(vm_id to, time_point now) const
{
    const auto found = suspected_.find(to);
    return !unreachable_.contains(to) && (found == suspected_.end() || found->second <= now);
}

// The node itself, or else the third node that worked last. A new one is taken from the own failure
// domain if possible, as it costs no further way between domains.
std::optional<control_relay::way> control_relay::way_to(vm_id to)
{
    const std::lock_guard lock(mutex_);
    const auto direct = members_.find(to);
    if (direct == members_.end())
        return std::nullopt;
    const time_point now = boot_now();
    if (is_direct(to, now))
        return way{.by = to, .link = direct->second.link};
    const auto known = ways_.find(to);
    if (known != ways_.end() && members_.contains(known->second) && is_direct(known->second, now))
        return way{.by = known->second, .link = members_.at(known->second).link};
    std::vector<way> near;
    std::vector<way> all;
    for (const auto& [vm, it] : members_) {
        if (vm == to || !is_direct(vm, now))
            continue;
        all.push_back({.by = vm, .link = it.link});
        if (it.domain == domain_)
            near.push_back(all.back());
    }
    const auto& from = near.empty() ? all : near;
    if (from.empty())
        return way{.by = to, .link = direct->second.link};
    const way& out = from[random_() % from.size()];
    ways_[to] = out.by;
    log_event(event::relay_taken, "to={:016x} by={:016x}", to.value, out.by.value);
    return out;
}

void control_relay::drop_way(vm_id to, vm_id by)
{
    const std::lock_guard lock(mutex_);
    const auto known = ways_.find(to);
    if (known == ways_.end() || known->second != by)
        return;
    ways_.erase(known);
    log_event(event::relay_dropped, "to={:016x} by={:016x}", to.value, by.value);
}

bool control_relay::call(vm_id to, std::string path, std::string payload, duration timeout,
                         control_callback done)
{
    const auto taken = way_to(to);
    if (!taken)
        return false;
    if (taken->by == to)
        return links_.call(taken->link, std::move(path), std::move(payload), timeout,
                           std::move(done));
    const std::vector<std::uint8_t> bytes = json::to_cbor(
        json::array({to.value, self_.vm_name, self_.run.value, path,
                     json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end()))}));
    return links_.call(taken->link, std::string(relay_path),
                       std::string(bytes.begin(), bytes.end()), timeout,
                       [this, to, by = taken->by,
                        done = std::move(done)](const result<std::string, link_error>& it) {
                           if (failed(it))
                               drop_way(to, by);
                           done(it);
                       });
}

static std::optional<control_request> decode(std::string_view text, vm_id& to)
{
    const json in = json::from_cbor(text.begin(), text.end(), true, false);
    try {
        control_request out;
        to = vm_id{in.at(0).get<std::uint64_t>()};
        out.peer = {.vm_name = in.at(1).get<std::string>(),
                    .run = incarnation{in.at(2).get<std::uint64_t>()}};
        out.path = in.at(3).get<std::string>();
        const auto& payload = in.at(4).get_binary();
        out.payload.assign(payload.begin(), payload.end());
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

// Only the sender itself may have a message passed on in its name.
std::optional<std::string> control_relay::pass_on(const control_request& request)
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
    const bool sent = links_.call(link, std::string(relayed_path), request.payload, pass_on_timeout,
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
