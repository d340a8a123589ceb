#include "limit_holder.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

constexpr duration longest_retry = 1s;
constexpr duration shortest_retry = 5ms;
constexpr duration lender_silence = 200ms;      // a lender that did not answer is left alone
constexpr duration least_loan_remainder = 40ms; // borrowed tokens with less life aren't granted
constexpr duration sweep_interval = 1s;
constexpr double ahead_seconds = 0.2;      // demand that a holder keeps tokens ready for
constexpr double excess_demand = 0.9;      // of the rate; from there on retry times are spread
constexpr duration answer_time = 40ms;     // life of a grant for waiting callers, after the answer
constexpr double least_ahead_demand = 1.0; // requests a second; below it nothing is borrowed ahead
constexpr std::uint32_t max_failures = 8;  // doublings of a lender's rest
constexpr duration loan_round_trip = 12ms; // between domains
constexpr double least_demand = 0.0001;    // requests a second; below it nothing is kept

// Demand of the near future, and up to one request more.
micro_tokens demand_tokens(double per_second)
{
    const double tokens = per_second * ahead_seconds + std::min(per_second, 1.0);
    return static_cast<micro_tokens>(tokens * one_token);
}

duration time_for(micro_tokens amount, double tokens_per_second)
{
    if (tokens_per_second <= 0)
        return longest_retry;
    const double seconds = static_cast<double>(amount) / one_token / tokens_per_second;
    return seconds >= 1 ? longest_retry : duration(static_cast<std::int64_t>(seconds * 1e9));
}

} // namespace

limit_holder::limit_holder(const limit_holder_options& options, time_point now)
    : options_(options), next_loan_(options.first_loan), next_sweep_(now + sweep_interval)
{
}

micro_tokens limit_holder::active::pool() const
{
    micro_tokens sum = 0;
    for (const borrowed_tokens& it : borrowed)
        sum += it.amount;
    return sum;
}

void limit_holder::active::drop_expired_loans(time_point now)
{
    std::erase_if(borrowed, [&](const borrowed_tokens& it) { return it.until <= now; });
}

micro_tokens limit_holder::active::expected(bool urgent) const
{
    micro_tokens sum = 0;
    for (const borrowing& it : asked)
        sum += it.urgent == urgent ? it.wanted : 0;
    return sum;
}

micro_tokens limit_holder::active::needed() const
{
    micro_tokens sum = 0;
    for (const waiting_request& it : waiting)
        sum += it.request.need * one_token;
    return sum;
}

// ---- contracts and mandate ----

// Buckets of contracts that stay keep their tokens up to the new cap. A contract that is gone keeps
// an empty bucket while tokens of it may be unspent, so that its return can't double them.
void limit_holder::set_contracts(std::span<const rate_contract> contracts, time_point now)
{
    refresh(now);
    write_off(now);
    std::vector<slot> old = std::move(slots_);
    slots_.clear();
    slots_.reserve(contracts.size());
    auto kept = old.begin();
    const auto keep_until = [&](organisation_id limit) {
        for (; kept != old.end() && kept->contract.organisation < limit; ++kept) {
            kept->contract.rate = kept->contract.burst = 0;
            kept->bucket.change_part({}, now);
            if (kept->bucket.outstanding() > 0)
                slots_.push_back(*kept);
        }
    };
    for (const rate_contract& it : contracts) {
        keep_until(it.organisation);
        const rate_part part =
            share_of(part_of(it, options_.domain, options_.domains), applied_share_);
        if (kept != old.end() && kept->contract.organisation == it.organisation) {
            kept->bucket.change_part(part, now);
            slots_.push_back({.contract = it, .bucket = kept->bucket});
            ++kept;
        }
        else {
            slots_.push_back({.contract = it, .bucket = token_bucket(part, now)});
        }
    }
    keep_until(organisation_id{~std::uint64_t{0}});
}

void limit_holder::set_terms(const mandate_terms& terms, time_point now)
{
    refresh(now);
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

// A contract with a home elsewhere has no part here.
bool limit_holder::owns(const slot& it) const
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

// Every call passes here first: a holder that was paused past its mandate's end falls back to its
// reserve before it gives anything, and accrues at the full rate only up to that end.
void limit_holder::refresh(time_point now)
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
    for (slot& it : slots_) {
        const rate_part part = part_of(it.contract, options_.domain, options_.domains);
        it.bucket.change_part(share_of(part, share), at);
    }
}

