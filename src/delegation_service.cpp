#include "delegation_service.h"

#include "log.h"
#include "system_clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jasminebank {

using json = nlohmann::json;

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration call_timeout = std::chrono::milliseconds(500);

static std::string encode(const delegation& it)
{
    json out = json::array({it.group, it.share});
    if (it.stamp) {
        out.push_back(it.stamp->run.value);
        out.push_back(it.stamp->issued_ns);
    }
    return out.dump();
}

static std::string encode(const delegation_stamp& it)
{
    return json::array({it.run.value, it.issued_ns}).dump();
}

static std::optional<delegation_stamp> stamp_at(const json& in, std::size_t at)
{
    if (!in.is_array() || in.size() < at + 2 || !in[at].is_number_unsigned() ||
        !in[at + 1].is_number_integer())
        return std::nullopt;
    return delegation_stamp{.run = incarnation{in[at].get<std::uint64_t>()},
                            .issued_ns = in[at + 1].get<std::int64_t>()};
}

static std::optional<delegation> decode_delegation(std::string_view text)
{
    const json in = json::parse(text, nullptr, false);
    if (!in.is_array() || in.size() < 2 || !in[0].is_number_unsigned() ||
        !in[1].is_number_unsigned())
        return std::nullopt;
    return delegation{.group = in[0].get<std::uint32_t>(),
                      .share = in[1].get<std::uint32_t>(),
                      .stamp = stamp_at(in, 2)};
}

delegation_service::delegation_service(delegation_service_options options, control_relay& relay)
    : options_(std::move(options)), relay_(relay), delegation_(options_.delegation),
      epochs_(options_.delegation.groups)
{
}

void delegation_service::start()
{
    thread_ = std::thread([this] { run(); });
}

delegation_service::~delegation_service()
{
    stop();
}

void delegation_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void delegation_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    delegation_.set_members(directory.members(), boot_now());
    for (const member_record& it : directory.members()) {
        for (const held_shard& held : it.shards)
            highest_epoch_ = std::max(highest_epoch_, held.epoch);
    }
}

void delegation_service::set_known_node_count(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    delegation_.set_known_node_count(count);
}

std::string delegation_service::answer(const control_request& request)
{
    const auto it = decode_delegation(request.payload);
    if (!it)
        return {};
    const std::lock_guard lock(mutex_);
    return encode(delegation_.receive(id_of<vm_id>(request.peer.vm_name), *it, boot_now()));
}

void delegation_service::send(const outgoing_delegation& it)
{
    const bool sent = relay_.call(
        it.to, std::string(delegation_path), encode(it.body), call_timeout,
        [this, to = it.to, group = it.body.group](const result<std::string, link_error>& reply) {
            const auto stamp = failed(reply)
                                   ? std::nullopt
                                   : stamp_at(json::parse(value_of(reply), nullptr, false), 0);
            if (!stamp) {
                options_.on_no_response(to);
                return;
            }
            const std::lock_guard lock(mutex_);
            delegation_.stamp_received(to, group, *stamp, boot_now());
        });
    static_cast<void>(sent); // delegated again at the next renewal
}

// A group contains the shards whose number modulo the number of groups is the group's. The epoch
// distinguishes a later holder from an earlier one that still announces itself.
void delegation_service::publish_terms(time_point now)
{
    bool changed = false;
    std::vector<held_shard> held;
    for (std::uint32_t group = 0; group < options_.delegation.groups; ++group) {
        std::optional<lease_terms> terms;
        bool ended = false;
        {
            const std::lock_guard lock(mutex_);
            terms = delegation_.terms(group, now);
            ended = !terms && epochs_[group] != 0;
            changed |= ended || (terms && epochs_[group] == 0);
            if (terms && epochs_[group] == 0)
                epochs_[group] = ++highest_epoch_;
            if (ended)
                epochs_[group] = 0;
        }
        if (!terms && !ended)
            continue;
        for (std::uint32_t shard = group; shard < limit_shards;
             shard += options_.delegation.groups) {
            options_.on_terms(
                {.shard = shard, .epoch = epochs_[group], .terms = terms.value_or(lease_terms{})});
            if (epochs_[group] != 0)
                held.push_back({.shard = shard, .epoch = epochs_[group]});
        }
    }
    if (!changed)
        return;
    log_event(held.empty() ? event::mandate_ended : event::mandate_taken, "shards={} epoch={}",
              held.size(), held.empty() ? 0 : held.front().epoch);
    options_.on_held(std::move(held));
}

void delegation_service::log_unresponsive(std::vector<vm_id> unresponsive)
{
    std::vector<vm_id> changed;
    std::ranges::set_symmetric_difference(unresponsive, logged_unresponsive_,
                                          std::back_inserter(changed));
    for (const vm_id it : changed)
        log_event(std::ranges::binary_search(unresponsive, it) ? event::holder_silent
                                                               : event::holder_answers,
                  "vm={:016x}", it.value);
    logged_unresponsive_ = std::move(unresponsive);
}

void delegation_service::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const time_point now = boot_now();
        const auto outgoing = delegation_.tick(now);
        log_unresponsive(delegation_.unresponsive_nodes());
        lock.unlock();
        for (const outgoing_delegation& it : outgoing)
            send(it);
        publish_terms(now);
        lock.lock();
        wake_.wait_for(lock, tick_interval, [this] { return stopping_; });
    }
}

} // namespace jasminebank
