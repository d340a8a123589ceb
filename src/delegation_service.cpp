#include "delegation_service.h"

#include "delegation_codec.h"
#include "log.h"
#include "system_clock.h"

#include <algorithm>
#include <iterator>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration call_timeout = std::chrono::milliseconds(500);

delegation_service::delegation_service(delegation_service_options options, control_relay& relay)
    : options_(std::move(options)), relay_(relay), delegation_(options_.delegation),
      epochs_(options_.delegation.groups), published_holders_(options_.delegation.groups)
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
}

void delegation_service::set_known_node_count(std::size_t count)
{
    const std::lock_guard lock(mutex_);
    delegation_.set_known_node_count(count);
}

void delegation_service::set_reachable(vm_id vm, bool reachable)
{
    const std::lock_guard lock(mutex_);
    delegation_.set_reachable(vm, reachable);
}

std::string delegation_service::answer(const control_request& request)
{
    const auto it = decode_delegation(request.payload);
    if (!it)
        return {};
    const std::lock_guard lock(mutex_);
    return encode_delegation_stamp(
        delegation_.receive(id_of<vm_id>(request.peer.vm_name), *it, boot_now()));
}

void delegation_service::send(const outgoing_delegation& it)
{
    const bool sent = relay_.call(
        it.to, std::string(delegation_path), encode_delegation(it.body), call_timeout,
        [this, to = it.to, group = it.body.group](const result<std::string, link_error>& reply) {
            const auto stamp =
                failed(reply) ? std::nullopt : decode_delegation_stamp(value_of(reply));
            if (!stamp) {
                options_.on_no_response(to);
                return;
            }
            const std::lock_guard lock(mutex_);
            if (!delegation_.stamp_received(to, group, *stamp, boot_now()))
                return;
            is_due_ = true;
            wake_.notify_all();
        });
    static_cast<void>(sent); // delegated again at the next renewal
}

// A group contains the shards whose number modulo the number of groups is the group's. A new epoch
// makes the limits start with empty buckets.
void delegation_service::publish_terms(time_point now)
{
    for (std::uint32_t group = 0; group < options_.delegation.groups; ++group) {
        std::optional<lease_terms> terms;
        {
            const std::lock_guard lock(mutex_);
            terms = delegation_.terms(group, now);
        }
        std::uint64_t& epoch = epochs_[group];
        const bool was_held = epoch != 0;
        if (!terms && !was_held)
            continue;
        if (!terms)
            epoch = 0;
        else if (!was_held)
            epoch = ++highest_epoch_;
        for (std::uint32_t shard = group; shard < limit_shards; shard += options_.delegation.groups)
            options_.on_terms(
                {.shard = shard, .epoch = epoch, .terms = terms.value_or(lease_terms{})});
        if (was_held != terms.has_value())
            log_event(terms ? event::mandate_taken : event::mandate_ended, "group={} epoch={}",
                      group, epoch);
    }
}

void delegation_service::publish_holders(time_point now)
{
    for (std::uint32_t group = 0; group < options_.delegation.groups; ++group) {
        std::vector<vm_id> holders;
        {
            const std::lock_guard lock(mutex_);
            holders = delegation_.lenders(group);
            holders.insert(holders.begin(),
                           delegation_.usable_holder(group, now).value_or(vm_id{}));
        }
        std::vector<vm_id>& published = published_holders_[group];
        if (holders == published)
            continue;
        if (published.empty() || published.front() != holders.front())
            log_event(event::holder_selected, "group={} vm={:016x}", group, holders.front().value);
        published = holders;
        for (std::uint32_t shard = group; shard < limit_shards; shard += options_.delegation.groups)
            options_.on_holders(shard, holders);
    }
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
        publish_holders(now);
        lock.lock();
        wake_.wait_for(lock, tick_interval, [this] { return stopping_ || is_due_; });
        is_due_ = false;
    }
}

} // namespace jasminebank
