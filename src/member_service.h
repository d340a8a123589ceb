#pragma once

// Membership at work: the datagram socket, the ticks, and the exchanges over links around the
// decisions of `membership`.

#include "datagram_socket.h"
#include "link_hub.h"
#include "member_codec.h"
#include "membership.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jasminebank {

/// Path of the control message that exchanges directories.
constexpr std::string_view members_path = "/control/members";

struct member_service_options {
    membership_options membership;
    std::string fleet_key;
    std::size_t watchers_per_domain = 2; ///< nodes of a failure domain that watch the store
    /// The directory changed. Runs on any thread, one at a time.
    std::function<void(const member_directory&)> on_directory_change;
    /// A node has a newer configuration.
    std::function<void(const endpoint&)> on_newer_config;
    /// Whether this node is to watch the store; called when it changes.
    std::function<void(bool)> on_watcher_change;
};

/// How a node stands in the fleet.
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

    /// Begins; false if the datagram address, the same as that of the links, cannot be had.
    bool start();
    void announce(std::vector<server_record> servers, bool leaving);
    /// The mandates of limits that this node holds changed.
    void announce_shards(std::vector<held_shard> shards);
    void set_generation(std::uint64_t generation);
    void record_store_contact(time_point at);
    /// Answers another node's part of an exchange.
    std::string handle_exchange(std::string_view request);
    bool may_serve() const;
    /// Since the store was heard, by this node or another; nothing before.
    std::optional<duration> store_age() const;
    /// Members that did not answer the last ping to them directly.
    std::vector<vm_id> unresponsive_members() const;
    member_status status() const;
    std::vector<member_record> members() const;
    /// Ends the ticks and datagrams; exchanges that run end with the links.
    void stop();

private:
    void run_ticks();
    void receive(const endpoint& from, std::string_view bytes);
    template <class Update>
    void update_membership(Update update);
    void perform(const membership_actions& actions);
    void exchange_with(const endpoint& peer, const member_exchange& request);
    void merge_exchange_reply(const endpoint& peer, const member_exchange& it);
    void publish_directory();
    void report_role_changes();

    const member_service_options options_;
    link_hub& links_;
    mutable std::mutex mutex_;
    std::mutex directory_mutex_; ///< one call of on_directory at a time
    std::condition_variable wake_;
    membership membership_;
    bool stopping_ = false;
    bool is_watcher_ = false; // of the tick thread alone
    bool may_serve_ = true;   // of the tick thread alone
    std::unique_ptr<datagram_socket> socket_;
    std::thread thread_;
};

} // namespace jasminebank
