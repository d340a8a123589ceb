#include "limit_holder.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

constexpr duration max_retry_after = 1s;
constexpr duration min_retry_after = 5ms;
// A lender that didn't answer is sent no request for this long.
constexpr duration unresponsive_lender_backoff = 200ms;
// Borrowed tokens with a shorter remaining lifetime are returned instead of being kept for waiting
// requests.
constexpr duration min_grantable_lifetime = 40ms;
constexpr duration sweep_interval = 1s;
// Tokens are borrowed in advance for the demand expected within this time.
constexpr double prefetch_seconds = 0.2;
// From this fraction of the rate on, the retry times of refused requests are spread out.
constexpr double overload_demand = 0.9;
// A grant without prefetch, for waiting callers only, stays valid this long after it is sent.
constexpr duration waiting_grant_lifetime = 40ms;
// Requests a second; with less demand no tokens are borrowed in advance.
constexpr double min_prefetch_demand = 1.0;
constexpr std::uint32_t max_backoff_doublings = 8; // limit of the exponential backoff for a lender
constexpr duration loan_round_trip = 12ms;         // between failure domains
// Requests a second; the state of an organisation with less demand is dropped.
constexpr double idle_demand = 0.0001;

// Tokens for the demand expected within prefetch_seconds, plus at most one.
micro_tokens near_future_demand(double per_second)
{
    const double tokens = per_second * prefetch_seconds + std::min(per_second, 1.0);
    return static_cast<micro_tokens>(tokens * one_token);
}

duration accrual_time(micro_tokens amount, double tokens_per_second)
{
    if (tokens_per_second <= 0)
        return max_retry_after;
    const double seconds = static_cast<double>(amount) / one_token / tokens_per_second;
    return seconds >= 1 ? max_retry_after : duration(static_cast<std::int64_t>(seconds * 1e9));
}

} // namespace

limit_holder::limit_holder(const limit_holder_options& options, time_point now)
    : options_(options), next_loan_number_(options.first_loan_number),
      next_sweep_(now + sweep_interval)
{
}

micro_tokens limit_holder::organisation_state::borrowed_total() const
{
    micro_tokens sum = 0;
    for (const borrowed_tokens& it : borrowed)
        sum += it.amount;
    return sum;
}

void limit_holder::organisation_state::drop_expired_loans(time_point now)
{
    std::erase_if(borrowed, [&](const borrowed_tokens& it) { return it.until <= now; });
}

micro_tokens limit_holder::organisation_state::requested_from_lenders(bool urgent) const
{
    micro_tokens sum = 0;
    for (const pending_loan& it : pending_loans)
        sum += it.urgent == urgent ? it.wanted : 0;
    return sum;
}

micro_tokens limit_holder::organisation_state::needed_by_waiting() const
{
    micro_tokens sum = 0;
    for (const waiting_request& it : waiting)
        sum += it.request.need * one_token;
    return sum;
}

// ---- contracts and lease ----

// Buckets of contracts that remain keep their tokens up to the new burst. The bucket of a removed
// contract is kept, empty, while some of its tokens are outstanding: if the contract is added
// again, the tokens must not be available twice.
void limit_holder::set_contracts(std::span<const rate_contract> contracts, time_point now)
{
    apply_expired_terms(now);
    write_off_expired(now);
    std::vector<contract_bucket> old = std::move(slots_);
    slots_.clear();
    slots_.reserve(contracts.size());
    auto kept = old.begin();
    const auto keep_until = [&](organisation_id limit) {
        for (; kept != old.end() && kept->contract.organisation < limit; ++kept) {
            kept->contract.rate = kept->contract.burst = 0;
            kept->bucket.set_part({}, now);
            if (kept->bucket.outstanding() > 0)
                slots_.push_back(*kept);
        }
    };
    for (const rate_contract& it : contracts) {
        keep_until(it.organisation);
        const rate_part part =
            share_of(part_of(it, options_.domain, options_.domains), applied_share_);
        if (kept != old.end() && kept->contract.organisation == it.organisation) {
            kept->bucket.set_part(part, now);
            slots_.push_back({.contract = it, .bucket = kept->bucket});
            ++kept;
        }
        else {
            slots_.push_back({.contract = it, .bucket = token_bucket(part, now)});
        }
    }
    keep_until(organisation_id{~std::uint64_t{0}});
}