// ---- what was given out ----

void limit_holder::remember(const given_key& key, const given& it)
{
    given_.emplace(key, it);
    expiries_.push({.at = it.write_off, .key = key});
}

// Past its life and the guard, a grant or loan can't be spent any more, whether reported or not.
void limit_holder::write_off(time_point now)
{
    while (!expiries_.empty() && expiries_.top().at <= now) {
        const given_key key = expiries_.top().key;
        const time_point at = expiries_.top().at;
        expiries_.pop();
        const auto it = given_.find(key);
        if (it == given_.end() || it->second.write_off != at)
            continue;
        if (slot* owner = find(it->second.organisation))
            owner->bucket.settle(it->second.own, at);
        given_.erase(it);
    }
}

// The report is cumulative, so a repeated or late one changes nothing. Spent tokens count as
// borrowed ones first: of n unspent, up to n may be of the own bucket.
void limit_holder::settle_spent(const given_key& key, std::uint32_t spent, time_point now)
{
    const auto it = given_.find(key);
    if (it == given_.end())
        return;
    given& grant = it->second;
    const micro_tokens unspent = (grant.tokens - std::min(spent, grant.tokens)) * one_token;
    const micro_tokens settled = grant.own - std::min(grant.own, unspent);
    if (slot* owner = find(grant.organisation))
        owner->bucket.settle(settled, now);
    grant.own -= settled;
}

bool limit_holder::is_settled(time_point now)
{
    write_off(now);
    return given_.empty();
}

micro_tokens limit_holder::spendable(organisation_id organisation, time_point now)
{
    refresh(now);
    write_off(now);
    slot* owner = find(organisation);
    if (owner == nullptr || share_at(now) == 0)
        return 0;
    owner->bucket.accrue(now);
    const auto it = active_.find(organisation);
    if (it == active_.end())
        return owner->bucket.tokens();
    it->second.drop_expired_loans(now);
    return owner->bucket.tokens() + it->second.pool();
}

limit_holder::slot* limit_holder::find(organisation_id organisation)
{
    const auto it = std::ranges::lower_bound(slots_, organisation, {},
                                             [](const slot& s) { return s.contract.organisation; });
    return it == slots_.end() || it->contract.organisation != organisation ? nullptr : &*it;
}

limit_holder::active& limit_holder::activate(organisation_id organisation)
{
    active& it = active_[organisation];
    const slot* owner = find(organisation);
    const bool has_lenders = owner != nullptr && owner->contract.home == no_home;
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
    refresh(now);
    write_off(now);
    settle_spent({.to = from, .number = request.settled}, request.spent, now);
    slot* owner = find(request.organisation);
    if (owner == nullptr || share_at(now) == 0 || !owns(*owner)) {
        out.push_back({from.vm, grant{.number = request.number,
                                      .status = grant_status::not_holder,
                                      .retry_after = longest_retry}});
        return;
    }
    context at{.owner = *owner, .state = activate(request.organisation), .now = now, .out = out};
    owner->bucket.accrue(now);
    const auto is_same = [&](const waiting_request& it) {
        return it.from == from && it.request.number == request.number;
    };
    if (given_.contains({.to = from, .number = request.number}) ||
        std::ranges::any_of(at.state.waiting, is_same))
        return;
    at.state.demand.add(request.need + request.ahead, now);
    const waiting_request waiting{
        .from = from,
        .request = request,
        .received = now,
        .until = now + std::clamp<duration>(request.patience, duration::zero(), max_token_life)};
    if (waiting_count_ >= options_.max_waiting || given_.size() >= options_.max_outstanding) {
        end_wait(at, waiting);
        return;
    }
    at.state.waiting.push_back(waiting);
    ++waiting_count_;
    finish(at);
}

void limit_holder::receive(limit_peer from, const grant_return& message, time_point now)
{
    refresh(now);
    write_off(now);
    const given_key key{.to = from, .number = message.number};
    settle_spent(key, message.spent, now);
    const auto it = given_.find(key);
    if (it == given_.end())
        return;
    if (slot* owner = find(it->second.organisation))
        owner->bucket.put_back(it->second.own, now);
    given_.erase(it);
}

