#include "limit_lease_service.h"

#include "limit_lease_codec.h"
#include "log.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr duration stop_notice_timeout = std::chrono::seconds(1);
// Nodes of a lower rank (a greater number) neither read nor write the record.
constexpr std::uint32_t max_candidate_rank = 2;
// While no member announces that it holds a shard, candidates read its record at this interval
// multiplied by their rank plus one.
constexpr duration read_interval = std::chrono::milliseconds(300);

limit_lease_service::limit_lease_service(limit_lease_service_options options, link_hub& links)
    : options_(std::move(options)), domain_(id_of<failure_domain_id>(options_.failure_domain)),
      links_(links), store_({.endpoints = options_.store})
{
    thread_ = std::thread([this] { run(); });
}

limit_lease_service::~limit_lease_service()
{
    stop(boot_now());
}

void limit_lease_service::stop(time_point deadline)
{
    {
        std::unique_lock lock(mutex_);
        while (is_releasing_ && !all_leases_idle() && boot_now() < deadline)
            wake_.wait_for(lock, tick_interval);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

bool limit_lease_service::all_leases_idle() const
{
    return std::ranges::all_of(
        shards_, [](const shard_state& it) { return !it.lease || it.lease->is_idle(); });
}

// The holders stop granting before the time of the release is taken, so that no token is granted
// after that time.
void limit_lease_service::release()
{
    {
        const std::lock_guard lock(mutex_);
        is_releasing_ = true;
    }
    for (std::uint32_t shard = 0; shard < limit_shards; ++shard)
        publish(shard);
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    for (shard_state& it : shards_) {
        if (it.lease)
            it.lease->release(now);
    }
    wake_.notify_all();
}

// The keys differ between a configuration that lists failure domains and one that does not. When
// that changes, leases held under the old keys are dropped and expire in the store.
void limit_lease_service::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    config_ = std::move(config);
    const bool keys_name_domain = !config_->failure_domains.empty();
    if (keys_name_domain != keys_name_domain_) {
        for (shard_state& it : shards_)
            it.lease.reset();
    }
    keys_name_domain_ = keys_name_domain;
    update_ranks();
}

void limit_lease_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_ = directory.members();
    const time_point now = boot_now();
    std::map<vm_id, incarnation> runs;
    for (const member_record& it : members_) {
        runs.emplace(it.vm, it.run);
        const auto known = runs_.find(it.vm);
        if (known != runs_.end() && known->second == it.run)
            continue;
        for (shard_state& state : shards_) {
            if (state.lease)
                state.lease->observe_run({.vm = it.vm, .run = it.run}, now);
        }
    }
    runs_ = std::move(runs);
    update_ranks();
}

void limit_lease_service::update_ranks()
{
    if (config_ == nullptr)
        return;
    const auto self = std::ranges::find(members_, options_.self.vm, &member_record::vm);
    const auto place = position_of(*config_, domain_);
    for (std::uint32_t shard = 0; shard < limit_shards; ++shard) {
        shard_state& it = shards_[shard];
        it.rank = self == members_.end() || is_releasing_
                      ? std::nullopt
                      : shard_rank(shard, *config_, members_, *self);
        const auto holders = find_holders(shard, *config_, members_);
        it.has_announced_holder =
            place &&
            std::ranges::find(holders, place->index, &shard_holder::domain) != holders.end();
    }
}

void limit_lease_service::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        for (std::uint32_t shard = 0; shard < limit_shards && !stopping_; ++shard) {
            lock.unlock();
            process_shard(shard);
            publish(shard);
            lock.lock();
        }
        if (!stopping_)
            wake_.wait_for(lock, tick_interval);
    }
}

// The known runs of the members are passed in first: they may prove that a holder has stopped.
void limit_lease_service::start_lease(shard_state& it, time_point now)
{
    it.lease.emplace(limit_lease_options{.self = options_.self}, now);
    for (const member_record& member : members_) {
        if (member.domain == domain_)
            it.lease->observe_run({.vm = member.vm, .run = member.run}, now);
    }
}

// Also schedules the next read if it returns true.
bool limit_lease_service::is_read_due(shard_state& it, time_point now) const
{
    if (!it.rank || *it.rank > max_candidate_rank || it.has_announced_holder || is_releasing_ ||
        it.lease->is_holder() || now < it.next_read)
        return false;
    it.next_read = now + read_interval * (*it.rank + 1);
    return true;
}

// Calls to the store are made one after another, so that a slow store delays renewals but they
// never accumulate. A new lease object reads the record before its first tick, so that this tick
// can write.
void limit_lease_service::process_shard(std::uint32_t shard)
{
    lease_actions actions;
    {
        const std::lock_guard lock(mutex_);
        shard_state& it = shards_[shard];
        const time_point now = boot_now();
        const bool is_candidate = it.rank && *it.rank <= max_candidate_rank;
        const bool is_new = !it.lease && is_candidate;
        if (is_new)
            start_lease(it, now);
        if (!it.lease)
            return;
        if (is_new)
            actions.emplace_back(lease_read{});
        else
            it.lease->tick(is_candidate && !is_releasing_ ? it.rank : std::nullopt, now, actions);
        if (actions.empty() && is_read_due(it, now))
            actions.emplace_back(lease_read{});
    }
    for (const lease_action& it : actions)
        perform(shard, it);
}

