#include "limit_entry.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

// Requests to holders that are neither answered nor timed out.
constexpr std::size_t max_unanswered_per_organisation = 8;
// Requests to holders including timed-out ones, whose answer may still arrive.
constexpr std::size_t max_pending_per_organisation = 32;
constexpr duration return_margin = 60ms; // unspent tokens are returned this long before they expire
constexpr duration retry_without_holder = 1s;
constexpr duration sweep_interval = 1s;
// Requests a second; the state of an organisation with less demand is dropped.
constexpr double idle_demand = 0.05;
constexpr std::uint32_t max_prefetch = 1000;

double seconds_of(duration it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

limit_entry::limit_entry(const limit_entry_options& options)
    : options_(options), holders_(options.shards)
{
    assert(options.shards > 0 && options.prefetch_lifetime <= max_token_lifetime);
}

std::uint32_t limit_entry::organisation_state::requested_tokens() const
{
    std::uint32_t sum = 0;
    for (const pending_request& it : pending) {
        if (!it.is_timed_out)
            sum += it.need + it.prefetch;
    }
    return sum;
}

std::size_t limit_entry::organisation_state::unanswered_requests() const
{
    return static_cast<std::size_t>(
        std::ranges::count(pending, false, &pending_request::is_timed_out));
}

std::uint32_t limit_entry::organisation_state::usable_tokens(time_point now) const
{
    std::uint32_t sum = 0;
    for (const held_grant& it : held_grants) {
        sum += it.usable(now);
    }
    return sum;
}

// A holder that was known before keeps its backoff.
void limit_entry::set_holders(std::uint32_t shard, std::span<const vm_id> holders)
{
    std::vector<holder_view> views;
    for (vm_id vm : holders) {
        const auto old = std::ranges::find(holders_.at(shard), vm, &holder_view::vm);
        views.push_back(
            {.vm = vm,
             .avoid_until = old == holders_[shard].end() ? time_point{} : old->avoid_until});
    }
    holders_[shard] = std::move(views);
}

// The table is bounded: when it is full, an organisation without waiting callers, pending requests
// or tokens is removed for the new one.
limit_entry::organisation_state* limit_entry::find_or_add(organisation_id organisation,
                                                          time_point now)
{
    const auto found = active_.find(organisation);
    if (found != active_.end())
        return &found->second;
    if (active_.size() >= options_.max_organisations) {
        const auto idle = std::ranges::find_if(active_, [&](const auto& entry) {
            return !entry.second.is_busy() && entry.second.refused_until <= now;
        });
        if (idle == active_.end())
            return nullptr;
        active_.erase(idle);
    }
    return &active_[organisation];
}

std::uint32_t limit_entry::spendable(organisation_id organisation, time_point now) const
{
    const auto it = active_.find(organisation);
    return it == active_.end() ? 0 : it->second.usable_tokens(now);
}

// ---- requests of callers ----

limit_verdict limit_entry::admit(const rate_contract& contract, time_point now, limit_outbox& out)
{
    const organisation_id organisation = contract.organisation;
    organisation_state* state = find_or_add(organisation, now);
    if (state == nullptr) {
        ++counts_.refused;
        return limit_refused{.retry_after = sweep_interval};
    }
    state->home = contract.home;
    context at{.organisation = organisation, .state = *state, .now = now, .out = out};
    if (state->waiting.empty() && spend_token(*state, now)) {
        state->demand.add(1, now);
        request_tokens_if_low(at);
        finish_event(at);
        ++counts_.admitted;
        return limit_admitted{};
    }
    if (now < state->refused_until) {
        ++counts_.refused;
        return limit_refused{.retry_after = state->refused_until - now};
    }
    if (state->waiting.size() >= options_.max_waiting_per_organisation ||
        organisation_by_ticket_.size() >= options_.max_waiting) {
        ++counts_.refused;
        return limit_refused{.retry_after = options_.max_wait};
    }
    state->demand.add(1, now);
    const std::uint64_t ticket = next_ticket_++;
    state->waiting.push_back({.ticket = ticket, .until = now + options_.max_wait});
    organisation_by_ticket_.emplace(ticket, organisation);
    request_tokens_if_low(at);
    finish_event(at);
    if (state->pending.empty()) {
        cancel(ticket);
        ++counts_.no_holder;
        return limit_refused{.retry_after = retry_without_holder, .no_holder = true};
    }
    ++counts_.waited;
    return limit_waiting{ticket};
}

// The expiry is checked at the moment of spending.
bool limit_entry::spend_token(organisation_state& it, time_point now)
{
    for (held_grant& from : it.held_grants) {
        if (from.usable(now) > 0) {
            ++from.spent;
            return true;
        }
    }
    return false;
}

// Returns 0 if the demand is too small to spend a token within its lifetime.
std::uint32_t limit_entry::prefetch_amount(const context& at) const
{
    if (at.now < at.state.no_prefetch_until)
        return 0;
    const double demand = at.state.demand.per_second(at.now);
    const auto prefetch = static_cast<std::uint32_t>(
        std::min<double>(max_prefetch, demand * seconds_of(options_.prefetch_span)));
    return prefetch;
}

// Requests tokens if more callers wait than tokens are requested, or if the tokens left will be
// spent soon.
void limit_entry::request_tokens_if_low(context& at)
{
    organisation_state& it = at.state;
    if (it.unanswered_requests() >= max_unanswered_per_organisation ||
        it.pending.size() >= max_pending_per_organisation)
        return;
    const auto waiting = static_cast<std::uint32_t>(it.waiting.size());
    const std::uint32_t requested_tokens = it.requested_tokens();
    const std::uint32_t need = waiting > requested_tokens ? waiting - requested_tokens : 0;
    std::uint32_t prefetch = 0;
    if (requested_tokens == 0 || need > 0) {
        const double soon = it.demand.per_second(at.now) * seconds_of(options_.refill_span);
        if (it.usable_tokens(at.now) <= soon)
            prefetch = prefetch_amount(at);
    }
    if (need + prefetch == 0)
        return;
    if (const vm_id* holder = choose_holder(at))
        send_request(at, *holder, need, prefetch);
}

// Chooses the grant whose spending is reported: one that is used up, once; else one in use.
limit_entry::spending_report limit_entry::spending_to_report(const organisation_state& it,
                                                             vm_id holder)
{
    if (it.exhausted_grant.number != 0 && it.exhausted_grant.holder == holder)
        return it.exhausted_grant;
    for (const held_grant& held : it.held_grants) {
        if (held.holder == holder && held.spent > 0)
            return {.number = held.number, .holder = holder, .spent = held.spent};
    }
    return {};
}

bool limit_entry::is_remote(const context& at, vm_id holder) const
{
    const std::vector<holder_view>& views = holders_[shard_of(at.organisation, options_.shards)];
    return options_.domain >= views.size() || views[options_.domain].vm != holder;
}

// The request also reports the spending of an earlier grant, which saves a message.
void limit_entry::send_request(context& at, vm_id holder, std::uint32_t need,
                               std::uint32_t prefetch)
{
    organisation_state& it = at.state;
    const std::uint64_t number = next_number_++;
    grant_request request{
        .number = number,
        .organisation = at.organisation,
        .need = need,
        .prefetch = prefetch,
        .holder_wait = is_remote(at, holder) ? options_.remote_holder_wait : options_.holder_wait,
        .lifetime = prefetch > 0 ? options_.prefetch_lifetime : options_.waiting_grant_lifetime};
    const spending_report report = spending_to_report(it, holder);
    request.reported_grant = report.number;
    request.spent = report.spent;
    if (report.number == it.exhausted_grant.number)
        it.exhausted_grant = {};
    it.pending.push_back({.number = number,
                          .holder = holder,
                          .need = need,
                          .prefetch = prefetch,
                          .sent = at.now,
                          .lifetime = request.lifetime});
    organisation_by_request_.emplace(number, at.organisation);
    at.out.push_back({holder, request});
    ++counts_.requests;
}

// An organisation with a home uses only the holder there, as the other domains own no part of the
// contract; nullptr while that holder is in backoff. Otherwise the holder in the own domain is
// preferred, then those in the next domains by index. If all are in backoff, the one whose backoff
// ends first is used.
const vm_id* limit_entry::choose_holder(const context& at) const
{
    const std::vector<holder_view>& views = holders_[shard_of(at.organisation, options_.shards)];
    if (at.state.home != no_home) {
        if (at.state.home >= views.size())
            return nullptr;
        const holder_view& home = views[at.state.home];
        return home.vm.value == 0 || home.avoid_until > at.now ? nullptr : &home.vm;
    }
    const holder_view* best = nullptr;
    for (std::size_t n = 0; n < views.size(); ++n) {
        const holder_view& it = views[(options_.domain + n) % views.size()];
        if (it.vm.value == 0)
            continue;
        if (it.avoid_until <= at.now)
            return &it.vm;
        if (best == nullptr || it.avoid_until < best->avoid_until)
            best = &it;
    }
    return best == nullptr ? nullptr : &best->vm;
}

void limit_entry::avoid_holder(organisation_id organisation, vm_id holder, time_point until)
{
    for (holder_view& it : holders_[shard_of(organisation, options_.shards)]) {
        if (it.vm == holder)
            it.avoid_until = std::max(it.avoid_until, until);
    }
}

// ---- answers ----

// Each answer is processed once: its number is removed from the pending requests. Tokens that
// arrive after their lifetime, counted from the request, are dropped; the holder has written them
// off or will soon do so.
void limit_entry::receive(limit_peer from, const grant& message, time_point now, limit_outbox& out,
                          limit_outcomes& ended)
{
    const auto owner = organisation_by_request_.find(message.number);
    if (owner == organisation_by_request_.end())
        return;
    organisation_state& state = active_.at(owner->second);
    const auto found = std::ranges::find(state.pending, message.number, &pending_request::number);
    if (found->holder != from.vm)
        return;
    const pending_request request = *found;
    context at{.organisation = owner->second, .state = state, .now = now, .out = out};
    state.pending.erase(found);
    organisation_by_request_.erase(owner);
    if (message.status == grant_status::not_holder) {
        avoid_holder(at.organisation, from.vm, now + options_.unresponsive_backoff);
        request_tokens_if_low(at);
        finish_event(at);
        return;
    }
    avoid_holder(at.organisation, from.vm, time_point{});
    const duration lifetime = std::min(message.lifetime, request.lifetime);
    const std::uint32_t tokens = std::min(message.tokens, request.need + request.prefetch);
    if (tokens > 0 && now < request.sent + lifetime)
        state.held_grants.push_back({.number = message.number,
                                     .holder = from.vm,
                                     .tokens = tokens,
                                     .until = request.sent + lifetime});
    admit_waiting(at, ended);
    if (tokens < request.need + request.prefetch)
        state.no_prefetch_until = now + options_.refill_span;
    if (message.retry_after > duration::zero() && request.need > 0) {
        state.refused_until = now + message.retry_after;
        refuse_waiting(at, state.requested_tokens(), {.retry_after = message.retry_after}, ended);
    }
    request_tokens_if_low(at);
    finish_event(at);
}

void limit_entry::admit_waiting(context& at, limit_outcomes& ended)
{
    while (!at.state.waiting.empty() && spend_token(at.state, at.now)) {
        const std::uint64_t ticket = at.state.waiting.front().ticket;
        ended.push_back({ticket, limit_admitted{}});
        organisation_by_ticket_.erase(ticket);
        at.state.waiting.pop_front();
        ++counts_.admitted;
    }
}

// Refuses all waiting callers except the first `first`, for whom other requests are still pending.
void limit_entry::refuse_waiting(context& at, std::size_t first, limit_refused why,
                                 limit_outcomes& ended)
{
    while (at.state.waiting.size() > first) {
        const std::uint64_t ticket = at.state.waiting.back().ticket;
        ended.push_back({ticket, why});
        organisation_by_ticket_.erase(ticket);
        at.state.waiting.pop_back();
        ++(why.no_holder ? counts_.no_holder : counts_.refused);
    }
}

void limit_entry::on_link_lost(vm_id holder, time_point now, limit_outbox& out,
                               limit_outcomes& ended)
{
    unresponsive_.push_back(holder);
    const std::vector<organisation_id> busy(busy_.begin(), busy_.end());
    for (std::vector<holder_view>& views : holders_) {
        for (holder_view& it : views) {
            if (it.vm == holder)
                it.avoid_until = now + options_.unresponsive_backoff;
        }
    }
    for (organisation_id organisation : busy) {
        context at{.organisation = organisation,
                   .state = active_.at(organisation),
                   .now = now,
                   .out = out};
        for (pending_request& it : at.state.pending) {
            if (it.holder == holder)
                it.is_timed_out = true;
        }
        apply_timeouts(at, ended);
        request_tokens_if_low(at);
        finish_event(at);
    }
}

void limit_entry::cancel(std::uint64_t ticket)
{
    const auto found = organisation_by_ticket_.find(ticket);
    if (found == organisation_by_ticket_.end())
        return;
    organisation_state& state = active_.at(found->second);
    std::erase_if(state.waiting, [&](const waiting_caller& it) { return it.ticket == ticket; });
    // An organisation that is not busy may be removed at any time.
    if (!state.is_busy())
        busy_.erase(found->second);
    organisation_by_ticket_.erase(found);
}

// ---- time ----

// If a request times out, its holder is put into backoff and tokens for the waiting callers are
// requested from another one. A late answer is still used within the lifetime of its tokens.
void limit_entry::apply_timeouts(context& at, limit_outcomes& ended)
{
    organisation_state& it = at.state;
    for (pending_request& request : it.pending) {
        if (!request.is_timed_out && at.now >= request.sent + options_.answer_timeout) {
            request.is_timed_out = true;
            unresponsive_.push_back(request.holder);
            avoid_holder(at.organisation, request.holder, at.now + options_.unresponsive_backoff);
        }
    }
    std::erase_if(it.pending, [&](const pending_request& request) {
        if (at.now < request.sent + request.lifetime)
            return false;
        organisation_by_request_.erase(request.number);
        return true;
    });
    while (!it.waiting.empty() && it.waiting.front().until <= at.now) {
        const std::uint64_t ticket = it.waiting.front().ticket;
        ended.push_back(
            {ticket, limit_refused{.retry_after = retry_without_holder, .no_holder = true}});
        organisation_by_ticket_.erase(ticket);
        it.waiting.pop_front();
        ++counts_.no_holder;
    }
}

// Drops used-up and expired grants. Unspent tokens are returned early enough for the holder to
// reuse them before they expire.
void limit_entry::return_expiring_grants(context& at)
{
    std::erase_if(at.state.held_grants, [&](const held_grant& it) {
        if (it.unspent() == 0)
            at.state.exhausted_grant = {
                .number = it.number, .holder = it.holder, .spent = it.spent};
        if (it.unspent() == 0 || at.now >= it.until)
            return true;
        if (at.now + return_margin < it.until || !at.state.waiting.empty())
            return false;
        at.out.push_back({it.holder, grant_return{.number = it.number,
                                                  .organisation = at.organisation,
                                                  .spent = it.spent}});
        return true;
    });
}

void limit_entry::finish_event(context& at)
{
    return_expiring_grants(at);
    if (at.state.is_busy())
        busy_.insert(at.organisation);
    else
        busy_.erase(at.organisation);
}

void limit_entry::tick(time_point now, limit_outbox& out, limit_outcomes& ended)
{
    const std::vector<organisation_id> busy(busy_.begin(), busy_.end());
    for (organisation_id organisation : busy) {
        context at{.organisation = organisation,
                   .state = active_.at(organisation),
                   .now = now,
                   .out = out};
        apply_timeouts(at, ended);
        if (!at.state.waiting.empty())
            request_tokens_if_low(at);
        finish_event(at);
    }
    if (now < next_sweep_)
        return;
    next_sweep_ = now + sweep_interval;
    std::erase_if(active_, [&](const auto& entry) {
        const organisation_state& it = entry.second;
        return !it.is_busy() && it.refused_until <= now && it.demand.per_second(now) < idle_demand;
    });
}

time_point limit_entry::next_deadline() const
{
    time_point next = time_point::max();
    for (organisation_id organisation : busy_) {
        const organisation_state& it = active_.at(organisation);
        if (!it.waiting.empty())
            next = std::min(next, it.waiting.front().until);
        for (const pending_request& request : it.pending)
            next = std::min(next, request.sent + (request.is_timed_out ? request.lifetime
                                                                       : options_.answer_timeout));
        for (const held_grant& held : it.held_grants)
            next = std::min(next, held.until - return_margin);
    }
    return next;
}

} // namespace jasminebank