void limit_holder::set_terms(const lease_terms& terms, time_point now)
{
    apply_expired_terms(now);
    terms_ = terms;
    if (share_at(now) != applied_share_)
        apply_share(share_at(now), now);
}

void limit_holder::set_lenders(std::span<const vm_id> lenders)
{
    if (std::ranges::equal(lenders, lenders_))
        return;
    lenders_.assign(lenders.begin(), lenders.end());
    for (auto& [organisation, state] : active_)
        state.lenders.clear();
}

// Some contracts belong as a whole to one failure domain, their home; the others are divided among
// all domains. A contract whose home is another domain has no part here.
bool limit_holder::owns_part(const contract_bucket& it) const
{
    return it.contract.home == no_home || it.contract.home == options_.domain;
}

std::uint32_t limit_holder::share_at(time_point now) const
{
    if (now < terms_.until)
        return terms_.share;
    return now < terms_.reserve_until ? terms_.reserve_share : 0;
}

time_point limit_holder::share_end(time_point now) const
{
    return now < terms_.until ? terms_.until : terms_.reserve_until;
}

// Called first for every event. A holder that was paused beyond the end of its lease thus falls
// back to its reserve before it grants anything, and accrues at the full rate only until that end.
void limit_holder::apply_expired_terms(time_point now)
{
    if (share_at(now) == applied_share_)
        return;
    if (now >= terms_.until)
        apply_share(terms_.reserve_until > terms_.until ? terms_.reserve_share : 0, terms_.until);
    if (now >= terms_.until && now >= terms_.reserve_until)
        apply_share(0, std::max(terms_.until, terms_.reserve_until));
}

void limit_holder::apply_share(std::uint32_t share, time_point at)
{
    if (share == applied_share_)
        return;
    applied_share_ = share;
    for (contract_bucket& it : slots_) {
        const rate_part part = part_of(it.contract, options_.domain, options_.domains);
        it.bucket.set_part(share_of(part, share), at);
    }
}

// ---- tokens granted and lent ----

void limit_holder::record_issued(const issued_key& key, const issued_tokens& it)
{
    issued_.emplace(key, it);
    expiries_.push({.at = it.write_off_at, .key = key});
}

// After its lifetime and the drift margin, the tokens of a grant or loan can't be spent any more,
// whether or not their spending was reported.
void limit_holder::write_off_expired(time_point now)
{
    while (!expiries_.empty() && expiries_.top().at <= now) {
        const issued_key key = expiries_.top().key;
        const time_point at = expiries_.top().at;
        expiries_.pop();
        const auto it = issued_.find(key);
        if (it == issued_.end() || it->second.write_off_at != at)
            continue;
        if (contract_bucket* slot = find(it->second.organisation))
            slot->bucket.remove_outstanding(it->second.own, at);
        issued_.erase(it);
    }
}

// The report is cumulative, so a repeated or late one changes nothing. Borrowed tokens count as
// spent first, so an unspent token counts as one of the own bucket as long as it may be one: of n
// unspent tokens, up to n may be from the own bucket.
void limit_holder::apply_spending_report(const issued_key& key, std::uint32_t spent, time_point now)
{
    const auto it = issued_.find(key);
    if (it == issued_.end())
        return;
    issued_tokens& grant = it->second;
    const micro_tokens unspent = (grant.tokens - std::min(spent, grant.tokens)) * one_token;
    const micro_tokens reported = grant.own - std::min(grant.own, unspent);
    if (contract_bucket* slot = find(grant.organisation))
        slot->bucket.remove_outstanding(reported, now);
    grant.own -= reported;
}

bool limit_holder::has_nothing_outstanding(time_point now)
{
    write_off_expired(now);
    return issued_.empty();
}

micro_tokens limit_holder::spendable(organisation_id organisation, time_point now)
{
    apply_expired_terms(now);
    write_off_expired(now);
    contract_bucket* slot = find(organisation);
    if (slot == nullptr || share_at(now) == 0)
        return 0;
    slot->bucket.accrue(now);
    const auto it = active_.find(organisation);
    if (it == active_.end())
        return slot->bucket.tokens();
    it->second.drop_expired_loans(now);
    return slot->bucket.tokens() + it->second.borrowed_total();
}

