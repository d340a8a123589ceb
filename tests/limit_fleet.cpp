#include "limit_fleet.h"

#include <algorithm>
#include <array>

namespace jasminebank::test {

namespace {

constexpr duration step_length = 2ms;
constexpr std::uint32_t shards = 1;

limit_lease_options lease_options(limit_peer self)
{
    return {.self = self,
            .ttl = 2s,
            .renew_interval = 600ms,
            .retry_interval = 200ms,
            .reserve_share = 128,
            .reserve_duration = 5s,
            .rank_delay = 100ms};
}

} // namespace

limit_fleet::limit_fleet(const fleet_shape& shape, std::uint64_t seed)
    : shape_(shape), random_(seed), store_(shape.domains)
{
    std::uint64_t vm = 1;
    for (std::uint32_t domain = 0; domain < shape.domains; ++domain) {
        for (std::uint32_t n = 0; n < shape.candidates; ++n)
            nodes_.push_back(make_candidate({vm++}, domain, 1));
        for (std::uint32_t n = 0; n < shape.entries; ++n) {
            node it;
            it.peer = {.vm = {vm++}, .run = {1}};
            it.domain = domain;
            it.entry.emplace(limit_entry_options{.shards = shards, .domain = domain});
            nodes_.push_back(std::move(it));
        }
    }
    for (node& it : nodes_) {
        it.offset = std::chrono::seconds(random_below(1000));
        it.drift_ppm =
            shape.faults.skewed_clocks ? static_cast<std::int64_t>(random_below(2000)) : 0;
        if (it.lease)
            it.lease.emplace(lease_options(it.peer), clock_of(it));
    }
    changes.emplace_back(duration::zero(), shape.contract);
}

limit_fleet::node limit_fleet::make_candidate(vm_id vm, std::uint32_t domain,
                                              std::uint64_t run) const
{
    node it;
    it.peer = {.vm = vm, .run = {run}};
    it.domain = domain;
    it.lease.emplace(lease_options(it.peer), time_point{});
    it.contract = it.next_contract = changes.empty() ? shape_.contract : changes.back().second;
    return it;
}

// Node clocks start at different times and run up to 0.2 % slower than true time, never faster,
// because the bound on the rate is checked against true time.
time_point limit_fleet::clock_of(const node& it) const
{
    return time_point(it.offset + now_ - now_ / 1'000'000 * it.drift_ppm);
}

void limit_fleet::run()
{
    while (now_ < shape_.length)
        step();
}

void limit_fleet::step()
{
    now_ += step_length;
    inject_faults();
    choose_demand();
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
        const delivery it = in_flight_.begin()->second;
        in_flight_.erase(in_flight_.begin());
        deliver(it);
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (is_running(nodes_[n]))
            tick_node(n);
    }
    if (now_ % 20ms == 0ns)
        probe();
}

void limit_fleet::admit_one()
{
    ++admitted;
    samples_.push_back({.at = now_, .amount = one_token});
}

// Queries copies of the holders, so that a frozen node keeps its state; it would read its clock
// first when it resumes.
void limit_fleet::probe()
{
    micro_tokens sum = 0;
    const organisation_id organisation = shape_.contract.organisation;
    for (const node& it : nodes_) {
        if (it.holder)
            sum += limit_holder(*it.holder).spendable(organisation, clock_of(it));
        if (it.entry)
            sum += it.entry->spendable(organisation, clock_of(it)) * one_token;
    }
    samples_.push_back({.at = now_, .amount = sum, .is_probe = true});
}

// Phases without demand fill the buckets, so that the burst after them comes close to the bound.
void limit_fleet::choose_demand()
{
    if (!shape_.is_bursting) {
        phase_demand_ = shape_.demand;
        return;
    }
    if (now_ < phase_end_)
        return;
    phase_end_ = now_ + std::chrono::milliseconds(50 + random_below(1500));
    constexpr std::array<double, 4> levels{0, 0, 0.5, 1};
    phase_demand_ = levels.at(random_below(levels.size())) * shape_.demand;
}

