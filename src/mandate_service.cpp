#include "mandate_service.h"

#include "log.h"
#include "mandate_codec.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>

namespace jasminebank {

constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr duration tell_timeout = std::chrono::seconds(1);
// Nodes of a lower rank know nothing of the record.
constexpr std::uint32_t lowest_rank = 2;
// While nobody says that it holds a shard, its record is read this often, times the rank plus one.
constexpr duration read_interval = std::chrono::milliseconds(300);

mandate_service::mandate_service(mandate_options options, link_hub& links)
    : options_(std::move(options)), domain_(id_of<failure_domain_id>(options_.failure_domain)),
      links_(links), store_({.endpoints = options_.store})
{
    thread_ = std::thread([this] { run(); });
}

mandate_service::~mandate_service()
{
    stop(boot_now());
}

void mandate_service::stop(time_point deadline)
{
    {
        std::unique_lock lock(mutex_);
        while (is_releasing_ && !is_released() && boot_now() < deadline)
            wake_.wait_for(lock, tick_interval);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

bool mandate_service::is_released() const
{
    return std::ranges::all_of(
        shards_, [](const shard_state& it) { return !it.mandate || it.mandate->is_gone(); });
}

// The holders stop before the release is dated, so that nothing is granted after it.
void mandate_service::release()
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
        if (it.mandate)
            it.mandate->release(now);
    }
    wake_.notify_all();
}

// Mandates under the name of one domain and of all nodes together have other keys: those held under
// the old key are dropped, and it ends by time.
void mandate_service::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    config_ = std::move(config);
    const bool is_listed = !config_->failure_domains.empty();
    if (is_listed != is_listed_) {
        for (shard_state& it : shards_)
            it.mandate.reset();
    }
    is_listed_ = is_listed;
    update_ranks();
}

void mandate_service::set_directory(const member_directory& directory)
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
            if (state.mandate)
                state.mandate->seen({.vm = it.vm, .run = it.run}, now);
        }
    }
    runs_ = std::move(runs);
    update_ranks();
}

void mandate_service::update_ranks()
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
        it.is_announced = place && std::ranges::find(holders, place->index,
                                                     &shard_holder::domain) != holders.end();
    }
}

void mandate_service::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        for (std::uint32_t shard = 0; shard < limit_shards && !stopping_; ++shard) {
            lock.unlock();
            step(shard);
            publish(shard);
            lock.lock();
        }
        if (!stopping_)
            wake_.wait_for(lock, tick_interval);
    }
}

// What this node knows of the runs of others comes first: it may prove that a holder has stopped.
void mandate_service::start_mandate(shard_state& it, time_point now)
{
    it.mandate.emplace(limit_mandate_options{.self = options_.self}, now);
    for (const member_record& member : members_) {
        if (member.domain == domain_)
            it.mandate->seen({.vm = member.vm, .run = member.run}, now);
    }
}

bool mandate_service::wants_read(shard_state& it, time_point now) const
{
    if (!it.rank || *it.rank > lowest_rank || it.is_announced || is_releasing_ ||
        it.mandate->is_holder() || now < it.next_read)
        return false;
    it.next_read = now + read_interval * (*it.rank + 1);
    return true;
}

// The calls of the store are made one after another, so that a slow store delays renewals and
// never makes them pile up. A new mandate reads before its first tick, which can write then.
void mandate_service::step(std::uint32_t shard)
{
    mandate_actions actions;
    {
        const std::lock_guard lock(mutex_);
        shard_state& it = shards_[shard];
        const time_point now = boot_now();
        const bool is_close = it.rank && *it.rank <= lowest_rank;
        const bool is_new = !it.mandate && is_close;
        if (is_new)
            start_mandate(it, now);
        if (!it.mandate)
            return;
        if (is_new)
            actions.emplace_back(mandate_read{});
        else
            it.mandate->tick(is_close && !is_releasing_ ? it.rank : std::nullopt, now, actions);
        if (actions.empty() && wants_read(it, now))
            actions.emplace_back(mandate_read{});
    }
    for (const mandate_action& it : actions)
        perform(shard, it);
}

void mandate_service::perform(std::uint32_t shard, const mandate_action& action)
{
    if (const auto* write = std::get_if<mandate_write>(&action))
        do_write(shard, *write);
    else if (const auto* retired = std::get_if<mandate_retired>(&action))
        tell(shard, *retired);
    else
        do_read(shard);
}