limit_holder::contract_bucket* limit_holder::find(organisation_id organisation)
{
    const auto it = std::ranges::lower_bound(
        slots_, organisation, {}, [](const contract_bucket& s) { return s.contract.organisation; });
    return it == slots_.end() || it->contract.organisation != organisation ? nullptr : &*it;
}

limit_holder::organisation_state& limit_holder::find_or_add(organisation_id organisation)
{
    organisation_state& it = active_[organisation];
    const contract_bucket* slot = find(organisation);
    const bool has_lenders = slot != nullptr && slot->contract.home == no_home;
    if (it.lenders.empty() && has_lenders) {
        for (vm_id lender : lenders_)
            it.lenders.push_back({.vm = lender});
    }
    return it;
}

// ---- grants ----

void limit_holder::receive(limit_peer from, const grant_request& request, time_point now,
                           limit_outbox& out)
{
    apply_expired_terms(now);
    write_off_expired(now);
    apply_spending_report({.to = from, .number = request.reported_grant}, request.spent, now);
    contract_bucket* slot = find(request.organisation);
    if (slot == nullptr || share_at(now) == 0 || !owns_part(*slot)) {
        out.push_back({from.vm, grant{.number = request.number,
                                      .status = grant_status::not_holder,
                                      .retry_after = max_retry_after}});
        return;
    }
    context at{.slot = *slot, .state = find_or_add(request.organisation), .now = now, .out = out};
    slot->bucket.accrue(now);
    const auto is_same = [&](const waiting_request& it) {
        return it.from == from && it.request.number == request.number;
    };
    if (issued_.contains({.to = from, .number = request.number}) ||
        std::ranges::any_of(at.state.waiting, is_same))
        return;
    at.state.demand.add(request.need + request.prefetch, now);
    const waiting_request waiting{
        .from = from,
        .request = request,
        .received = now,
        .until =
            now + std::clamp<duration>(request.holder_wait, duration::zero(), max_token_lifetime)};
    if (waiting_count_ >= options_.max_waiting || issued_.size() >= options_.max_outstanding) {
        answer_with_available(at, waiting);
        return;
    }
    at.state.waiting.push_back(waiting);
    ++waiting_count_;
    finish_event(at);
}

void limit_holder::receive(limit_peer from, const grant_return& message, time_point now)
{
    apply_expired_terms(now);
    write_off_expired(now);
    const issued_key key{.to = from, .number = message.number};
    apply_spending_report(key, message.spent, now);
    const auto it = issued_.find(key);
    if (it == issued_.end())
        return;
    if (contract_bucket* slot = find(it->second.organisation))
        slot->bucket.return_unspent(it->second.own, now);
    issued_.erase(it);
}

// Last step of every event of an organisation: grants what it can, requests loans, and answers the
// requests for which no tokens can arrive in time.
void limit_holder::finish_event(context& at)
{
    const organisation_id organisation = at.slot.contract.organisation;
    absorb_loans(at);
    borrow_for_waiting(at);
    answer_unsatisfiable_requests(at);
    return_unused_loans(at);
    borrow_in_advance(at);
    if (at.state.is_busy())
        busy_.insert(organisation);
    else
        busy_.erase(organisation);
}

// A grant expires before the lease and before the loans that its tokens come from. A grant for
// waiting callers only is spent on arrival; a longer lifetime would only keep the bucket from
// accruing, because outstanding tokens count towards the burst.
duration limit_holder::grant_lifetime(const context& at, const waiting_request& waiting,
                                      bool uses_borrowed) const
{
    const grant_request& request = waiting.request;
    duration lifetime = std::min(request.lifetime, max_token_lifetime);
    if (request.prefetch == 0)
        lifetime = std::min(lifetime, at.now - waiting.received + waiting_grant_lifetime);
    lifetime = std::min(lifetime, max_lifetime_within(share_end(at.now) - at.now));
    if (uses_borrowed) {
        for (const borrowed_tokens& it : at.state.borrowed)
            lifetime = std::min(lifetime, max_lifetime_within(it.until - at.now));
    }
    return lifetime;
}

