#include "limit_service.h"

#include "limit_codec.h"
#include "retry_spread.h"
#include "system_clock.h"

#include <algorithm>

namespace jasminebank {

// Later, all tokens in a reply have expired.
constexpr duration call_timeout = max_token_lifetime;
constexpr duration max_sleep = std::chrono::milliseconds(100);
constexpr duration no_holder_retry_after = std::chrono::seconds(1);
constexpr std::size_t max_queued_messages = max_limit_batch; // to one node

limit_service::limit_service(const limit_service_options& options, control_relay& relay)
    : options_(options), relay_(relay), entry_(options_.entry)
{
    thread_ = std::thread([this] { run(); });
}

limit_service::~limit_service()
{
    stop();
}

void limit_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const auto& [ticket, it] : waiters_)
            it->changed.notify_one();
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

// ---- configuration, members and terms ----

void limit_service::set_config(std::shared_ptr<const fleet_config> config)
{
    const std::lock_guard lock(mutex_);
    if (config_ != nullptr && config->generation <= config_->generation)
        return;
    config_ = std::move(config);
    for (std::vector<rate_contract>& it : contracts_)
        it.clear();
    const std::uint32_t domains = domain_count();
    const auto add = [&](rate_contract it) {
        it.home = suggested_home(it, domains);
        contracts_[shard_of(it.organisation, limit_shards)].push_back(it);
    };
    for (const organisation_config& it : config_->organisations)
        add(make_contract(it.id, it.rate, it.burst + options_.burst_slack));
    if (options_.retries.retries > 0) {
        for (const service_config& it : config_->services)
            add(shared_retry_contract(it.id, options_.retries));
    }
    for (std::vector<rate_contract>& it : contracts_)
        std::ranges::sort(it, {}, &rate_contract::organisation);
    if (const auto place = position_of(*config_, options_.domain))
        entry_.set_domain(place->index);
    for (std::uint32_t shard = 0; shard < limit_shards; ++shard)
        update_holder(shard);
    update_known_holders();
}

void limit_service::set_directory(const member_directory& directory)
{
    const std::lock_guard lock(mutex_);
    members_ = directory.members();
    std::erase_if(peers_,
                  [&](const auto& known) { return directory.find(known.first) == nullptr; });
    for (const member_record& it : members_) {
        peer_state& peer = peers_[it.vm];
        peer.link = it.link;
        peer.run = it.run;
        peer.name = it.name;
    }
    update_known_holders();
}

void limit_service::set_terms(const shard_terms& it)
{
    const std::lock_guard lock(mutex_);
    holder_state& state = holders_[it.shard];
    if (it.epoch != state.epoch)
        stop_holder(state);
    state.epoch = it.epoch;
    state.terms = it.terms;
    update_holder(it.shard);
    update_known_holders();
}

void limit_service::set_holders(std::uint32_t shard, std::vector<vm_id> holders)
{
    const std::lock_guard lock(mutex_);
    selected_holders_[shard] = std::move(holders);
    update_known_holders();
}

// The next holder continues the loan numbers, because lenders still remember the last loans of this
// one.
void limit_service::stop_holder(holder_state& it)
{
    if (it.holder != nullptr)
        it.next_loan = it.holder->next_loan_number();
    it.holder.reset();
}

// A holder starts without tokens when the lease is new or the failure domain's part of the
// contracts changed.
void limit_service::update_holder(std::uint32_t shard)
{
    holder_state& it = holders_[shard];
    const auto place = config_ == nullptr ? std::nullopt : position_of(*config_, options_.domain);
    if (it.epoch == 0 || !place) {
        stop_holder(it);
        return;
    }
    const time_point now = boot_now();
    if (it.holder == nullptr || it.place != *place) {
        stop_holder(it);
        it.holder =
            std::make_unique<limit_holder>(limit_holder_options{.self = options_.self.vm,
                                                                .domain = place->index,
                                                                .domains = place->count,
                                                                .first_loan_number = it.next_loan},
                                           now);
        it.place = *place;
    }
    it.holder->set_contracts(contracts_[shard], now);
    it.holder->set_terms(it.terms, now);
}

std::uint32_t limit_service::domain_count() const
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(config_->failure_domains.size()));
}

