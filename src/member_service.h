#pragma once

// Runs the `membership` protocol: feeds it datagrams, timer ticks and exchanges over links, and
// performs the actions that it returns.

#include "datagram_socket.h"
#include "link_hub.h"
#include "member_codec.h"
#include "membership.h"
#include "traffic_account.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jasminebank {

/// Path of the control request that exchanges directories.
constexpr std::string_view members_path = "/control/members";

struct member_service_options {
    membership_options membership;
    std::string fleet_key;
    std::shared_ptr<traffic_account> traffic = {}; ///< counts sent datagrams; may be null
    std::size_t watchers_per_domain = 2; ///< nodes of a failure domain that watch the store
    /// Called after the directory changed; on any thread, but never concurrently.
    std::function<void(const member_directory&)> on_directory_change;
    /// Called with the link address of a node that has a newer configuration.
    std::function<void(const newer_config&)> on_newer_config;
    /// Called with the names of the evacuated failure domains after they changed, before
    /// `on_directory_change`; never concurrently.
    std::function<void(const std::vector<std::string>&)> on_evacuations =
        [](const std::vector<std::string>&) {};
    /// Called when this node becomes (true) or stops being (false) a watcher of the store.
    std::function<void(bool)> on_watcher_change;
};

/// Reachability of the fleet and of the store from this node.
struct member_status {
    reachability recent;
    reachability overall;
    std::optional<duration> store_age{};
    bool may_serve = false;
    bool reaches_majority = false;
    std::uint64_t datagram_bytes = 0;
};

/// Thread-safe.
class member_service {
public:
    member_service(member_service_options options, link_hub& links);
    ~member_service();
    member_service(const member_service&) = delete;
    member_service& operator=(const member_service&) = delete;

    /// Starts the protocol; false if the UDP address, which equals that of the links, cannot be
    /// bound.
    bool start();
    void announce(own_state state);
    /// Announces a changed set of limit shards whose leases this node holds.
    void announce_shards(std::vector<held_shard> shards);
    /// See `membership::set_generation`.
    void set_generation(std::uint64_t generation, bool is_first_hand);
    /// Applies and spreads what this node read from the store, see `membership`.
    void record_evacuations(evacuation_read read);
    /// The evacuated failure domains in force: `on_evacuations` and the `on_directory_change` after
    /// it have returned.
    evacuation_state evacuations() const;
    void record_store_contact(time_point at);
    /// Merges the encoded exchange that a peer sent, and returns the encoded reply.
    std::string handle_exchange(std::string_view request);
    bool may_serve() const;
    /// Time since this or, as far as known, any other node reached the store; nullopt if never.
    std::optional<duration> store_age() const;
    reader_rank rank() const;
    /// The last pings from this node that were not answered directly, one for each such member.
    std::vector<unanswered_ping> unanswered_pings() const;
    member_status status() const;
    /// Backend servers that withdrew from runs of the node before `run`, as far as known here.
    withdrawal_list withdrawals_before(vm_id vm, incarnation run) const;
    std::vector<member_record> members() const;
    /// Stops ticks and the handling of datagrams. Pending exchanges end when the links close.
    void stop();

private:
    void run_ticks();
    void receive(const endpoint& from, std::string_view bytes);
    template <class Update>
    void update_membership(Update update);
    void perform(const membership_actions& actions);
    void send(const send_heartbeat& it);
    void exchange_with(const endpoint& peer, const member_exchange& request);
    void merge_exchange_reply(const endpoint& peer, const member_exchange& it);
    void publish_directory();
    void publish_evacuations(const evacuation_state& it);
    void report_role_changes();

    const member_service_options options_;
    link_hub& links_;
    mutable std::mutex mutex_;
    mutable std::mutex directory_mutex_;     ///< held during on_evacuations and on_directory_change
    evacuation_state published_evacuations_; // guarded by directory_mutex_
    name_warnings name_warnings_;            // guarded by directory_mutex_
    std::condition_variable wake_;
    membership membership_;
    bool stopping_ = false;
    bool is_watcher_ = false; // used by the tick thread only
    bool may_serve_ = true;   // used by the tick thread only
    std::unique_ptr<datagram_socket> socket_;
    std::thread thread_;
};

} // namespace jasminebank
