#pragma once

// Counts the bytes that this node sends to other nodes, by their cause and by whether they leave
// the failure domain or the region. Frames of links count with their encoded length, datagrams with
// their payload; headers of TCP, UDP and IP are not counted.

#include "member_directory.h"
#include "region_map.h"
#include "types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jasminebank {

/// What bytes are sent for. Messages of one kind and their responses have the same cause.
enum class traffic_cause : std::uint8_t {
    request_head,
    request_body,
    response_head,
    response_body,
    probe,           ///< of the reachability of a gate's link
    limit,           ///< tokens of rate limits
    delegation,      ///< of the holders of rate limits
    configuration,   ///< fetched from a peer
    member_datagram, ///< pings, acks and gossip
    member_exchange, ///< of directories
    relay,           ///< control messages that pass through a third node
    health,          ///< states of services and backend servers
    idempotency,     ///< claims and records of idempotency keys
    other_control,   ///< all other control messages
    other_frame,     ///< handshakes, settings, pings, window updates, resets
};
constexpr std::size_t traffic_causes = static_cast<std::size_t>(traffic_cause::other_frame) + 1;

/// Where the receiver is, as seen from the sender.
enum class traffic_scope : std::uint8_t {
    same_domain,
    same_region,
    other_region,
    unknown, ///< the receiver's failure domain, or the region of either, is not known
};
constexpr std::size_t traffic_scopes = static_cast<std::size_t>(traffic_scope::unknown) + 1;

std::string_view name_of(traffic_cause it);
std::string_view name_of(traffic_scope it);

/// The scope of traffic from a node of the domain `own` to one of `other`.
traffic_scope scope_of_domain(const region_map& regions, failure_domain_id own,
                              failure_domain_id other);

/// The scope of traffic to a node of another failure domain.
using domain_scope = std::function<traffic_scope(failure_domain_id)>;

/// Thread-safe.
class traffic_account {
public:
    /// Adds sent bytes. Does not lock.
    void add(traffic_cause cause, traffic_scope scope, std::size_t bytes);
    std::uint64_t bytes(traffic_cause cause, traffic_scope scope) const;

    /// Replaces the known peers by the members of `directory`; `scope_of_other` is called for each
    /// member outside of `own`.
    void set_peers(const member_directory& directory, failure_domain_id own,
                   const domain_scope& scope_of_other);
    traffic_scope scope_of(vm_id peer) const;
    /// The scope of the peer with this link address, which is also that of its datagrams.
    traffic_scope scope_of(const endpoint& link) const;
    /// Changes with each call of `set_peers`, so that a scope can be kept until then.
    std::uint64_t peers_version() const { return version_.load(std::memory_order_relaxed); }

    /// One metric line per cause and scope with any bytes.
    std::string text() const;

private:
    std::array<std::array<std::atomic<std::uint64_t>, traffic_scopes>, traffic_causes> bytes_{};
    std::atomic<std::uint64_t> version_{1};
    mutable std::mutex mutex_;
    std::unordered_map<vm_id, traffic_scope> by_vm_;
    std::unordered_map<std::string, traffic_scope> by_link_; // by "host:port"
};

} // namespace jasminebank