// Common end of every event of one organisation: serve whom it can, look for tokens, refuse those
// for whom none can come in time.
void limit_holder::finish(context& at)
{
    const organisation_id organisation = at.owner.contract.organisation;
    take_in(at);
    borrow_for_waiting(at);
    end_hopeless_waits(at);
    return_unused(at);
    borrow_ahead(at);
    if (at.state.is_busy())
        busy_.insert(organisation);
    else
        busy_.erase(organisation);
}

// A grant ends before the mandate and before the loan that it is made of. One for callers that wait
// is spent on arrival, so it need not live, and keep the bucket from accruing, any longer.
duration limit_holder::grant_life(const context& at, const waiting_request& waiting,
                                  bool uses_borrowed) const
{
    const grant_request& request = waiting.request;
    duration life = std::min(request.life, max_token_life);
    if (request.ahead == 0)
        life = std::min(life, at.now - waiting.received + answer_time);
    life = std::min(life, fitting_life(share_end(at.now) - at.now));
    if (uses_borrowed) {
        for (const borrowed_tokens& it : at.state.borrowed)
            life = std::min(life, fitting_life(it.until - at.now));
    }
    return life;
}

// Gives `tokens`, borrowed ones first. False, and nothing done, if they could not live at all.
bool limit_holder::give(context& at, const waiting_request& waiting, std::uint32_t tokens,
                        duration retry_after)
{
    const micro_tokens amount = tokens * one_token;
    const micro_tokens borrowed = std::min(at.state.pool(), amount);
    const duration life = grant_life(at, waiting, borrowed > 0);
    if (life <= duration::zero())
        return false;
    micro_tokens rest = borrowed;
    for (borrowed_tokens& it : at.state.borrowed) {
        const micro_tokens used = std::min(rest, it.amount);
        it.amount -= used;
        rest -= used;
    }
    std::erase_if(at.state.borrowed, [](const borrowed_tokens& it) { return it.amount == 0; });
    at.owner.bucket.take_out(amount - borrowed);
    if (tokens > 0)
        remember({.to = waiting.from, .number = waiting.request.number},
                 {.organisation = at.owner.contract.organisation,
                  .own = amount - borrowed,
                  .tokens = tokens,
                  .write_off = at.now + guarded(life)});
    at.out.push_back({waiting.from.vm, grant{.number = waiting.request.number,
                                             .status = grant_status::granted,
                                             .tokens = tokens,
                                             .life = life,
                                             .retry_after = retry_after}});
    ++counts_.grants;
    return true;
}

// In order of arrival. Tokens ahead of demand go only from the lower half of what may be out, so
// that what entries hoard never stops the bucket from accruing.
void limit_holder::serve(context& at)
{
    token_bucket& bucket = at.owner.bucket;
    while (!at.state.waiting.empty()) {
        const waiting_request& head = at.state.waiting.front();
        const micro_tokens need = head.request.need * one_token;
        const micro_tokens pool = at.state.pool();
        if (bucket.tokens() + pool < need)
            return;
        const micro_tokens spare = bucket.tokens() - std::max<micro_tokens>(0, need - pool);
        const micro_tokens allowance = bucket.part().burst / 2 - bucket.outstanding();
        const micro_tokens ahead =
            std::clamp<micro_tokens>(std::min(spare, allowance) / one_token, 0, head.request.ahead);
        if (!give(at, head, head.request.need + static_cast<std::uint32_t>(ahead), {}))
            end_wait(at, head);
        at.state.waiting.pop_front();
        --waiting_count_;
    }
}

// Gives what there is, or an honest "none until": the entry refuses by itself until then.
void limit_holder::end_wait(context& at, const waiting_request& waiting)
{
    const micro_tokens here = at.owner.bucket.tokens() + at.state.pool();
    const auto whole =
        static_cast<std::uint32_t>(std::min<micro_tokens>(here / one_token, waiting.request.need));
    const duration retry_after = retry_time(at, waiting.request.need);
    if (whole > 0 && give(at, waiting, whole, retry_after))
        return;
    at.out.push_back({waiting.from.vm, grant{.number = waiting.request.number,
                                             .status = grant_status::empty,
                                             .retry_after = retry_after}});
    ++counts_.refusals;
}