// Grants `tokens`, borrowed ones first. Returns false and does nothing if their lifetime would be
// zero.
bool limit_holder::send_grant(context& at, const waiting_request& waiting, std::uint32_t tokens,
                              duration retry_after)
{
    const micro_tokens amount = tokens * one_token;
    const micro_tokens borrowed = std::min(at.state.borrowed_total(), amount);
    const duration lifetime = grant_lifetime(at, waiting, borrowed > 0);
    if (lifetime <= duration::zero())
        return false;
    micro_tokens rest = borrowed;
    for (borrowed_tokens& it : at.state.borrowed) {
        const micro_tokens used = std::min(rest, it.amount);
        it.amount -= used;
        rest -= used;
    }
    std::erase_if(at.state.borrowed, [](const borrowed_tokens& it) { return it.amount == 0; });
    at.slot.bucket.issue(amount - borrowed);
    if (tokens > 0)
        record_issued({.to = waiting.from, .number = waiting.request.number},
                      {.organisation = at.slot.contract.organisation,
                       .own = amount - borrowed,
                       .tokens = tokens,
                       .write_off_at = at.now + with_drift_margin(lifetime)});
    at.out.push_back({waiting.from.vm, grant{.number = waiting.request.number,
                                             .status = grant_status::granted,
                                             .tokens = tokens,
                                             .lifetime = lifetime,
                                             .retry_after = retry_after}});
    ++counts_.grants;
    return true;
}

// Grants in order of arrival. Prefetched tokens are granted only while less than half of the burst
// is outstanding, so that unspent tokens on entry nodes never stop the bucket from accruing.
void limit_holder::grant_waiting(context& at)
{
    token_bucket& bucket = at.slot.bucket;
    while (!at.state.waiting.empty()) {
        const waiting_request& head = at.state.waiting.front();
        const micro_tokens need = head.request.need * one_token;
        const micro_tokens borrowed_total = at.state.borrowed_total();
        if (bucket.tokens() + borrowed_total < need)
            return;
        const micro_tokens spare =
            bucket.tokens() - std::max<micro_tokens>(0, need - borrowed_total);
        const micro_tokens allowance = bucket.part().burst / 2 - bucket.outstanding();
        const micro_tokens prefetch = std::clamp<micro_tokens>(
            std::min(spare, allowance) / one_token, 0, head.request.prefetch);
        if (!send_grant(at, head, head.request.need + static_cast<std::uint32_t>(prefetch), {}))
            answer_with_available(at, head);
        at.state.waiting.pop_front();
        --waiting_count_;
    }
}

// Grants the tokens that are available, or answers with the time until which there are none; the
// entry node refuses requests locally until then.
void limit_holder::answer_with_available(context& at, const waiting_request& waiting)
{
    const micro_tokens available = at.slot.bucket.tokens() + at.state.borrowed_total();
    const auto whole = static_cast<std::uint32_t>(
        std::min<micro_tokens>(available / one_token, waiting.request.need));
    const duration retry_after = retry_time(at, waiting.request.need);
    if (whole > 0 && send_grant(at, waiting, whole, retry_after))
        return;
    at.out.push_back({waiting.from.vm, grant{.number = waiting.request.number,
                                             .status = grant_status::empty,
                                             .retry_after = retry_after}});
    ++counts_.refusals;
}

// Loans make the tokens of the other domains available, so the next token is expected at the rate
// of the whole contract. Under overload, each refused request gets a retry time one token later
// than the previous one, so that entry nodes send about as many requests as there are tokens.
duration limit_holder::retry_time(context& at, std::uint32_t need)
{
    const double rate = static_cast<double>(at.slot.contract.rate) / one_token;
    const micro_tokens missing =
        std::max<micro_tokens>(0, one_token - at.slot.bucket.tokens() % one_token);
    const time_point first = at.now + accrual_time(missing, rate);
    const time_point retry_at = std::max(first, at.state.announced_until);
    if (at.state.demand.per_second(at.now) >= overload_demand * rate)
        at.state.announced_until =
            std::min(at.now + max_retry_after, retry_at + accrual_time(need * one_token, rate));
    return std::clamp<duration>(retry_at - at.now, min_retry_after, max_retry_after);
}

