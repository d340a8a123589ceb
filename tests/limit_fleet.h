#pragma once

// A simulated fleet for tests of the rate limits: holders, entry nodes and a store on a simulated
// clock. Messages between them are lost, repeated and delayed, links are cut in one direction, and
// nodes are frozen and killed.

#include "limit_entry.h"
#include "limit_lease.h"

#include <random>

namespace jasminebank::test {

using namespace std::chrono_literals;

struct fleet_faults {
    double lost = 0;            ///< share of messages
    double repeated = 0;        ///< share of messages
    double delayed = 0;         ///< share of messages that are delayed by up to a second
    double link_cut = 0;        ///< share of cut one-way links, redrawn each second
    double kill = 0;            ///< holder candidates killed a second
    double freeze = 0;          ///< nodes frozen a second, for up to 5 s
    double store_partition = 0; ///< nodes a second that can't reach the store, for up to 8 s
    double store_outage = 0;    ///< share of time that the store is unavailable, up to 5 s at once
    double answer_lost = 0;     ///< share of the store's answers that are lost
    double release = 0;         ///< leases released a second, as for a planned stop
    double change = 0;          ///< contract changes a second
    bool skewed_clocks = false;
};

struct fleet_shape {
    std::uint32_t domains = 3;
    std::uint32_t entries = 2;    ///< entry nodes of each domain
    std::uint32_t candidates = 2; ///< of each domain; each may become its holder
    rate_contract contract;
    double demand = 1; ///< as a multiple of the rate of the contract
    /// The demand alternates at random between 0, half of `demand` and `demand`.
    bool is_bursting = false;
    duration length = 20s;
    fleet_faults faults;
};

class limit_fleet {
public:
    limit_fleet(const fleet_shape& shape, std::uint64_t seed);
    void run();

    /// Largest excess over burst + rate * length among all windows of [from, to), in micro-tokens;
    /// at most 0 if the bound holds. Requests that could be admitted at once at the end of a window
    /// count as admitted, so that an excess token is found even if no request spends it.
    micro_tokens worst_excess(const rate_contract& bound, duration from, duration to) const;

    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    duration count_from{}; ///< `offered` and `refused` are counted from this time on
    std::uint64_t admitted = 0;
    /// Each contract and the time at which it was set.
    std::vector<std::pair<duration, rate_contract>> changes;
    std::uint64_t takeovers = 0;

private:
    struct node {
        limit_peer peer;
        std::uint32_t domain = 0;
        duration offset{};
        std::int64_t drift_ppm = 0; // parts per million
        duration frozen_until{};
        duration store_partition_until{};
        std::vector<vm_id> holders; // holders that the node knows, by domain
        bool is_dead = false;
        std::optional<limit_entry> entry;
        std::optional<limit_lease> lease;
        std::optional<limit_holder> holder;
        std::uint64_t holder_epoch = 0;
        rate_contract contract;
        duration contract_at{};
        rate_contract next_contract;
    };

    // Tokens of admitted requests; for a probe, the tokens that all nodes could spend at once.
    struct sample {
        duration at{};
        micro_tokens amount = 0;
        bool is_probe = false;
    };

    struct store_answer {
        lease_write_outcome outcome = lease_write_outcome::unknown;
        std::uint64_t version = 0;
        std::uint64_t renewal = 0;
        bool is_read = false;
        lease_record record;
    };

    struct store_call {
        std::optional<lease_write> write;
    };

    using payload = std::variant<limit_message, lease_stop_notice, store_call, store_answer>;

    struct delivery {
        duration at{};
        limit_peer from;
        std::size_t to = 0;
        std::size_t to_store_from = 0;
        bool is_to_store = false;
        limit_peer to_peer;
        payload body;
    };

    struct store_entry {
        std::uint64_t version = 0;
        lease_record record;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    std::uint64_t random_below(std::uint64_t n) { return random_() % n; }
    time_point clock_of(const node& it) const;
    bool is_running(const node& it) const { return !it.is_dead && now_ >= it.frozen_until; }
    node make_candidate(vm_id vm, std::uint32_t domain, std::uint64_t run) const;
    void send(std::size_t from, const limit_outbox& out);
    void schedule_delivery(const delivery& it);
    void step();
    void deliver(const delivery& it);
    void deliver_to_node(node& it, const delivery& message, limit_outbox& out);
    void deliver_to_store(const delivery& it);
    void inject_faults();
    void choose_demand();
    void change_contract();
    void tick_node(std::size_t index);
    void tick_candidate(std::size_t index, limit_outbox& out);
    void offer_demand(std::size_t index);
    void count_outcomes(const limit_outcomes& ended);
    void admit_one();
    void probe();
    void refresh_known_holders(node& it);
    std::vector<vm_id> lenders_of(const node& it) const;
    std::size_t index_of(vm_id vm) const { return static_cast<std::size_t>(vm.value - 1); }

    fleet_shape shape_;
    std::mt19937_64 random_;
    duration now_{};
    std::vector<node> nodes_;
    std::vector<sample> samples_; // in order of time
    std::multimap<duration, delivery> in_flight_;
    std::vector<store_entry> store_; // by domain
    duration store_outage_end_{};
    double phase_demand_ = 0;
    duration phase_end_{};
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
};

} // namespace jasminebank::test