// ---- messages ----

void limit_fleet::schedule_delivery(const delivery& it)
{
    const bool is_store = it.is_to_store || std::holds_alternative<store_answer>(it.body);
    if (!is_store && chance(shape_.faults.lost))
        return;
    const int copies = !is_store && chance(shape_.faults.repeated) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        delivery copy = it;
        copy.at = now_ + 1ms + std::chrono::microseconds(random_below(9000));
        if (chance(shape_.faults.delayed))
            copy.at += std::chrono::milliseconds(random_below(1000));
        in_flight_.emplace(copy.at, copy);
    }
}

void limit_fleet::send(std::size_t from, const limit_outbox& out)
{
    for (const limit_outgoing& it : out) {
        const std::size_t to = index_of(it.to);
        if (cut_links_.contains({from, to}))
            continue;
        schedule_delivery({.from = nodes_[from].peer,
                           .to = to,
                           .to_peer = nodes_[to].peer,
                           .body = limit_message(it.body)});
    }
}

void limit_fleet::deliver(const delivery& it)
{
    if (it.is_to_store) {
        deliver_to_store(it);
        return;
    }
    node& to = nodes_[it.to];
    if (to.is_dead || to.peer != it.to_peer)
        return;
    if (now_ < to.frozen_until) {
        in_flight_.emplace(to.frozen_until, it);
        return;
    }
    limit_outbox out;
    deliver_to_node(to, it, out);
    send(it.to, out);
}

void limit_fleet::deliver_to_node(node& it, const delivery& message, limit_outbox& out)
{
    const time_point now = clock_of(it);
    if (const auto* answer = std::get_if<store_answer>(&message.body)) {
        if (answer->is_read)
            it.lease->observe(answer->record, answer->version, now);
        else
            it.lease->write_completed(answer->renewal, answer->outcome, answer->version, now);
    }
    if (const auto* past = std::get_if<lease_stop_notice>(&message.body))
        it.lease->holder_stopped(past->past);
    const auto* body = std::get_if<limit_message>(&message.body);
    if (body == nullptr)
        return;
    if (const auto* granted = std::get_if<grant>(body)) {
        limit_outcomes ended;
        if (it.entry)
            it.entry->receive(message.from, *granted, now, out, ended);
        count_outcomes(ended);
        return;
    }
    if (!it.holder)
        return;
    if (const auto* m = std::get_if<grant_request>(body))
        it.holder->receive(message.from, *m, now, out);
    if (const auto* m = std::get_if<grant_return>(body))
        it.holder->receive(message.from, *m, now);
    if (const auto* m = std::get_if<loan_request>(body))
        it.holder->receive(message.from, *m, now, out);
    if (const auto* m = std::get_if<loan>(body))
        it.holder->receive(message.from, *m, now, out);
    if (const auto* m = std::get_if<loan_return>(body))
        it.holder->receive(message.from, *m, now);
}

// The write takes effect even if its answer is lost.
void limit_fleet::deliver_to_store(const delivery& it)
{
    if (now_ < store_outage_end_ || now_ < nodes_[it.to_store_from].store_partition_until)
        return;
    const store_call& call = std::get<store_call>(it.body);
    store_entry& entry = store_[nodes_[it.to_store_from].domain];
    store_answer answer;
    answer.is_read = !call.write;
    answer.renewal = call.write ? call.write->record.renewal : 0;
    if (call.write && call.write->expected == entry.version) {
        takeovers += call.write->record.epoch > entry.record.epoch ? 1 : 0;
        entry = {.version = entry.version + 1, .record = call.write->record};
        answer.outcome = lease_write_outcome::written;
    }
    else if (call.write) {
        answer.outcome = lease_write_outcome::conflict;
    }
    answer.version = entry.version;
    answer.record = entry.record;
    if (!chance(shape_.faults.answer_lost))
        schedule_delivery({.from = {}, .to = it.to_store_from, .to_peer = it.from, .body = answer});
}

