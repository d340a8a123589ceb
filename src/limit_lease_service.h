#pragma once

// Mandates at work: this node stands for the shards of its own failure domain and carries the
// decisions of `limit_lease` to the store and back.
//
// Calls of the store do not grow with the fleet: each shard of a domain has one holder, which
// writes its record every 3 s, and the nodes of rank 1 and 2, which try to take over after 10 s
// without a renewal that they saw and read the record then. With 4 domains of 16 shards that is
// about 21 renewals a second, and for the others about 13 tries that fail and as many reads. All
// other nodes learn the holders from member records and make no call at all.

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

/// Path of the control message that tells that an earlier holder has stopped for good.
constexpr std::string_view limit_lease_path = "/control/mandate";
/// Keys of the records in the store: this, the failure domain's name, "/", the shard.
constexpr std::string_view limit_lease_key_prefix = "jasminebank/mandates/";

/// What this node may do with one shard; epoch 0 and empty terms: nothing.
struct shard_terms {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    mandate_terms terms{};
    bool operator==(const shard_terms&) const = default;
};

struct limit_lease_service_options {
    limit_peer self;
    std::string failure_domain;
    std::vector<endpoint> store;
    /// The terms of a shard changed. Runs on the service's thread, or on that of release().
    std::function<void(const shard_terms&)> on_terms;
    /// The shards that this node holds changed. Runs on the same threads.
    std::function<void(std::vector<held_shard>)> on_held;
};

/// Thread-safe.
class limit_lease_service {
public:
    limit_lease_service(limit_lease_service_options options, link_hub& links);
    ~limit_lease_service();
    limit_lease_service(const limit_lease_service&) = delete;
    limit_lease_service& operator=(const limit_lease_service&) = delete;

    /// The list of failure domains comes from here.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Who else could hold the shards, and who does.
    void set_directory(const member_directory& directory);
    /// Takes word of an earlier holder that has stopped; only its own is believed.
    std::string answer(const control_request& request);
    /// Begins to give all mandates up; what was granted before can be spent for half a second more.
    void release();
    /// Ends the thread; after release(), once all mandates are given up, but at `deadline` at last.
    void stop(time_point deadline);

private:
    struct shard_state {
        std::optional<limit_lease> lease; ///< once the rank was among the first
        std::optional<std::uint32_t> rank;
        bool has_announced_holder = false; ///< a member says that it holds the shard in this domain
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
    std::mutex publish_mutex_; ///< one publish at a time; taken before mutex_
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::shared_ptr<const fleet_config> config_;
    std::vector<member_record> members_; ///< sorted by node
    std::map<vm_id, incarnation> runs_;  ///< of members, as the mandates were told
    std::array<shard_state, limit_shards> shards_;
    bool keys_name_domain_ = false; ///< the key holds the domain's name
    bool is_releasing_ = false;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jasminebank
