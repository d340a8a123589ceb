#pragma once

// Enforces the rate limits on this node: runs the entry, which admits requests, and a holder for
// each shard that this node holds, and exchanges their messages with other nodes. A request that
// finds tokens on this node needs no message; otherwise its caller's thread waits for one exchange
// with the holder.

#include "control_relay.h"
#include "limit_entry.h"
#include "limit_holder.h"
#include "limit_lease_service.h"
#include "limit_placement.h"
#include "retry_budget.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Path of the control message that carries a batch of limit messages, in either direction.
constexpr std::string_view limit_path = "/control/limit";

struct limit_service_options {
    limit_peer self;
    failure_domain_id domain;
    /// Least time between two batches to one node; messages in between are queued and sent
    /// together.
    duration batch_interval = std::chrono::milliseconds(1);
    /// Attempts of one request to get a token, each with its own wait, while holders are slow to
    /// answer.
    std::size_t max_attempts = 4;
    limit_entry_options entry{.shards = limit_shards};
    /// Tokens added to each burst, where the operators' bound allows them.
    double burst_slack = 0;
    /// The budget of retries of each service, which all nodes share.
    shared_retry_options retries{};
    /// Called when a holder has not answered in time, with the service's lock held.
    std::function<void(vm_id)> on_no_response = [](vm_id) {};
};

/// Messages sent to and received from other nodes, in batches; bytes are those of the payloads.
struct limit_traffic {
    std::uint64_t batches_out = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t batches_in = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t bytes_in = 0;
};

/// Holder of an organisation's tokens in one failure domain.
struct budget_holder {
    std::string domain; ///< empty: no failure domains are configured
    std::string vm;
    std::uint64_t epoch = 0;
};

/// State of one organisation's tokens as known on this node.
struct budget_report {
    std::uint32_t shard = 0;
    std::uint32_t tokens = 0;                    ///< granted to this node and not spent
    std::optional<micro_tokens> holder_tokens{}; ///< if this node is a holder
    std::vector<budget_holder> holders;
    limit_entry_counts entry;    ///< of all organisations here
    limit_holder_counts holding; ///< of the shard, since this node has held it
    limit_traffic traffic;
};

/// Thread-safe.
class limit_service {
public:
    limit_service(const limit_service_options& options, control_relay& relay);
    ~limit_service();
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    /// Sets the configuration, which lists the contracts and the failure domains.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Sets the members, their addresses and the shards that each one holds.
    void set_directory(const member_directory& directory);
    /// Sets the share of one shard that this node may use as its holder.
    void set_terms(const shard_terms& it);

    /// Sets the nodes from which the tokens of a shard are requested, the preferred one first; vm 0
    /// stands for one that does not answer. From then on, the holders that members announce are not
    /// used for this shard.
    void set_holders(std::uint32_t shard, std::vector<vm_id> holders);

    /// Takes a token for one request. Waits at most until `deadline` and makes at most
    /// `max_attempts` attempts; never returns limit_waiting.
    limit_verdict admit_blocking(organisation_id organisation, time_point deadline);
    /// Handles another node's batch and returns the replies that are ready at once; nothing if the
    /// batch is malformed or the service is stopping.
    std::optional<std::string> answer(const control_request& request);

    budget_report report(organisation_id organisation) const;
    limit_traffic traffic() const;
    /// Counts of this node's requests by outcome, over all organisations.
    limit_entry_counts counts() const;
    /// Refuses the waiting requests and all later ones.
    void stop();

private:
    struct peer_state {
        endpoint link;
        incarnation run;
        std::string name;
        std::vector<limit_message> queued;
        time_point next_send{};
    };
    struct holder_state {
        std::uint64_t epoch = 0;
        domain_position place;
        std::unique_ptr<limit_holder> holder;
        lease_terms terms{};
        std::uint64_t next_loan = 1; ///< first loan number of the next holder
    };
    // A caller's thread that waits for a token.
    struct waiter {
        std::condition_variable changed;
        std::optional<limit_verdict> verdict;
    };
    // Messages to send and waits to end as the result of one event.
    struct event_effects {
        time_point now;
        limit_outbox out{};
        limit_outcomes finished{};
    };

    limit_refused refuse_without_holder();
    limit_verdict admit_once(std::unique_lock<std::mutex>& lock, organisation_id organisation,
                             time_point deadline);
    void run();
    time_point run_due_work(time_point now);
    void apply_effects(event_effects& it);
    void route(const limit_outgoing& message, event_effects& it, bool& got_not_holder);
    void receive(limit_peer from, const limit_message& message, event_effects& it);
    void receive_for_holder(limit_peer from, const limit_message& message, event_effects& it);
    void send_batch(vm_id to, time_point now);
    void receive_reply(vm_id from, const result<std::string, link_error>& reply);
    limit_holder* find_holder(organisation_id organisation) const;
    static void stop_holder(holder_state& it);
    void update_holder(std::uint32_t shard);
    void update_known_holders();
    std::vector<shard_holder> current_holders(std::uint32_t shard) const;
    std::vector<vm_id> holders_by_domain(const std::vector<shard_holder>& holders) const;
    std::uint32_t domain_count() const;
    const rate_contract* find_contract(organisation_id organisation) const;

    const limit_service_options options_;
    control_relay& relay_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    std::array<std::vector<rate_contract>, limit_shards> contracts_;
    std::array<std::optional<std::vector<vm_id>>, limit_shards> selected_holders_;
    std::mt19937_64 random_{std::random_device{}()};
    std::vector<member_record> members_;
    std::unordered_map<vm_id, peer_state> peers_;
    std::array<std::vector<shard_holder>, limit_shards> known_holders_;
    std::array<holder_state, limit_shards> holders_;
    limit_entry entry_;
    std::map<std::uint64_t, waiter*> waiters_; ///< by ticket
    limit_traffic traffic_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
