#pragma once

// Limits at work: the entry side of this node, the holders of the shards whose mandate it has, and
// the messages between them and other nodes. A request that finds tokens here costs no message;
// else its caller's thread waits for one exchange with the holder.

#include "control_relay.h"
#include "limit_entry.h"
#include "limit_holder.h"
#include "limit_placement.h"
#include "mandate_service.h"
#include "retry_budget.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace jasminebank {

/// Path of the control message that carries messages of the limits, both ways.
constexpr std::string_view limit_path = "/control/limit";

struct limit_service_options {
    limit_peer self;
    failure_domain_id domain;
    /// Messages to one node that come this soon after the last ones wait and go together.
    duration batch_span = std::chrono::milliseconds(1);
    /// Waits of one request at most, while holders are slow to answer.
    std::size_t attempts = 4;
    limit_entry_options entry{.shards = limit_shards};
    /// Tokens beyond each burst, where the operators' bound leaves room for them.
    double burst_slack = 0;
    /// Retries that all nodes share, for each service.
    shared_retry_options retries{};
    /// A holder has not answered in time. Runs under the service's lock.
    std::function<void(vm_id)> on_silent = [](vm_id) {};
};

/// Messages to and from other nodes, in batches; bytes are those of the payloads.
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
    std::string domain; ///< empty: all nodes are of one domain
    std::string vm;
    std::uint64_t epoch = 0;
};

/// What this node knows of one organisation's tokens.
struct budget_report {
    std::uint32_t shard = 0;
    std::uint32_t tokens = 0;                    ///< granted to this node and unspent
    std::optional<micro_tokens> holder_tokens{}; ///< if this node is a holder
    std::vector<budget_holder> holders;
    limit_entry_counts entry;    ///< of all organisations here
    limit_holder_counts holding; ///< of the shard, since this node holds it
    limit_traffic traffic;
};

/// Thread-safe.
class limit_service {
public:
    limit_service(const limit_service_options& options, control_relay& relay);
    ~limit_service();
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;

    /// Contracts and failure domains come from here.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Who holds what, and where.
    void set_directory(const member_directory& directory);
    /// What this node may do with one shard.
    void set_terms(const shard_terms& it);

    /// Takes a token for one request. Waits at most until `deadline` and for as many waits of the
    /// entry as the options allow; never returns limit_waiting.
    limit_verdict admit_blocking(organisation_id organisation, time_point deadline);
    /// Takes another node's messages; the answers that are ready at once are returned.
    std::optional<std::string> answer(const control_request& request);

    budget_report report(organisation_id organisation) const;
    limit_traffic traffic() const;
    /// What became of the requests of this node, of all organisations.
    limit_entry_counts counts() const;
    /// Refuses who waits, and everything from then on.
    void stop();

private:
    struct peer_state {
        endpoint link;
        incarnation run;
        std::string name;
        std::vector<limit_message> waiting;
        time_point next_send{};
    };
    struct holder_state {
        std::uint64_t epoch = 0;
        domain_position place;
        std::unique_ptr<limit_holder> holder;
        mandate_terms terms{};
        std::uint64_t next_loan = 1; ///< first number of the next holder
    };
    // A caller's thread that waits for its token.
    struct waiter {
        std::condition_variable changed;
        std::optional<limit_verdict> verdict;
    };
    // What one event leads to.
    struct reaction {
        time_point now;
        limit_outbox out{};
        limit_outcomes ended{};
    };

    limit_verdict admit_once(std::unique_lock<std::mutex>& lock, organisation_id organisation,
                             time_point deadline);
    void run();
    time_point run_due(time_point now);
    void settle(reaction& it);
    void deliver(const limit_outgoing& message, reaction& it, bool& was_refused);
    void take(limit_peer from, const limit_message& message, reaction& it);
    void take_for_holder(limit_peer from, const limit_message& message, reaction& it);
    void send_waiting(vm_id to, time_point now);
    void take_reply(vm_id from, const result<std::string, link_error>& reply);
    limit_holder* find_holder(organisation_id organisation) const;
    static void retire(holder_state& it);
    void update_holder(std::uint32_t shard);
    void update_views();
    std::vector<vm_id> by_domain(const std::vector<shard_holder>& holders) const;
    std::uint32_t domain_count() const;
    const rate_contract* find_contract(organisation_id organisation) const;

    const limit_service_options options_;
    control_relay& relay_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    std::array<std::vector<rate_contract>, limit_shards> contracts_;
    std::vector<member_record> members_;
    std::unordered_map<vm_id, peer_state> peers_;
    std::array<std::vector<shard_holder>, limit_shards> views_;
    std::array<holder_state, limit_shards> holders_;
    limit_entry entry_;
    std::map<std::uint64_t, waiter*> waiters_; ///< by ticket
    limit_traffic traffic_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