std::string mandate_service::key_of(std::uint32_t shard) const
{
    const std::lock_guard lock(mutex_);
    return fmt::format("{}{}/{}", mandate_prefix, is_listed_ ? options_.failure_domain : "-",
                       shard);
}

static mandate_outcome outcome_of(const result<store_commit, store_error>& answer)
{
    if (!failed(answer))
        return value_of(answer).succeeded ? mandate_outcome::written : mandate_outcome::conflict;
    return error_of(answer).kind == store_error_kind::outcome_unknown ? mandate_outcome::unknown
                                                                      : mandate_outcome::conflict;
}

void mandate_service::do_write(std::uint32_t shard, const mandate_write& write)
{
    const std::string key = key_of(shard);
    const auto answer = store_.commit(
        {.compares = {unchanged_since(key, static_cast<store_revision>(write.expected))},
         .puts = {{.key = key, .value = encode_mandate(write.record), .lease = {}}},
         .deletes = {}});
    const auto version = failed(answer) ? 0 : static_cast<std::uint64_t>(value_of(answer).revision);
    const std::lock_guard lock(mutex_);
    if (shards_[shard].mandate)
        shards_[shard].mandate->answered(write.record.renewal, outcome_of(answer), version,
                                         boot_now());
}

// A record that cannot be read is left alone: nobody takes the shard until it is put right.
void mandate_service::do_read(std::uint32_t shard)
{
    const std::string key = key_of(shard);
    const auto answer = store_.range(store_key_range{.key = key, .range_end = {}});
    if (failed(answer))
        return;
    mandate_record record;
    std::uint64_t version = 0;
    if (!value_of(answer).entries.empty()) {
        const store_entry& entry = value_of(answer).entries.front();
        const auto read = decode_mandate(entry.value);
        if (!read) {
            log_event(event::mandate_unreadable, "{}", key);
            return;
        }
        record = *read;
        version = static_cast<std::uint64_t>(entry.mod_revision);
    }
    const std::lock_guard lock(mutex_);
    if (shards_[shard].mandate)
        shards_[shard].mandate->observe(record, version, boot_now());
}

void mandate_service::tell(std::uint32_t shard, const mandate_retired& it)
{
    endpoint link;
    {
        const std::lock_guard lock(mutex_);
        const auto member = std::ranges::find(members_, it.to, &member_record::vm);
        if (member == members_.end())
            return;
        link = member->link;
    }
    const bool sent = links_.call(link, std::string(mandate_path),
                                  encode_retirement({.shard = shard, .past = it.past}),
                                  tell_timeout, [](const result<std::string, link_error>&) {});
    static_cast<void>(sent); // told again until the record no longer lists it
}

std::string mandate_service::answer(const control_request& request)
{
    const auto it = decode_retirement(request.payload);
    const limit_peer sender{.vm = id_of<vm_id>(request.peer.vm_name), .run = request.peer.run};
    if (!it || it->shard >= limit_shards || it->past.holder != sender)
        return {};
    const std::lock_guard lock(mutex_);
    if (shards_[it->shard].mandate)
        shards_[it->shard].mandate->retired(it->past);
    return {};
}

// Tells the terms when they differ from those told last, and then which shards are held.
void mandate_service::publish(std::uint32_t shard)
{
    const std::lock_guard order(publish_mutex_);
    shard_terms now_told{.shard = shard};
    bool was_held = false;
    std::vector<held_shard> held;
    {
        const std::lock_guard lock(mutex_);
        shard_state& it = shards_[shard];
        const bool holds = it.mandate && it.mandate->is_holder() && !is_releasing_;
        if (holds) {
            now_told.epoch = it.mandate->epoch();
            now_told.terms = it.mandate->terms();
        }
        if (now_told == it.told)
            return;
        was_held = it.told.epoch == now_told.epoch;
        if (!was_held && !holds)
            log_event(is_releasing_ ? event::mandate_released : event::mandate_ended,
                      "shard {}, epoch {}", shard, it.told.epoch);
        else if (!was_held)
            log_event(event::mandate_taken, "shard {}, epoch {}", shard, now_told.epoch);
        it.told = now_told;
        for (std::uint32_t n = 0; n < limit_shards; ++n) {
            if (shards_[n].told.epoch != 0)
                held.push_back({.shard = n, .epoch = shards_[n].told.epoch});
        }
    }
    options_.on_terms(now_told);
    if (!was_held)
        options_.on_held(std::move(held));
}

} // namespace jasminebank