// Holders by index of their failure domain; vm 0 where none is known.
std::vector<vm_id> limit_service::holders_by_domain(const std::vector<shard_holder>& holders) const
{
    std::vector<vm_id> out(domain_count());
    for (const shard_holder& it : holders) {
        if (it.domain < out.size())
            out[it.domain] = it.vm;
    }
    return out;
}

std::vector<shard_holder> limit_service::current_holders(std::uint32_t shard) const
{
    const auto& selected = selected_holders_[shard];
    if (!selected)
        return find_holders(shard, *config_, members_);
    std::vector<shard_holder> out;
    for (std::size_t n = 0; n < selected->size(); ++n) {
        if (selected->at(n) != vm_id{})
            out.push_back({.domain = static_cast<std::uint32_t>(n), .vm = selected->at(n)});
    }
    return out;
}

void limit_service::update_known_holders()
{
    if (config_ == nullptr)
        return;
    for (std::uint32_t shard = 0; shard < limit_shards; ++shard) {
        known_holders_[shard] = current_holders(shard);
        std::vector<vm_id> holders =
            selected_holders_[shard].value_or(holders_by_domain(known_holders_[shard]));
        entry_.set_holders(shard, holders);
        std::erase(holders, options_.self.vm);
        std::erase(holders, vm_id{});
        if (holders_[shard].holder != nullptr)
            holders_[shard].holder->set_lenders(holders);
    }
}

// ---- callers ----

const rate_contract* limit_service::find_contract(organisation_id organisation) const
{
    const auto& contracts = contracts_[shard_of(organisation, limit_shards)];
    const auto it =
        std::ranges::lower_bound(contracts, organisation, {}, &rate_contract::organisation);
    return it != contracts.end() && it->organisation == organisation ? &*it : nullptr;
}

static bool has_no_holder(const limit_verdict& it)
{
    const auto* refused = std::get_if<limit_refused>(&it);
    return refused != nullptr && refused->no_holder;
}

// An organisation within its rate must not be refused because a holder is slow to answer, so the
// attempt is repeated a few times. If no holder is known at all, the refusal is immediate.
limit_verdict limit_service::admit_blocking(organisation_id organisation, time_point deadline)
{
    std::unique_lock lock(mutex_);
    limit_verdict out = refuse_without_holder();
    for (std::size_t n = 0; n < options_.max_attempts && !stopping_; ++n) {
        const time_point start = boot_now();
        if (start >= deadline)
            break;
        out = admit_once(lock, organisation, deadline);
        if (!has_no_holder(out) || boot_now() < start + options_.entry.holder_wait)
            break;
    }
    return has_no_holder(out) ? refuse_without_holder() : out;
}

// All callers of a moment are refused when no holder answers.
limit_refused limit_service::refuse_without_holder()
{
    return {.retry_after = spread_retry(no_holder_retry_after, random_()), .no_holder = true};
}

limit_verdict limit_service::admit_once(std::unique_lock<std::mutex>& lock,
                                        organisation_id organisation, time_point deadline)
{
    event_effects it{.now = boot_now()};
    const rate_contract* contract = find_contract(organisation);
    if (contract == nullptr)
        return limit_refused{.retry_after = no_holder_retry_after, .no_holder = true};
    const limit_verdict verdict = entry_.admit(*contract, it.now, it.out);
    const auto* waiting = std::get_if<limit_waiting>(&verdict);
    if (waiting == nullptr) {
        apply_effects(it);
        return verdict;
    }
    waiter own;
    waiters_.emplace(waiting->ticket, &own);
    apply_effects(it);
    const time_point latest = std::min(deadline, it.now + options_.entry.max_wait + max_sleep);
    while (!own.verdict && !stopping_ && boot_now() < latest)
        own.changed.wait_for(lock, latest - boot_now());
    waiters_.erase(waiting->ticket);
    if (!own.verdict)
        entry_.cancel(waiting->ticket);
    return own.verdict.value_or(
        limit_refused{.retry_after = no_holder_retry_after, .no_holder = true});
}

// ---- messages ----

limit_holder* limit_service::find_holder(organisation_id organisation) const
{
    return holders_[shard_of(organisation, limit_shards)].holder.get();
}