// Loans bring the other domains' tokens, so the next one comes at the rate of the whole contract.
// Under an excess of demand each refused entry is sent to the token after the one promised before,
// so that entries ask about as often as there are tokens.
duration limit_holder::retry_time(context& at, std::uint32_t need)
{
    const double rate = static_cast<double>(at.owner.contract.rate) / one_token;
    const micro_tokens missing =
        std::max<micro_tokens>(0, one_token - at.owner.bucket.tokens() % one_token);
    const time_point first = at.now + time_for(missing, rate);
    const time_point promised = std::max(first, at.state.promised_until);
    if (at.state.demand.per_second(at.now) >= excess_demand * rate)
        at.state.promised_until =
            std::min(at.now + longest_retry, promised + time_for(need * one_token, rate));
    return std::clamp<duration>(promised - at.now, shortest_retry, longest_retry);
}

// A request waits on only while a loan is on its way or the own bucket fills in time.
void limit_holder::end_hopeless_waits(context& at)
{
    const bool may_get_loan = !at.state.asked.empty();
    micro_tokens before = 0;
    std::deque<waiting_request> kept;
    for (const waiting_request& it : at.state.waiting) {
        before += it.request.need * one_token;
        const duration accrual = at.owner.bucket.time_until(before - at.state.pool());
        if (it.until > at.now && (may_get_loan || accrual <= it.until - at.now)) {
            kept.push_back(it);
            continue;
        }
        end_wait(at, it);
        before -= it.request.need * one_token;
        --waiting_count_;
    }
    at.state.waiting = std::move(kept);
}

// ---- loans, as borrower ----

// What a lender may have by now: its part is about as large as the own one.
micro_tokens limit_holder::estimate(const context& at, const lender_view& lender)
{
    const rate_part& part = at.owner.bucket.part();
    const double seconds = std::chrono::duration<double>(at.now - lender.left_at).count();
    const double gain =
        std::min(static_cast<double>(part.burst), static_cast<double>(part.rate) * seconds);
    return std::min(part.burst, lender.left + static_cast<micro_tokens>(gain));
}

// The one that may have most, of those that may be asked and are not asked yet.
limit_holder::lender_view* limit_holder::best_lender(const context& at, bool urgent)
{
    lender_view* best = nullptr;
    for (lender_view& it : at.state.lenders) {
        const auto is_asked = [&](const borrowing& asked) {
            return asked.lender == it.vm && asked.urgent == urgent;
        };
        if ((urgent ? it.urgent_again_at : it.ahead_again_at) > at.now ||
            std::ranges::any_of(at.state.asked, is_asked))
            continue;
        if (best == nullptr || estimate(at, it) > estimate(at, *best))
            best = &it;
    }
    return best;
}

// While the first caller has time for two rounds, one lender is asked; then all that are left at
// once, as hops across domains must not add up. What comes too much goes back.
void limit_holder::borrow_for_waiting(context& at)
{
    const micro_tokens here = at.owner.bucket.tokens() + at.state.pool();
    micro_tokens missing = at.state.needed() - here - at.state.expected(true);
    if (missing <= 0)
        return;
    const bool has_time = at.state.waiting.front().until - at.now >= 2 * loan_round_trip;
    while (lender_view* lender = best_lender(at, true)) {
        const micro_tokens hoped = estimate(at, *lender);
        ask(at, *lender, missing, true);
        if (has_time && hoped >= missing)
            return;
        if (has_time)
            missing -= hoped;
    }
}

// Keeps tokens ready for the demand of the near future, as far as the own cap has room. Small
// demand is not worth it: most of its requests find a token here, the others wait for a loan.
void limit_holder::borrow_ahead(context& at)
{
    const double demand = at.state.demand.per_second(at.now);
    if (demand < least_ahead_demand || !at.state.asked.empty())
        return;
    const token_bucket& bucket = at.owner.bucket;
    const micro_tokens target = demand_tokens(demand);
    if (bucket.tokens() >= target / 2)
        return;
    const micro_tokens wanted = std::min(target - bucket.tokens(), bucket.room());
    lender_view* best = best_lender(at, false);
    if (best != nullptr && wanted > 0 && estimate(at, *best) >= std::max(wanted, one_token) / 2)
        ask(at, *best, wanted, false);
}