// A request keeps waiting only while a loan is pending or the own bucket will have enough tokens in
// time.
void limit_holder::answer_unsatisfiable_requests(context& at)
{
    const bool may_get_loan = !at.state.pending_loans.empty();
    micro_tokens before = 0;
    std::deque<waiting_request> kept;
    for (const waiting_request& it : at.state.waiting) {
        before += it.request.need * one_token;
        const duration accrual = at.slot.bucket.time_until(before - at.state.borrowed_total());
        if (it.until > at.now && (may_get_loan || accrual <= it.until - at.now)) {
            kept.push_back(it);
            continue;
        }
        answer_with_available(at, it);
        before -= it.request.need * one_token;
        --waiting_count_;
    }
    at.state.waiting = std::move(kept);
}

// ---- loans, as borrower ----

// Estimates what a lender can lend by now, assuming that its part is about as large as the own one.
micro_tokens limit_holder::estimate_lendable(const context& at, const lender_view& lender)
{
    const rate_part& part = at.slot.bucket.part();
    const double seconds = std::chrono::duration<double>(at.now - lender.remaining_at).count();
    const double gain =
        std::min(static_cast<double>(part.burst), static_cast<double>(part.rate) * seconds);
    return std::min(part.burst, lender.remaining + static_cast<micro_tokens>(gain));
}

// The lender with the highest estimate of those that are not in backoff and have no such request
// pending.
limit_holder::lender_view* limit_holder::best_lender(const context& at, bool urgent)
{
    lender_view* best = nullptr;
    for (lender_view& it : at.state.lenders) {
        const auto is_pending = [&](const pending_loan& pending) {
            return pending.lender == it.vm && pending.urgent == urgent;
        };
        if ((urgent ? it.next_urgent_at : it.next_prefetch_at) > at.now ||
            std::ranges::any_of(at.state.pending_loans, is_pending))
            continue;
        if (best == nullptr || estimate_lendable(at, it) > estimate_lendable(at, *best))
            best = &it;
    }
    return best;
}

// While the first waiting request has time for two round trips, lenders are tried until the
// estimates cover what is missing. After that, all remaining ones are requested at once, as the
// round trips between domains must not add up. Tokens that are not needed are returned.
void limit_holder::borrow_for_waiting(context& at)
{
    const micro_tokens available = at.slot.bucket.tokens() + at.state.borrowed_total();
    micro_tokens missing =
        at.state.needed_by_waiting() - available - at.state.requested_from_lenders(true);
    if (missing <= 0)
        return;
    const bool has_time = at.state.waiting.front().until - at.now >= 2 * loan_round_trip;
    while (lender_view* lender = best_lender(at, true)) {
        const micro_tokens estimated = estimate_lendable(at, *lender);
        request_loan(at, *lender, missing, true);
        if (has_time && estimated >= missing)
            return;
        if (has_time)
            missing -= estimated;
    }
}

// Borrows tokens for the demand expected soon, as far as the own bucket has headroom. Not done for
// small demand: most of its requests find a token in the own bucket, and the others wait for a
// loan.
void limit_holder::borrow_in_advance(context& at)
{
    const double demand = at.state.demand.per_second(at.now);
    if (demand < min_prefetch_demand || !at.state.pending_loans.empty())
        return;
    const token_bucket& bucket = at.slot.bucket;
    const micro_tokens target = near_future_demand(demand);
    if (bucket.tokens() >= target / 2)
        return;
    const micro_tokens wanted = std::min(target - bucket.tokens(), bucket.headroom());
    lender_view* best = best_lender(at, false);
    if (best != nullptr && wanted > 0 &&
        estimate_lendable(at, *best) >= std::max(wanted, one_token) / 2)
        request_loan(at, *best, wanted, false);
}

void limit_holder::request_loan(context& at, lender_view& lender, micro_tokens wanted, bool urgent)
{
    const std::uint64_t number = next_loan_number_++;
    at.state.pending_loans.push_back({.number = number,
                                      .lender = lender.vm,
                                      .wanted = wanted,
                                      .urgent = urgent,
                                      .sent = at.now});
    at.out.push_back({lender.vm, loan_request{.number = number,
                                              .organisation = at.slot.contract.organisation,
                                              .wanted = wanted,
                                              .lifetime = options_.loan_lifetime,
                                              .urgent = urgent}});
    ++counts_.loans_requested;
}