// If this node is not the holder, requests are answered at once with `not_holder` or an empty loan.
// Returned tokens and loans are dropped then, since they expire by themselves.
void limit_service::receive_for_holder(limit_peer from, const limit_message& message,
                                       event_effects& it)
{
    const organisation_id organisation = std::visit(
        [](const auto& body) {
            if constexpr (requires { body.organisation; })
                return body.organisation;
            else
                return organisation_id{};
        },
        message);
    limit_holder* holder = find_holder(organisation);
    if (holder != nullptr) {
        std::visit(
            [&](const auto& body) {
                if constexpr (requires { holder->receive(from, body, it.now, it.out); })
                    holder->receive(from, body, it.now, it.out);
                else if constexpr (requires { holder->receive(from, body, it.now); })
                    holder->receive(from, body, it.now);
            },
            message);
    }
    else if (const auto* request = std::get_if<grant_request>(&message)) {
        it.out.push_back({from.vm, grant{.number = request->number,
                                         .status = grant_status::not_holder,
                                         .retry_after = no_holder_retry_after}});
    }
    else if (const auto* borrow_request = std::get_if<loan_request>(&message)) {
        it.out.push_back({from.vm, loan{.number = borrow_request->number,
                                        .organisation = borrow_request->organisation,
                                        .retry_after = no_holder_retry_after}});
    }
}

void limit_service::receive(limit_peer from, const limit_message& message, event_effects& it)
{
    if (const auto* answer = std::get_if<grant>(&message))
        entry_.receive(from, *answer, it.now, it.out, it.finished);
    else
        receive_for_holder(from, message, it);
}

// The entry sends a new request as soon as it receives `not_holder`. If the request goes to this
// node itself, this would repeat without end, so only the first such reply to this node is
// delivered in one event; after that the entry's own timeout applies.
void limit_service::route(const limit_outgoing& message, event_effects& it, bool& got_not_holder)
{
    if (message.to != options_.self.vm) {
        const auto peer = peers_.find(message.to);
        if (peer != peers_.end() && peer->second.queued.size() < max_queued_messages)
            peer->second.queued.push_back(message.body);
        return;
    }
    const auto* answer = std::get_if<grant>(&message.body);
    const bool is_not_holder = answer != nullptr && answer->status == grant_status::not_holder;
    if (!is_not_holder || !got_not_holder)
        receive(options_.self, message.body, it);
    got_not_holder = got_not_holder || is_not_holder;
}

// Reports holders that did not answer, delivers the messages of an event, those to this node at
// once, and ends waits. Batches that are due are sent here, the others later by the thread.
void limit_service::apply_effects(event_effects& it)
{
    for (const vm_id silent : entry_.take_unresponsive_holders()) {
        if (silent != options_.self.vm)
            options_.on_no_response(silent);
    }
    bool got_not_holder = false;
    std::vector<vm_id> others;
    for (std::size_t n = 0; n < it.out.size(); ++n) {
        const limit_outgoing message = it.out[n];
        route(message, it, got_not_holder);
        if (message.to != options_.self.vm)
            others.push_back(message.to);
    }
    for (const vm_id to : others)
        send_batch(to, it.now);
    for (const limit_outcome& finished : it.finished) {
        const auto found = waiters_.find(finished.ticket);
        if (found == waiters_.end())
            continue;
        found->second->verdict = finished.verdict;
        found->second->changed.notify_one();
    }
    if (!it.out.empty())
        wake_.notify_one();
}

// Sends the queued messages unless the last batch was sent less than batch_interval ago. The first
// message after a pause is therefore sent at once.
void limit_service::send_batch(vm_id to, time_point now)
{
    const auto found = peers_.find(to);
    if (found == peers_.end() || found->second.queued.empty() || now < found->second.next_send)
        return;
    peer_state& peer = found->second;
    std::string payload = encode_limit_batch(peer.queued);
    ++traffic_.batches_out;
    traffic_.messages_out += peer.queued.size();
    traffic_.bytes_out += payload.size();
    peer.queued.clear();
    peer.next_send = now + options_.batch_interval;
    const bool sent = relay_.call(
        to, std::string(limit_path), std::move(payload), call_timeout,
        [this, to](const result<std::string, link_error>& reply) { receive_reply(to, reply); });
    static_cast<void>(sent); // if not, the entry's wait times out and it uses another holder
}

