#include "control_relay.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace jasminebank {

using json = nlohmann::json;

// Of a message through a third node: two more ways between failure domains at the most.
constexpr duration pass_on_timeout = std::chrono::milliseconds(300);

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
            members_.emplace(it.vm, it.link);
    }
}

void control_relay::set_reachable(vm_id vm, bool reachable)
{
    const std::lock_guard lock(mutex_);
    if (reachable)
        unreachable_.erase(vm);
    else
        unreachable_.insert(vm);
}

// The node itself, or any other that this one reaches: another try draws another.
std::optional<endpoint> control_relay::way_to(vm_id to, bool& is_direct)
{
    const std::lock_guard lock(mutex_);
    const auto member = members_.find(to);
    if (member == members_.end())
        return std::nullopt;
    is_direct = !unreachable_.contains(to);
    if (is_direct)
        return member->second;
    std::vector<const endpoint*> relays;
    for (const auto& [vm, link] : members_) {
        if (vm != to && !unreachable_.contains(vm))
            relays.push_back(&link);
    }
    if (relays.empty())
        return std::nullopt;
    return *relays[random_() % relays.size()];
}

bool control_relay::call(vm_id to, std::string path, std::string payload, duration timeout,
                         control_callback done)
{
    bool is_direct = true;
    const auto way = way_to(to, is_direct);
    if (!way)
        return false;
    if (is_direct)
        return links_.call(*way, std::move(path), std::move(payload), timeout, std::move(done));
    const std::vector<std::uint8_t> bytes = json::to_cbor(json::array(
        {to.value, self_.vm_name, self_.run.value, path,
         json::binary(std::vector<std::uint8_t>(payload.begin(), payload.end()))}));
    return links_.call(*way, std::string(relay_path), std::string(bytes.begin(), bytes.end()),
                       timeout, std::move(done));
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
        const auto member = members_.find(to);
        if (member == members_.end())
            return std::nullopt;
        link = member->second;
    }
    const auto reply = request.defer();
    const bool sent =
        links_.call(link, std::string(relayed_path), request.payload, pass_on_timeout,
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