void limit_holder::ask(context& at, lender_view& lender, micro_tokens wanted, bool urgent)
{
    const std::uint64_t number = next_loan_++;
    at.state.asked.push_back({.number = number,
                              .lender = lender.vm,
                              .wanted = wanted,
                              .urgent = urgent,
                              .sent = at.now});
    at.out.push_back({lender.vm, loan_request{.number = number,
                                              .organisation = at.owner.contract.organisation,
                                              .wanted = wanted,
                                              .life = options_.loan_life,
                                              .urgent = urgent}});
    ++counts_.loans_asked;
}

void limit_holder::receive(limit_peer from, const loan& message, time_point now, limit_outbox& out)
{
    refresh(now);
    write_off(now);
    slot* owner = find(message.organisation);
    const auto found = active_.find(message.organisation);
    if (owner == nullptr || found == active_.end())
        return;
    active& state = found->second;
    const auto asked = std::ranges::find_if(state.asked, [&](const borrowing& it) {
        return it.number == message.number && it.lender == from.vm;
    });
    if (asked == state.asked.end())
        return;
    const borrowing request = *asked;
    state.asked.erase(asked);
    judge_lender(state, request, message, now);
    const time_point until = request.sent + std::min(message.life, options_.loan_life);
    const micro_tokens amount = std::min(message.amount, request.wanted);
    owner->bucket.accrue(now);
    context at{.owner = *owner, .state = state, .now = now, .out = out};
    if (amount > 0 && until > now)
        state.borrowed.push_back(
            {.lender = from.vm, .number = message.number, .amount = amount, .until = until});
    finish(at);
}

// A lender that can't meet an urgent request is left alone for longer each time, so that an excess
// of demand soon stops asking; what it keeps for its own demand counts only for loans ahead.
void limit_holder::judge_lender(active& it, const borrowing& request, const loan& answer,
                                time_point now)
{
    const auto lender = std::ranges::find(it.lenders, request.lender, &lender_view::vm);
    if (lender == it.lenders.end())
        return;
    lender->left = answer.left;
    lender->left_at = now;
    const bool is_met = answer.amount >= request.wanted;
    if (!is_met)
        lender->ahead_again_at =
            now + std::clamp<duration>(answer.retry_after, shortest_retry, longest_retry);
    if (!request.urgent)
        return;
    lender->failures = is_met ? 0 : std::min(lender->failures + 1, max_failures);
    if (!is_met)
        lender->urgent_again_at = now + shortest_retry * (1U << lender->failures);
}

// Borrowed tokens that fit under the own cap become own ones without expiry (the lender counts them
// as outstanding until the loan's end, which only delays it). Those left serve who waits.
void limit_holder::take_in(context& at)
{
    if (share_at(at.now) == 0)
        return;
    at.state.drop_expired_loans(at.now);
    for (borrowed_tokens& it : at.state.borrowed)
        it.amount -= at.owner.bucket.absorb(it.amount);
    std::erase_if(at.state.borrowed, [](const borrowed_tokens& it) { return it.amount == 0; });
    serve(at);
}

void limit_holder::return_unused(context& at)
{
    std::erase_if(at.state.borrowed, [&](const borrowed_tokens& it) {
        if (!at.state.waiting.empty() && it.until - at.now >= least_loan_remainder)
            return false;
        at.out.push_back({it.lender, loan_return{.number = it.number,
                                                 .organisation = at.owner.contract.organisation,
                                                 .amount = it.amount}});
        return true;
    });
}

void limit_holder::forget_unanswered(context& at)
{
    std::erase_if(at.state.asked, [&](const borrowing& request) {
        if (at.now < request.sent + options_.loan_life)
            return false;
        for (lender_view& it : at.state.lenders) {
            if (it.vm == request.lender)
                it.urgent_again_at = it.ahead_again_at = at.now + lender_silence;
        }
        return true;
    });
}

// ---- loans, as lender ----

