#pragma once

// Acquires and renews the leases on the shards of this node's failure domain: executes the store
// reads and writes that `limit_lease` decides on, and publishes the resulting terms.
//
// The load on the store does not depend on the number of nodes. Each shard of a domain has one
// holder, which writes its record every 3 s, and the nodes of rank 1 and 2, which try to acquire
// the lease after 10 s without an observed renewal and then read the record. With 4 domains of 16
// shards that is about 21 renewals a second, and about 13 failing writes and as many reads by the
// others. All other nodes learn the holders from member records and make no calls to the store.

#include "fleet_config.h"
#include "limit_lease.h"
#include "limit_placement.h"
#include "link_hub.h"
#include "member_directory.h"
#include "store_client.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace jasminebank {

/// Path of the control message by which an earlier holder reports that it has stopped permanently.
constexpr std::string_view limit_lease_path = "/control/mandate";
/// Keys in the store are this prefix, the failure domain's name, "/", and the shard number.
constexpr std::string_view limit_lease_key_prefix = "jasminebank/mandates/";

/// This node's lease on one shard and the share it may use; epoch 0 and empty terms: no lease.
struct shard_terms {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    lease_terms terms{};
    bool operator==(const shard_terms&) const = default;
};

struct limit_lease_service_options {
    limit_peer self;
    std::string failure_domain;
    std::vector<endpoint> store;
    /// Called when the terms of a shard changed, on the service's thread or that of release().
    std::function<void(const shard_terms&)> on_terms;
    /// Called when the set of shards that this node holds changed, on the same threads.
    std::function<void(std::vector<held_shard>)> on_held;
};

/// Thread-safe.
class limit_lease_service {
public:
    limit_lease_service(limit_lease_service_options options, link_hub& links);
    ~limit_lease_service();
    limit_lease_service(const limit_lease_service&) = delete;
    limit_lease_service& operator=(const limit_lease_service&) = delete;

    /// Sets the configuration, which lists the failure domains.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Sets the members: the candidate holders, and the shards that each one holds.
    void set_directory(const member_directory& directory);
    /// Handles the notice of an earlier holder that it has stopped. Ignored unless the sender is
    /// that holder.
    std::string answer(const control_request& request);
    /// Starts to release all leases. Tokens granted before can be spent for half a second more.
    void release();
    /// Ends the thread. After release(), first waits until all leases are released, at most until
    /// `deadline`.
    void stop(time_point deadline);

private:
    struct shard_state {
        std::optional<limit_lease> lease; ///< set once the rank was at most max_candidate_rank
        std::optional<std::uint32_t> rank;
        bool has_announced_holder = false; ///< a member of this domain announces the shard
        time_point next_read{};
        shard_terms published;
        limit_peer holder;
    };

    void run();
    void process_shard(std::uint32_t shard);
    void start_lease(shard_state& it, time_point now);
    bool is_read_due(shard_state& it, time_point now) const;
    void perform(std::uint32_t shard, const lease_action& action);
    void write_record(std::uint32_t shard, const lease_write& write);
    void read_record(std::uint32_t shard);
    void send_stop_notice(std::uint32_t shard, const lease_stop_notice& it);
    void publish(std::uint32_t shard);
    void update_ranks();
    bool all_leases_idle() const;
    std::string key_of(std::uint32_t shard) const;

    const limit_lease_service_options options_;
    const failure_domain_id domain_;
    link_hub& links_;
    store_client store_;
    std::mutex publish_mutex_; ///< serialises publish(); locked before mutex_
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    std::vector<member_record> members_; ///< sorted by node
    std::map<vm_id, incarnation> runs_;  ///< of members, as last passed to the leases
    std::array<shard_state, limit_shards> shards_;
    bool keys_name_domain_ = false; ///< keys contain the domain's name, not "-"
    bool is_releasing_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