void limit_holder::receive(limit_peer from, const loan& message, time_point now, limit_outbox& out)
{
    apply_expired_terms(now);
    write_off_expired(now);
    contract_bucket* slot = find(message.organisation);
    const auto found = active_.find(message.organisation);
    if (slot == nullptr || found == active_.end())
        return;
    organisation_state& state = found->second;
    const auto pending = std::ranges::find_if(state.pending_loans, [&](const pending_loan& it) {
        return it.number == message.number && it.lender == from.vm;
    });
    if (pending == state.pending_loans.end())
        return;
    const pending_loan request = *pending;
    state.pending_loans.erase(pending);
    update_lender_backoff(state, request, message, now);
    const time_point until = request.sent + std::min(message.lifetime, options_.loan_lifetime);
    const micro_tokens amount = std::min(message.amount, request.wanted);
    slot->bucket.accrue(now);
    context at{.slot = *slot, .state = state, .now = now, .out = out};
    if (amount > 0 && until > now)
        state.borrowed.push_back(
            {.lender = from.vm, .number = message.number, .amount = amount, .until = until});
    finish_event(at);
}

// A lender that can't meet an urgent request is put into a backoff that doubles each time, so that
// loan requests soon stop under overload. Tokens that it keeps for its own demand matter only to
// loans in advance.
void limit_holder::update_lender_backoff(organisation_state& it, const pending_loan& request,
                                         const loan& answer, time_point now)
{
    const auto lender = std::ranges::find(it.lenders, request.lender, &lender_view::vm);
    if (lender == it.lenders.end())
        return;
    lender->remaining = answer.remaining;
    lender->remaining_at = now;
    const bool is_met = answer.amount >= request.wanted;
    if (!is_met)
        lender->next_prefetch_at =
            now + std::clamp<duration>(answer.retry_after, min_retry_after, max_retry_after);
    if (!request.urgent)
        return;
    lender->urgent_failures =
        is_met ? 0 : std::min(lender->urgent_failures + 1, max_backoff_doublings);
    if (!is_met)
        lender->next_urgent_at = now + min_retry_after * (1U << lender->urgent_failures);
}

// Borrowed tokens that fit into the own bucket are moved there and then don't expire. The lender
// counts them as outstanding until the end of the loan, which only delays its accrual. The rest are
// granted to waiting requests.
void limit_holder::absorb_loans(context& at)
{
    if (share_at(at.now) == 0)
        return;
    at.state.drop_expired_loans(at.now);
    for (borrowed_tokens& it : at.state.borrowed)
        it.amount -= at.slot.bucket.add_capped(it.amount);
    std::erase_if(at.state.borrowed, [](const borrowed_tokens& it) { return it.amount == 0; });
    grant_waiting(at);
}

void limit_holder::return_unused_loans(context& at)
{
    std::erase_if(at.state.borrowed, [&](const borrowed_tokens& it) {
        if (!at.state.waiting.empty() && it.until - at.now >= min_grantable_lifetime)
            return false;
        at.out.push_back({it.lender, loan_return{.number = it.number,
                                                 .organisation = at.slot.contract.organisation,
                                                 .amount = it.amount}});
        return true;
    });
}

void limit_holder::expire_loan_requests(context& at)
{
    std::erase_if(at.state.pending_loans, [&](const pending_loan& request) {
        if (at.now < request.sent + options_.loan_lifetime)
            return false;
        for (lender_view& it : at.state.lenders) {
            if (it.vm == request.lender)
                it.next_urgent_at = it.next_prefetch_at = at.now + unresponsive_lender_backoff;
        }
        return true;
    });
}

// ---- loans, as lender ----

// For a request that is not urgent, the lender keeps the tokens for its own expected demand. Tokens
// for its own waiting requests are kept in any case.
micro_tokens limit_holder::lendable_tokens(const contract_bucket& slot, bool urgent,
                                           time_point now) const
{
    micro_tokens kept = 0;
    const auto it = active_.find(slot.contract.organisation);
    if (it != active_.end()) {
        kept = it->second.needed_by_waiting();
        if (!urgent)
            kept = std::max(kept, near_future_demand(it->second.demand.per_second(now)));
    }
    return std::max<micro_tokens>(0, slot.bucket.tokens() - kept);
}