// Without urgency the lender keeps what its own demand will want soon. Its own waiting callers go
// first in any case.
micro_tokens limit_holder::lendable(const slot& owner, bool urgent, time_point now) const
{
    micro_tokens kept = 0;
    const auto it = active_.find(owner.contract.organisation);
    if (it != active_.end()) {
        kept = it->second.needed();
        if (!urgent)
            kept = std::max(kept, demand_tokens(it->second.demand.per_second(now)));
    }
    return std::max<micro_tokens>(0, owner.bucket.tokens() - kept);
}

// The borrower may come back when what its own domain does not use has accrued.
duration limit_holder::lender_retry(const slot& owner, micro_tokens missing, time_point now) const
{
    const auto it = active_.find(owner.contract.organisation);
    const double used = it == active_.end() ? 0 : it->second.demand.per_second(now);
    const double own = static_cast<double>(owner.bucket.part().rate) / one_token;
    return std::clamp<duration>(time_for(missing, own - used), 20ms, longest_retry);
}

void limit_holder::receive(limit_peer from, const loan_request& request, time_point now,
                           limit_outbox& out)
{
    refresh(now);
    write_off(now);
    const given_key key{.to = from, .number = request.number, .is_loan = true};
    if (given_.contains(key))
        return;
    loan answer{.number = request.number, .organisation = request.organisation};
    slot* owner = find(request.organisation);
    if (owner == nullptr || share_at(now) == 0 || given_.size() >= options_.max_outstanding) {
        answer.retry_after = longest_retry;
        out.push_back({from.vm, answer});
        return;
    }
    owner->bucket.accrue(now);
    answer.life = std::min({request.life, options_.loan_life, fitting_life(share_end(now) - now)});
    const micro_tokens wanted = std::max<micro_tokens>(0, request.wanted);
    if (answer.life > duration::zero())
        answer.amount = std::min(wanted, lendable(*owner, request.urgent, now));
    if (answer.amount > 0) {
        owner->bucket.take_out(answer.amount);
        remember(key, {.organisation = request.organisation,
                       .own = answer.amount,
                       .write_off = now + guarded(answer.life)});
        ++counts_.loans_given;
    }
    answer.left = lendable(*owner, false, now);
    if (answer.amount < wanted)
        answer.retry_after = lender_retry(*owner, wanted - answer.amount, now);
    out.push_back({from.vm, answer});
}

// Counted once: a loan is closed by its first return. What the borrower kept stays outstanding
// until the loan's end.
void limit_holder::receive(limit_peer from, const loan_return& message, time_point now)
{
    refresh(now);
    write_off(now);
    const auto it = given_.find({.to = from, .number = message.number, .is_loan = true});
    if (it == given_.end() || it->second.is_closed)
        return;
    const micro_tokens amount = std::clamp<micro_tokens>(message.amount, 0, it->second.own);
    it->second.is_closed = true;
    it->second.own -= amount;
    if (slot* owner = find(it->second.organisation))
        owner->bucket.put_back(amount, now);
}

// ---- time ----

void limit_holder::tick(time_point now, limit_outbox& out)
{
    refresh(now);
    write_off(now);
    const std::vector<organisation_id> busy(busy_.begin(), busy_.end());
    for (organisation_id organisation : busy) {
        slot* owner = find(organisation);
        if (owner == nullptr) {
            waiting_count_ -= active_.at(organisation).waiting.size();
            active_.erase(organisation);
            busy_.erase(organisation);
            continue;
        }
        owner->bucket.accrue(now);
        context at{.owner = *owner, .state = active_.at(organisation), .now = now, .out = out};
        forget_unanswered(at);
        finish(at);
    }
    sweep(now);
}

void limit_holder::sweep(time_point now)
{
    if (now < next_sweep_)
        return;
    next_sweep_ = now + sweep_interval;
    std::erase_if(active_, [&](const auto& entry) {
        return !entry.second.is_busy() && entry.second.demand.per_second(now) < least_demand;
    });
}

time_point limit_holder::next_deadline(time_point now) const
{
    time_point next = time_point::max();
    for (organisation_id organisation : busy_) {
        const active& it = active_.at(organisation);
        if (!it.waiting.empty())
            next = std::min(next, now + std::chrono::milliseconds(1));
        for (const borrowing& asked : it.asked)
            next = std::min(next, asked.sent + options_.loan_life);
        for (const borrowed_tokens& borrowed : it.borrowed)
            next = std::min(next, borrowed.until);
    }
    return next;
}

} // namespace jasminebank