void limit_lease_service::perform(std::uint32_t shard, const lease_action& action)
{
    if (const auto* write = std::get_if<lease_write>(&action))
        write_record(shard, *write);
    else if (const auto* notice = std::get_if<lease_stop_notice>(&action))
        send_stop_notice(shard, *notice);
    else
        read_record(shard);
}

std::string limit_lease_service::key_of(std::uint32_t shard) const
{
    const std::lock_guard lock(mutex_);
    return fmt::format("{}{}/{}", limit_lease_key_prefix,
                       keys_name_domain_ ? options_.failure_domain : "-", shard);
}

static lease_write_outcome write_outcome_of(const result<store_commit, store_error>& answer)
{
    if (!failed(answer))
        return value_of(answer).succeeded ? lease_write_outcome::written
                                          : lease_write_outcome::conflict;
    return error_of(answer).kind == store_error_kind::outcome_unknown
               ? lease_write_outcome::unknown
               : lease_write_outcome::conflict;
}

void limit_lease_service::write_record(std::uint32_t shard, const lease_write& write)
{
    const std::string key = key_of(shard);
    const auto answer = store_.commit(
        {.compares = {unchanged_since(key, static_cast<store_revision>(write.expected))},
         .puts = {{.key = key, .value = encode_lease_record(write.record), .lease = {}}},
         .deletes = {}});
    const auto version = failed(answer) ? 0 : static_cast<std::uint64_t>(value_of(answer).revision);
    const std::lock_guard lock(mutex_);
    if (shards_[shard].lease)
        shards_[shard].lease->write_completed(write.record.renewal, write_outcome_of(answer),
                                              version, boot_now());
}

// A record that cannot be decoded is not overwritten: no node acquires the shard until an operator
// has repaired or removed the record.
void limit_lease_service::read_record(std::uint32_t shard)
{
    const std::string key = key_of(shard);
    const auto answer = store_.range(store_key_range{.key = key, .range_end = {}});
    if (failed(answer))
        return;
    lease_record record;
    std::uint64_t version = 0;
    if (!value_of(answer).entries.empty()) {
        const store_entry& entry = value_of(answer).entries.front();
        const auto read = decode_lease_record(entry.value);
        if (!read) {
            log_event(event::mandate_unreadable, "{}", key);
            return;
        }
        record = *read;
        version = static_cast<std::uint64_t>(entry.mod_revision);
    }
    const std::lock_guard lock(mutex_);
    if (shards_[shard].lease)
        shards_[shard].lease->observe(record, version, boot_now());
}

void limit_lease_service::send_stop_notice(std::uint32_t shard, const lease_stop_notice& it)
{
    endpoint link;
    {
        const std::lock_guard lock(mutex_);
        const auto member = std::ranges::find(members_, it.to, &member_record::vm);
        if (member == members_.end())
            return;
        link = member->link;
    }
    const bool sent = links_.call(
        link, std::string(limit_lease_path), encode_stop_notice({.shard = shard, .past = it.past}),
        stop_notice_timeout, [](const result<std::string, link_error>&) {});
    static_cast<void>(sent); // limit_lease repeats the notice
}

std::string limit_lease_service::answer(const control_request& request)
{
    const auto it = decode_stop_notice(request.payload);
    const limit_peer sender{.vm = id_of<vm_id>(request.peer.vm_name), .run = request.peer.run};
    if (!it || it->shard >= limit_shards || it->past.holder != sender)
        return {};
    const std::lock_guard lock(mutex_);
    if (shards_[it->shard].lease)
        shards_[it->shard].lease->holder_stopped(it->past);
    return {};
}

// Publishes the terms if they differ from those published last, and the held shards if the epoch
// changed.
void limit_lease_service::publish(std::uint32_t shard)
{
    const std::lock_guard order(publish_mutex_);
    shard_terms current{.shard = shard};
    bool is_same_epoch = false;
    std::vector<held_shard> held;
    {
        const std::lock_guard lock(mutex_);
        shard_state& it = shards_[shard];
        const bool holds = it.lease && it.lease->is_holder() && !is_releasing_;
        if (holds) {
            current.epoch = it.lease->epoch();
            current.terms = it.lease->terms();
        }
        if (current == it.published)
            return;
        is_same_epoch = it.published.epoch == current.epoch;
        if (!is_same_epoch && !holds)
            log_event(is_releasing_ ? event::mandate_released : event::mandate_ended,
                      "shard {}, epoch {}", shard, it.published.epoch);
        else if (!is_same_epoch)
            log_event(event::mandate_taken, "shard {}, epoch {}", shard, current.epoch);
        it.published = current;
        for (std::uint32_t n = 0; n < limit_shards; ++n) {
            if (shards_[n].published.epoch != 0)
                held.push_back({.shard = n, .epoch = shards_[n].published.epoch});
        }
    }
    options_.on_terms(current);
    if (!is_same_epoch)
        options_.on_held(std::move(held));
}

} // namespace jasminebank
