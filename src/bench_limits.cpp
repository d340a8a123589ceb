#include "bench_limits.h"

#include "limit_codec.h"
#include "limit_entry.h"
#include "limit_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace jasminebank {

namespace {

using namespace std::chrono_literals;

// Placement of the token buckets: a holder in each domain, one holder for the fleet, or a fixed
// part of each bucket on every entry node.
enum class scheme : std::uint8_t { domains, single_holder, static_split };

enum class scenario : std::uint8_t {
    even,
    uneven,
    moving,
    doubling,
    holder_restarted,
    holder_crashed,
    store_unavailable
};

struct limit_case {
    std::string name;
    std::uint32_t domains = 3;
    std::uint32_t entries = 10; // of each domain
    // Number of shards of the fleet's organisations and demand. Only one shard is simulated.
    std::uint32_t shards = 1;
    std::vector<double> demand{}; // requests/s of each organisation, in daytime
    std::size_t excessive = 0;    // organisation that sends ten times its rate
    bool has_excess = false;
    double load = 0.7; // demand divided by the contract's rate
    duration length = 30s;
};

// Requests and decisions of one organisation, compared with `exact`: a single bucket that sees all
// requests of the fleet without delay.
struct organisation_state {
    rate_contract contract;
    double demand = 0;
    std::vector<std::uint32_t> callers; // entry node of each connection
    token_bucket exact{{}, {}};
    std::uint64_t requested = 0;
    std::uint64_t admitted = 0;
    std::uint64_t exact_admitted = 0;
    std::uint64_t wrongly_refused = 0; // refused although the exact bucket admitted
    // Check of the bound "at most burst + rate * length in any time window": the lowest value so
    // far of admitted - rate * time, and the largest excess of a later value over it plus the
    // burst.
    double min_rate_line = 0;
    double max_excess = -1e18;
    bool is_first_admission = true;
};

struct node_state {
    limit_peer peer;
    std::uint32_t domain = 0;
    std::optional<limit_entry> entry;
    std::optional<limit_lease> lease;
    std::optional<limit_holder> holder;
    std::uint64_t holder_epoch = 0;
    std::uint64_t version = 0;
    bool is_crashed = false;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct store_record {
    std::uint64_t version = 0;
    lease_record record;
};

struct arrival {
    std::uint32_t organisation = 0;
};

struct delivery {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    limit_message body;
};

struct tick_event {};

struct scheduled_event {
    time_point at;
    std::uint64_t order = 0;
    std::variant<arrival, delivery, tick_event> event;
    bool operator>(const scheduled_event& other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct waiting_request {
    std::uint32_t organisation = 0;
    time_point since;
    bool is_exact_admitted = false;
};

constexpr time_point bench_start{1000s};
constexpr duration warm_up = 15s;
constexpr duration tick_length = 2ms;
constexpr duration hop_in_domain = 250us;
constexpr duration hop_between_domains = 4500us;
constexpr duration hotspot_interval = 5s;          // time that moving demand stays in one domain
constexpr double hotspot_share = 0.8;              // share of demand in that domain
constexpr std::uint32_t candidates_per_domain = 2; // for the holder's lease

// Discrete-event simulation of one fleet with one scheme and one scenario.
class limit_simulation {
public:
    limit_simulation(const limit_case& it, scheme bucket_scheme, scenario kind, std::uint64_t seed);
    void run(bench_report& report);

private:
    time_point end() const { return bench_start + warm_up + case_.length; }
    bool is_counted() const { return now_ >= bench_start + warm_up; }
    std::uint32_t holder_domains() const
    {
        return scheme_ == scheme::single_holder ? 1 : case_.domains;
    }
    void make_nodes();
    void make_organisations();
    void schedule(time_point at, const std::variant<arrival, delivery, tick_event>& event);
    void schedule_next_arrival(std::uint32_t organisation);
    std::uint32_t pick_entry(const organisation_state& it);
    double current_demand(const organisation_state& it) const;
    void on_arrival(std::uint32_t organisation);
    void on_delivery(const delivery& it);
    void on_tick();
    void tick_candidate(std::uint32_t index);
    void start_holder(node_state& it);
    void send(std::uint32_t from, const limit_outbox& out);
    void complete_requests(std::uint32_t index, const limit_outcomes& ended);
    void record_decision(std::uint32_t organisation, bool is_admitted, bool is_exact_admitted,
                         duration wait);
    void handle(std::uint32_t index, limit_message& body, limit_peer from, limit_outbox& out);
    std::vector<vm_id> holders() const;
    void apply_faults();
    void restart_holder();
    void report_figures(bench_report& report);
    void report_traffic(bench_report& report, const std::string& prefix);

    limit_case case_;
    scheme scheme_;
    scenario scenario_;
    std::mt19937_64 random_;
    time_point now_ = bench_start;
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events_;
    std::vector<node_state> nodes_; // holder candidates first, then entry nodes
    std::uint32_t first_entry_ = 0;
    std::vector<organisation_state> organisations_;
    std::vector<rate_contract> contracts_;                          // sorted
    std::map<organisation_id, std::uint32_t> index_of_;             // organisation to its index
    std::vector<std::map<std::uint64_t, waiting_request>> waiting_; // by node and ticket
    std::vector<store_record> store_;
    bool is_store_unavailable_ = false;
    std::vector<std::vector<token_bucket>>
        splits_; // of the static split, by entry and organisation
    std::vector<duration> waits_;
    std::uint64_t signature_ = 0;
};

limit_simulation::limit_simulation(const limit_case& it, scheme bucket_scheme, scenario kind,
                                   std::uint64_t seed)
    : case_(it), scheme_(bucket_scheme), scenario_(kind), random_(seed)
{
    make_nodes();
    make_organisations();
    waiting_.resize(nodes_.size());
    store_.resize(case_.domains);
}

void limit_simulation::make_nodes()
{
    first_entry_ = holder_domains() * candidates_per_domain;
    const std::uint32_t count = first_entry_ + case_.domains * case_.entries;
    for (std::uint32_t n = 0; n < count; ++n) {
        node_state it;
        it.peer = {.vm = {n + 1}, .run = {1}};
        if (n < first_entry_) {
            it.domain = n / candidates_per_domain;
            it.lease.emplace(limit_lease_options{.self = it.peer}, now_);
        }
        else {
            it.domain = (n - first_entry_) / case_.entries;
            it.entry.emplace(limit_entry_options{.shards = 1, .domain = it.domain});
        }
        nodes_.push_back(std::move(it));
    }
}

// Each caller of an organisation has a persistent connection to a randomly chosen entry node, so an
// organisation's demand keeps arriving at the same nodes.
void limit_simulation::make_organisations()
{
    const auto entries = static_cast<std::uint32_t>(nodes_.size()) - first_entry_;
    for (std::size_t n = 0; n < case_.demand.size(); ++n) {
        organisation_state it;
        const double rate = std::max(2.0, std::ceil(case_.demand[n] / case_.load));
        const double burst = std::max(4.0, rate);
        it.contract = make_contract(id_of<organisation_id>(fmt::format("o{}", n)), rate, burst);
        it.contract.home = suggested_home(it.contract, case_.domains);
        if (scheme_ != scheme::domains)
            it.contract.home = no_home;
        it.demand = case_.has_excess && n == case_.excessive ? 10 * rate : case_.demand[n];
        const auto callers = static_cast<std::uint32_t>(std::clamp(it.demand * 2, 3.0, 500.0));
        for (std::uint32_t c = 0; c < callers; ++c)
            it.callers.push_back(first_entry_ + static_cast<std::uint32_t>(random_() % entries));
        it.exact = token_bucket({.rate = it.contract.rate, .burst = it.contract.burst}, now_);
        contracts_.push_back(it.contract);
        organisations_.push_back(std::move(it));
    }
    for (std::uint32_t n = 0; n < organisations_.size(); ++n)
        index_of_.emplace(organisations_[n].contract.organisation, n);
    std::ranges::sort(contracts_, {}, &rate_contract::organisation);
    if (scheme_ != scheme::static_split)
        return;
    for (std::uint32_t n = 0; n < entries; ++n) {
        std::vector<token_bucket> buckets;
        for (const organisation_state& it : organisations_)
            buckets.emplace_back(part_of(it.contract, n, entries), now_);
        splits_.push_back(std::move(buckets));
    }
}

void limit_simulation::schedule(time_point at,
                                const std::variant<arrival, delivery, tick_event>& event)
{
    events_.push({.at = at, .order = order_++, .event = event});
}

// The `doubling` scenario simulates the change from night to day: half the demand in the first
// third of the run, the full demand afterwards.
double limit_simulation::current_demand(const organisation_state& it) const
{
    const bool is_night =
        scenario_ == scenario::doubling && now_ < bench_start + warm_up + case_.length / 3;
    return is_night ? it.demand / 2 : it.demand;
}

void limit_simulation::schedule_next_arrival(std::uint32_t organisation)
{
    std::exponential_distribution<double> gap(current_demand(organisations_[organisation]));
    schedule(now_ + duration(static_cast<std::int64_t>(gap(random_) * 1e9)),
             arrival{.organisation = organisation});
}

// Returns the entry node of the next request. In the `uneven` scenario, most requests of an
// organisation enter at one domain; in `moving`, that domain changes every hotspot_interval.
std::uint32_t limit_simulation::pick_entry(const organisation_state& it)
{
    const std::uint32_t any = it.callers[random_() % it.callers.size()];
    if (scenario_ != scenario::uneven && scenario_ != scenario::moving)
        return any;
    if (std::uniform_real_distribution<>(0, 1)(random_) >= hotspot_share)
        return any;
    const auto hotspot_index =
        scenario_ == scenario::moving
            ? static_cast<std::uint32_t>((now_ - bench_start) / hotspot_interval)
            : 0U;
    const std::uint64_t own = it.contract.organisation.value;
    const auto domain = static_cast<std::uint32_t>((mix(own, 1) + hotspot_index) % case_.domains);
    return first_entry_ + domain * case_.entries + (any - first_entry_) % case_.entries;
}

void limit_simulation::on_arrival(std::uint32_t organisation)
{
    organisation_state& it = organisations_[organisation];
    schedule_next_arrival(organisation);
    const std::uint32_t index = pick_entry(it);
    it.exact.accrue(now_);
    const bool is_exact_admitted = it.exact.tokens() >= one_token;
    if (is_exact_admitted) {
        it.exact.issue(one_token);
        it.exact.remove_outstanding(one_token, now_);
    }
    if (scheme_ == scheme::static_split) {
        token_bucket& split = splits_[index - first_entry_][organisation];
        split.accrue(now_);
        const bool is_admitted = split.tokens() >= one_token;
        if (is_admitted) {
            split.issue(one_token);
            split.remove_outstanding(one_token, now_);
        }
        record_decision(organisation, is_admitted, is_exact_admitted, 0ns);
        return;
    }
    limit_outbox out;
    const limit_verdict verdict = nodes_[index].entry->admit(it.contract, now_, out);
    if (const auto* waits = std::get_if<limit_waiting>(&verdict))
        waiting_[index][waits->ticket] = {organisation, now_, is_exact_admitted};
    else
        record_decision(organisation, std::holds_alternative<limit_admitted>(verdict),
                        is_exact_admitted, 0ns);
    send(index, out);
}

void limit_simulation::record_decision(std::uint32_t organisation, bool is_admitted,
                                       bool is_exact_admitted, duration wait)
{
    organisation_state& it = organisations_[organisation];
    if (is_admitted) {
        const double seconds = std::chrono::duration<double>(now_ - bench_start).count();
        const double line = -static_cast<double>(it.contract.rate) / one_token * seconds;
        const double spent = static_cast<double>(it.admitted);
        it.min_rate_line = it.is_first_admission ? line : std::min(it.min_rate_line, spent + line);
        it.is_first_admission = false;
        const double burst = static_cast<double>(it.contract.burst) / one_token;
        it.max_excess = std::max(it.max_excess, spent + 1 + line - it.min_rate_line - burst);
        ++it.admitted;
    }
    signature_ = mix(signature_, organisation * 2ULL + (is_admitted ? 1 : 0));
    if (!is_counted())
        return;
    ++it.requested;
    it.exact_admitted += is_exact_admitted ? 1 : 0;
    it.wrongly_refused += is_exact_admitted && !is_admitted ? 1 : 0;
    if (is_admitted)
        waits_.push_back(wait);
}

void limit_simulation::complete_requests(std::uint32_t index, const limit_outcomes& ended)
{
    for (const limit_outcome& it : ended) {
        const auto found = waiting_[index].find(it.ticket);
        const waiting_request request = found->second;
        waiting_[index].erase(found);
        record_decision(request.organisation, std::holds_alternative<limit_admitted>(it.verdict),
                        request.is_exact_admitted, now_ - request.since);
    }
}

// ---- messages ----

void limit_simulation::send(std::uint32_t from, const limit_outbox& out)
{
    for (const limit_outgoing& it : out) {
        const auto to = static_cast<std::uint32_t>(it.to.value - 1);
        const bool is_near = nodes_[from].domain == nodes_[to].domain;
        const duration hop = is_near ? hop_in_domain : hop_between_domains;
        const auto jitter =
            static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(hop.count() / 4));
        if (is_counted()) {
            ++nodes_[from].messages;
            nodes_[from].bytes += encode_limit_message(it.body).size();
        }
        schedule(now_ + hop + duration(jitter), delivery{.from = from, .to = to, .body = it.body});
    }
}

void limit_simulation::on_delivery(const delivery& it)
{
    if (nodes_[it.to].is_crashed)
        return;
    limit_outbox out;
    limit_message body = it.body;
    handle(it.to, body, nodes_[it.from].peer, out);
    send(it.to, out);
}

void limit_simulation::handle(std::uint32_t index, limit_message& body, limit_peer from,
                              limit_outbox& out)
{
    node_state& to = nodes_[index];
    if (const auto* m = std::get_if<grant>(&body)) {
        limit_outcomes ended;
        to.entry->receive(from, *m, now_, out, ended);
        complete_requests(index, ended);
        return;
    }
    if (!to.holder)
        return;
    if (const auto* request = std::get_if<grant_request>(&body))
        to.holder->receive(from, *request, now_, out);
    if (const auto* returned = std::get_if<grant_return>(&body))
        to.holder->receive(from, *returned, now_);
    if (const auto* request = std::get_if<loan_request>(&body))
        to.holder->receive(from, *request, now_, out);
    if (const auto* granted_loan = std::get_if<loan>(&body))
        to.holder->receive(from, *granted_loan, now_, out);
    if (const auto* returned = std::get_if<loan_return>(&body))
        to.holder->receive(from, *returned, now_);
}

// ---- time ----

std::vector<vm_id> limit_simulation::holders() const
{
    std::vector<vm_id> out;
    for (std::uint32_t n = 0; n < holder_domains(); ++n)
        out.push_back(store_[n].record.holder.vm);
    return out;
}

void limit_simulation::on_tick()
{
    schedule(now_ + tick_length, tick_event{});
    apply_faults();
    const bool is_holder_update_due = (now_ - bench_start) % 100ms == 0ns;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        node_state& it = nodes_[n];
        if (it.is_crashed)
            continue;
        if (it.lease) {
            tick_candidate(n);
            continue;
        }
        if (is_holder_update_due)
            it.entry->set_holders(0, holders());
        if (it.entry->next_deadline() > now_)
            continue;
        limit_outbox out;
        limit_outcomes ended;
        it.entry->tick(now_, out, ended);
        complete_requests(n, ended);
        send(n, out);
    }
}

// Runs one step of a candidate for the holder's lease. The simulated store answers without delay,
// or not at all while it is unavailable.
void limit_simulation::tick_candidate(std::uint32_t index)
{
    node_state& it = nodes_[index];
    store_record& stored = store_[it.domain];
    if (!is_store_unavailable_)
        it.lease->observe(stored.record, stored.version, now_);
    lease_actions actions;
    it.lease->tick(index % candidates_per_domain, now_, actions);
    for (const lease_action& action : actions) {
        const auto* write = std::get_if<lease_write>(&action);
        if (write == nullptr || is_store_unavailable_)
            continue;
        const bool is_written = write->expected == stored.version;
        if (is_written)
            stored = {.version = stored.version + 1, .record = write->record};
        it.lease->write_completed(write->record.renewal,
                                  is_written ? lease_write_outcome::written
                                             : lease_write_outcome::conflict,
                                  stored.version, now_);
    }
    if (it.lease->is_holder() && (!it.holder || it.holder_epoch != it.lease->epoch()))
        start_holder(it);
    if (!it.holder)
        return;
    it.holder->set_terms(it.lease->terms(), now_);
    std::vector<vm_id> lenders = holders();
    lenders.erase(lenders.begin() + it.domain);
    std::erase(lenders, vm_id{});
    it.holder->set_lenders(lenders);
    limit_outbox out;
    it.holder->tick(now_, out);
    send(index, out);
}

void limit_simulation::start_holder(node_state& it)
{
    it.holder_epoch = it.lease->epoch();
    const std::uint64_t first_loan_number = it.holder ? it.holder->next_loan_number() : 1;
    it.holder.emplace(limit_holder_options{.self = it.peer.vm,
                                           .domain = it.domain,
                                           .domains = holder_domains(),
                                           .first_loan_number = first_loan_number},
                      now_);
    it.holder->set_contracts(contracts_, now_);
}

// A crashed holder stops without notifying other nodes. The store becomes unavailable early in the
// warm-up, so that all leases have expired when counting begins. A longer outage is not simulated,
// since nothing changes after the leases have expired.
void limit_simulation::apply_faults()
{
    const duration since = now_ - bench_start;
    if (scenario_ == scenario::holder_crashed && since == warm_up + 2s)
        nodes_[0].is_crashed = true;
    if (scenario_ == scenario::holder_restarted && since == warm_up + 2s)
        restart_holder();
    if (scenario_ == scenario::store_unavailable && since == 4s)
        is_store_unavailable_ = true;
}

// The holder's process crashes and restarts on the same VM: entry nodes lose their links to it, and
// lease candidates observe a new run of the process.
void limit_simulation::restart_holder()
{
    node_state& lost = nodes_[0];
    const limit_peer old = lost.peer;
    lost.peer.run.value += 1;
    lost.holder.reset();
    lost.lease.emplace(limit_lease_options{.self = lost.peer}, now_);
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        if (nodes_[n].lease)
            nodes_[n].lease->observe_run(lost.peer, now_);
        if (!nodes_[n].entry)
            continue;
        limit_outbox out;
        limit_outcomes ended;
        nodes_[n].entry->on_link_lost(old.vm, now_, out, ended);
        complete_requests(n, ended);
        send(n, out);
    }
}

void limit_simulation::run(bench_report& report)
{
    for (std::uint32_t n = 0; n < organisations_.size(); ++n)
        schedule_next_arrival(n);
    if (scheme_ != scheme::static_split)
        schedule(now_, tick_event{});
    while (now_ < end()) {
        const scheduled_event it = events_.top();
        events_.pop();
        now_ = it.at;
        if (const auto* arrived = std::get_if<arrival>(&it.event))
            on_arrival(arrived->organisation);
        else if (const auto* delivered = std::get_if<delivery>(&it.event))
            on_delivery(*delivered);
        else
            on_tick();
    }
    report_figures(report);
}

// ---- figures ----

std::string_view name_of(scheme it)
{
    constexpr std::array<std::string_view, 3> names{"domains", "one holder", "static split"};
    return names.at(static_cast<std::size_t>(it));
}

std::string_view name_of(scenario it)
{
    constexpr std::array<std::string_view, 7> names{
        "even", "uneven", "moving", "doubling", "holder restarted", "holder lost", "store away"};
    return names.at(static_cast<std::size_t>(it));
}

void limit_simulation::report_figures(bench_report& report)
{
    const std::string prefix =
        fmt::format("{}, {}, {}: ", case_.name, name_of(scenario_), name_of(scheme_));
    std::uint64_t requested = 0;
    std::uint64_t wrongly_refused = 0;
    double worst = 0;
    double excess = -1e18;
    for (std::size_t n = 0; n < organisations_.size(); ++n) {
        const organisation_state& it = organisations_[n];
        excess = std::max(excess, it.max_excess);
        if (case_.has_excess && n == case_.excessive)
            continue;
        requested += it.requested;
        wrongly_refused += it.wrongly_refused;
        if (it.requested >= 30)
            worst = std::max(worst, 1000.0 * static_cast<double>(it.wrongly_refused) /
                                        static_cast<double>(it.requested));
    }
    report.add_decision(signature_);
    report.add_figure(prefix + "refused within rate",
                      1000.0 * static_cast<double>(wrongly_refused) /
                          static_cast<double>(std::max<std::uint64_t>(1, requested)),
                      "/1000");
    report.add_figure(prefix + "worst organisation", worst, "/1000");
    report.add_figure(prefix + "excess over the bound", std::max(0.0, excess), "requests");
    if (scheme_ != scheme::static_split)
        report_traffic(report, prefix);
}

void limit_simulation::report_traffic(bench_report& report, const std::string& prefix)
{
    std::ranges::sort(waits_);
    const auto at = [&](double q) {
        return waits_.empty() ? 0.0
                              : std::chrono::duration<double, std::milli>(
                                    waits_[static_cast<std::size_t>(
                                        q * static_cast<double>(waits_.size() - 1))])
                                    .count();
    };
    const double seconds = std::chrono::duration<double>(case_.length).count();
    double entry_bytes = 0;
    double entry_messages = 0;
    double holder_bytes = 0;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        const auto bytes = static_cast<double>(nodes_[n].bytes) / seconds;
        if (n < first_entry_) {
            holder_bytes = std::max(holder_bytes, bytes);
            continue;
        }
        entry_bytes += bytes * case_.shards;
        entry_messages += static_cast<double>(nodes_[n].messages) / seconds * case_.shards;
    }
    const double entries = case_.domains * case_.entries;
    report.add_figure(prefix + "added wait p50", at(0.5), "ms");
    report.add_figure(prefix + "added wait p99", at(0.99), "ms");
    report.add_figure(prefix + "messages of a node as entry", entry_messages / entries, "/s");
    report.add_figure(prefix + "bytes of a node as entry", entry_bytes / entries, "B/s");
    report.add_figure(prefix + "bytes of the busiest holder", holder_bytes, "B/s");
}