// ---- nodes ----

// Each node learns of a new holder with its own random delay.
void limit_fleet::refresh_known_holders(node& it)
{
    it.holders.resize(shape_.domains);
    for (std::uint32_t n = 0; n < shape_.domains; ++n) {
        if (it.holders[n].value == 0 || chance(0.003))
            it.holders[n] = store_[n].record.holder.vm;
    }
}

std::vector<vm_id> limit_fleet::lenders_of(const node& it) const
{
    std::vector<vm_id> out;
    for (std::uint32_t n = 0; n < shape_.domains; ++n) {
        if (n != it.domain && it.holders[n].value != 0)
            out.push_back(it.holders[n]);
    }
    return out;
}

void limit_fleet::tick_node(std::size_t index)
{
    node& it = nodes_[index];
    limit_outbox out;
    refresh_known_holders(it);
    if (it.lease) {
        tick_candidate(index, out);
    }
    else {
        limit_outcomes ended;
        it.entry->set_holders(0, it.holders);
        it.entry->tick(clock_of(it), out, ended);
        count_outcomes(ended);
        offer_demand(index);
    }
    send(index, out);
}

void limit_fleet::tick_candidate(std::size_t index, limit_outbox& out)
{
    node& it = nodes_[index];
    const time_point now = clock_of(it);
    lease_actions actions;
    if (chance(0.01) && now_ >= std::max(store_outage_end_, it.store_partition_until))
        it.lease->observe(store_[it.domain].record, store_[it.domain].version, now);
    it.lease->tick(static_cast<std::uint32_t>(index % 2), now, actions);
    for (const lease_action& action : actions) {
        if (const auto* retirement = std::get_if<lease_stop_notice>(&action)) {
            const std::size_t to = index_of(retirement->to);
            schedule_delivery(
                {.from = it.peer, .to = to, .to_peer = nodes_[to].peer, .body = *retirement});
            continue;
        }
        store_call call;
        if (const auto* write = std::get_if<lease_write>(&action))
            call.write = *write;
        schedule_delivery({.from = it.peer,
                           .to_store_from = index,
                           .is_to_store = true,
                           .to_peer = {},
                           .body = call});
    }
    if (now_ >= it.contract_at && it.contract != it.next_contract) {
        it.contract = it.next_contract;
        if (it.holder)
            it.holder->set_contracts({&it.contract, 1}, now);
    }
    if (it.lease->is_holder() && (!it.holder || it.holder_epoch != it.lease->epoch())) {
        it.holder_epoch = it.lease->epoch();
        const std::uint64_t first_loan_number = it.holder ? it.holder->next_loan_number() : 1;
        it.holder.emplace(limit_holder_options{.self = it.peer.vm,
                                               .domain = it.domain,
                                               .domains = shape_.domains,
                                               .first_loan_number = first_loan_number},
                          now);
        it.holder->set_contracts({&it.contract, 1}, now);
    }
    if (it.holder) {
        it.holder->set_terms(it.lease->terms(), now);
        it.holder->set_lenders(lenders_of(it));
        it.holder->tick(now, out);
    }
}

void limit_fleet::offer_demand(std::size_t index)
{
    node& it = nodes_[index];
    const double each = static_cast<double>(shape_.contract.rate) / one_token * phase_demand_ /
                        (shape_.domains * shape_.entries);
    std::poisson_distribution<int> arrivals(each *
                                            std::chrono::duration<double>(step_length).count());
    limit_outbox out;
    for (int n = arrivals(random_); n > 0; --n) {
        offered += now_ >= count_from ? 1 : 0;
        const limit_verdict verdict = it.entry->admit(shape_.contract, clock_of(it), out);
        if (std::holds_alternative<limit_admitted>(verdict))
            admit_one();
        else if (std::holds_alternative<limit_refused>(verdict))
            refused += now_ >= count_from ? 1 : 0;
    }
    send(index, out);
}