// A node that cannot be reached is handled differently from a slow one: requests sent to it are
// sent to another holder at once.
void limit_service::receive_reply(vm_id from, const result<std::string, link_error>& reply)
{
    const std::lock_guard lock(mutex_);
    if (stopping_)
        return;
    event_effects it{.now = boot_now()};
    if (failed(reply)) {
        if (error_of(reply).kind != link_failure::timed_out)
            entry_.on_link_lost(from, it.now, it.out, it.finished);
        else
            options_.on_no_response(from);
        apply_effects(it);
        return;
    }
    const auto messages = decode_limit_batch(value_of(reply));
    const auto peer = peers_.find(from);
    if (!messages || messages->empty() || peer == peers_.end())
        return;
    ++traffic_.batches_in;
    traffic_.messages_in += messages->size();
    traffic_.bytes_in += value_of(reply).size();
    for (const limit_message& message : *messages)
        receive({.vm = from, .run = peer->second.run}, message, it);
    apply_effects(it);
}

std::optional<std::string> limit_service::answer(const control_request& request)
{
    const auto messages = decode_limit_batch(request.payload);
    if (!messages)
        return std::nullopt;
    const limit_peer from{.vm = id_of<vm_id>(request.peer.vm_name), .run = request.peer.run};
    const std::lock_guard lock(mutex_);
    if (stopping_)
        return std::nullopt;
    ++traffic_.batches_in;
    traffic_.messages_in += messages->size();
    traffic_.bytes_in += request.payload.size();
    event_effects it{.now = boot_now()};
    for (const limit_message& message : *messages)
        receive(from, message, it);
    std::vector<limit_message> ready;
    std::erase_if(it.out, [&](const limit_outgoing& message) {
        if (message.to != from.vm || ready.size() == max_limit_batch)
            return false;
        ready.push_back(message.body);
        return true;
    });
    apply_effects(it);
    wake_.notify_one();
    std::string reply = encode_limit_batch(ready);
    traffic_.batches_out += ready.empty() ? 0 : 1;
    traffic_.messages_out += ready.size();
    traffic_.bytes_out += reply.size();
    return reply;
}

// ---- time ----

// Runs the work that is due and returns when it must be called next.
time_point limit_service::run_due_work(time_point now)
{
    event_effects it{.now = now};
    entry_.tick(now, it.out, it.finished);
    for (const holder_state& state : holders_) {
        if (state.holder != nullptr)
            state.holder->tick(now, it.out);
    }
    apply_effects(it);
    time_point next = std::min(entry_.next_deadline(), now + max_sleep);
    for (const holder_state& state : holders_) {
        if (state.holder != nullptr)
            next = std::min(next, state.holder->next_deadline(now));
    }
    for (auto& [vm, peer] : peers_) {
        send_batch(vm, now);
        if (!peer.queued.empty())
            next = std::min(next, peer.next_send);
    }
    return next;
}

void limit_service::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const time_point now = boot_now();
        const time_point next = run_due_work(now);
        wake_.wait_for(lock, std::max<duration>(next - now, std::chrono::microseconds(50)));
    }
}

// ---- reports ----

budget_report limit_service::report(organisation_id organisation) const
{
    const std::lock_guard lock(mutex_);
    const time_point now = boot_now();
    budget_report out{.shard = shard_of(organisation, limit_shards),
                      .tokens = entry_.spendable(organisation, now),
                      .holders = {},
                      .entry = entry_.counts(),
                      .holding = {},
                      .traffic = traffic_};
    if (limit_holder* holder = find_holder(organisation)) {
        out.holder_tokens = holder->spendable(organisation, now);
        out.holding = holder->counts();
    }
    for (const shard_holder& it : known_holders_[out.shard]) {
        const auto peer = peers_.find(it.vm);
        const std::vector<std::string>& names = config_->failure_domains;
        out.holders.push_back({.domain = it.domain < names.size() ? names[it.domain] : "",
                               .vm = peer == peers_.end() ? "" : peer->second.name,
                               .epoch = it.epoch});
    }
    return out;
}

limit_entry_counts limit_service::counts() const
{
    const std::lock_guard lock(mutex_);
    return entry_.counts();
}

limit_traffic limit_service::traffic() const
{
    const std::lock_guard lock(mutex_);
    return traffic_;
}

} // namespace jasminebank