// ---- cases ----

limit_case small_case()
{
    return {
        .name = "small", .domains = 3, .entries = 10, .demand = {150, 80, 40, 15, 6, 3, 1.4, 1.4}};
}

// One shard of the fleet that the system is designed for: 490 nodes at 184 requests/s each and
// 45,000 organisations, whose demand is inversely proportional to their rank plus one. One
// medium-sized organisation sends ten times its rate.
limit_case large_case(std::uint32_t shards)
{
    constexpr double fleet_demand = 490 * 184;
    constexpr std::size_t fleet_organisations = 45'000;
    limit_case it{.name = fmt::format("large/{}", shards),
                  .domains = 4,
                  .entries = 122,
                  .shards = shards,
                  .excessive = 30,
                  .has_excess = true,
                  .length = 20s};
    double sum = 0;
    for (std::size_t n = 0; n < fleet_organisations / shards; ++n) {
        it.demand.push_back(1.0 / static_cast<double>(n + 2));
        sum += it.demand.back();
    }
    for (double& each : it.demand)
        each = std::max(0.1, each * fleet_demand / shards / sum);
    return it;
}

} // namespace

void bench_limits(std::uint64_t seed, bench_report& report)
{
    constexpr std::array scenarios{scenario::even,
                                   scenario::uneven,
                                   scenario::moving,
                                   scenario::doubling,
                                   scenario::holder_restarted,
                                   scenario::holder_crashed,
                                   scenario::store_unavailable};
    constexpr std::array schemes{scheme::domains, scheme::single_holder, scheme::static_split};
    for (scenario kind : scenarios) {
        for (scheme bucket_scheme : schemes)
            limit_simulation(small_case(), bucket_scheme, kind, seed).run(report);
    }
    for (scheme bucket_scheme : schemes)
        limit_simulation(large_case(64), bucket_scheme, scenario::moving, seed).run(report);
    for (scenario kind : {scenario::even, scenario::uneven, scenario::holder_restarted,
                          scenario::holder_crashed, scenario::store_unavailable})
        limit_simulation(large_case(64), scheme::domains, kind, seed).run(report);
    limit_simulation(large_case(16), scheme::domains, scenario::even, seed).run(report);
    limit_simulation(large_case(16), scheme::domains, scenario::moving, seed).run(report);
}

} // namespace jasminebank