void limit_fleet::count_outcomes(const limit_outcomes& ended)
{
    for (const limit_outcome& it : ended) {
        if (std::holds_alternative<limit_admitted>(it.verdict))
            admit_one();
        else
            refused += now_ >= count_from ? 1 : 0;
    }
}

// ---- faults ----

void limit_fleet::inject_faults()
{
    const fleet_faults& faults = shape_.faults;
    const double step_seconds = std::chrono::duration<double>(step_length).count();
    if (now_ % 1s == 0ns) {
        cut_links_.clear();
        for (std::size_t a = 0; a < nodes_.size(); ++a) {
            for (std::size_t b = 0; b < nodes_.size(); ++b) {
                if (chance(faults.link_cut))
                    cut_links_.emplace(a, b);
            }
        }
    }
    if (now_ >= store_outage_end_ && chance(faults.store_outage * step_seconds / 2.5))
        store_outage_end_ = now_ + std::chrono::milliseconds(random_below(5000));
    if (chance(faults.freeze * step_seconds))
        nodes_[random_below(nodes_.size())].frozen_until =
            now_ + std::chrono::milliseconds(random_below(5000));
    if (chance(faults.store_partition * step_seconds))
        nodes_[random_below(nodes_.size())].store_partition_until =
            now_ + std::chrono::milliseconds(random_below(8000));
    node& victim = nodes_[random_below(nodes_.size())];
    if (victim.lease && chance(faults.release * step_seconds) && is_running(victim))
        victim.lease->release(clock_of(victim));
    if (victim.lease && chance(faults.kill * step_seconds)) {
        const node old = std::move(victim);
        victim = make_candidate(old.peer.vm, old.domain, old.peer.run.value + 1);
        victim.offset = old.offset;
        victim.drift_ppm = old.drift_ppm;
        victim.frozen_until = now_ + std::chrono::milliseconds(random_below(4000));
        victim.lease.emplace(lease_options(victim.peer), clock_of(victim));
        for (node& it : nodes_) {
            if (it.lease && chance(0.5))
                it.lease->observe_run(victim.peer, clock_of(it));
        }
    }
    if (chance(faults.change * step_seconds))
        change_contract();
}

// Holders apply a change up to 300 ms apart, frozen ones when they resume, before anything else.
void limit_fleet::change_contract()
{
    rate_contract next = shape_.contract;
    next.rate = static_cast<micro_tokens>(1 + random_below(2 * shape_.contract.rate));
    next.burst = static_cast<micro_tokens>(1 + random_below(2 * shape_.contract.burst));
    changes.emplace_back(now_, next);
    for (node& it : nodes_) {
        it.next_contract = next;
        it.contract_at = now_ + std::chrono::milliseconds(random_below(300));
    }
}

// A single pass over the samples: for each end of a window, the best start so far is kept.
micro_tokens limit_fleet::worst_excess(const rate_contract& bound, duration from, duration to) const
{
    __extension__ using wide = __int128;
    constexpr std::int64_t second = 1'000'000'000;
    const wide burst = wide(bound.burst) * second;
    wide spent = 0;
    wide lowest = 0;
    wide worst = -burst;
    bool is_first = true;
    for (const sample& it : samples_) {
        if (it.at < from || it.at >= to)
            continue;
        const wide line = spent - wide(bound.rate) * it.at.count();
        const wide amount = wide(it.amount) * second;
        lowest = is_first ? line : std::min(lowest, line);
        is_first = false;
        worst = std::max(worst, line - lowest + amount - burst);
        spent += it.is_probe ? 0 : amount;
    }
    return static_cast<micro_tokens>(worst > 0 ? worst / second + 1 : worst / second);
}

} // namespace jasminebank::test