// Time until the missing tokens have accrued from the part of the rate that the own domain doesn't
// use. The lower bound of 20 ms is longer than the round trip of a loan.
duration limit_holder::loan_retry_after(const contract_bucket& slot, micro_tokens missing,
                                        time_point now) const
{
    const auto it = active_.find(slot.contract.organisation);
    const double used = it == active_.end() ? 0 : it->second.demand.per_second(now);
    const double own = static_cast<double>(slot.bucket.part().rate) / one_token;
    return std::clamp<duration>(accrual_time(missing, own - used), 20ms, max_retry_after);
}

void limit_holder::receive(limit_peer from, const loan_request& request, time_point now,
                           limit_outbox& out)
{
    apply_expired_terms(now);
    write_off_expired(now);
    const issued_key key{.to = from, .number = request.number, .is_loan = true};
    if (issued_.contains(key))
        return;
    loan answer{.number = request.number, .organisation = request.organisation};
    contract_bucket* slot = find(request.organisation);
    if (slot == nullptr || share_at(now) == 0 || issued_.size() >= options_.max_outstanding) {
        answer.retry_after = max_retry_after;
        out.push_back({from.vm, answer});
        return;
    }
    slot->bucket.accrue(now);
    answer.lifetime = std::min(
        {request.lifetime, options_.loan_lifetime, max_lifetime_within(share_end(now) - now)});
    const micro_tokens wanted = std::max<micro_tokens>(0, request.wanted);
    if (answer.lifetime > duration::zero())
        answer.amount = std::min(wanted, lendable_tokens(*slot, request.urgent, now));
    if (answer.amount > 0) {
        slot->bucket.issue(answer.amount);
        record_issued(key, {.organisation = request.organisation,
                            .own = answer.amount,
                            .write_off_at = now + with_drift_margin(answer.lifetime)});
        ++counts_.loans_granted;
    }
    answer.remaining = lendable_tokens(*slot, false, now);
    if (answer.amount < wanted)
        answer.retry_after = loan_retry_after(*slot, wanted - answer.amount, now);
    out.push_back({from.vm, answer});
}

// A loan is closed by its first return, so a repeated one changes nothing. Tokens that the borrower
// kept remain outstanding until the end of the loan.
void limit_holder::receive(limit_peer from, const loan_return& message, time_point now)
{
    apply_expired_terms(now);
    write_off_expired(now);
    const auto it = issued_.find({.to = from, .number = message.number, .is_loan = true});
    if (it == issued_.end() || it->second.is_closed)
        return;
    const micro_tokens amount = std::clamp<micro_tokens>(message.amount, 0, it->second.own);
    it->second.is_closed = true;
    it->second.own -= amount;
    if (contract_bucket* slot = find(it->second.organisation))
        slot->bucket.return_unspent(amount, now);
}

// ---- time ----

void limit_holder::tick(time_point now, limit_outbox& out)
{
    apply_expired_terms(now);
    write_off_expired(now);
    const std::vector<organisation_id> busy(busy_.begin(), busy_.end());
    for (organisation_id organisation : busy) {
        contract_bucket* slot = find(organisation);
        if (slot == nullptr) {
            waiting_count_ -= active_.at(organisation).waiting.size();
            active_.erase(organisation);
            busy_.erase(organisation);
            continue;
        }
        slot->bucket.accrue(now);
        context at{.slot = *slot, .state = active_.at(organisation), .now = now, .out = out};
        expire_loan_requests(at);
        finish_event(at);
    }
    remove_idle_organisations(now);
}

void limit_holder::remove_idle_organisations(time_point now)
{
    if (now < next_sweep_)
        return;
    next_sweep_ = now + sweep_interval;
    std::erase_if(active_, [&](const auto& entry) {
        return !entry.second.is_busy() && entry.second.demand.per_second(now) < idle_demand;
    });
}

time_point limit_holder::next_deadline(time_point now) const
{
    time_point next = time_point::max();
    for (organisation_id organisation : busy_) {
        const organisation_state& it = active_.at(organisation);
        if (!it.waiting.empty())
            next = std::min(next, now + std::chrono::milliseconds(1));
        for (const pending_loan& pending : it.pending_loans)
            next = std::min(next, pending.sent + options_.loan_lifetime);
        for (const borrowed_tokens& borrowed : it.borrowed)
            next = std::min(next, borrowed.until);
    }
    return next;
}

} // namespace jasminebank
