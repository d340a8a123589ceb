#pragma once

// Decides for each request whether it leaves the failure domain or the region of this node. Leaving
// pays if the response is expected earlier by more than the price of the path and of the bytes, or
// if only a backend server further away can answer within the target. Each node decides on its own;
// the bytes to other regions come from its share of the link between the regions.
//
// Waits are counted in requests per slot: a wait of 1 is the expected service time.

#include "token_bucket.h"
#include "traffic_account.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminebank {

/// How far a request goes, in ascending order.
enum class crossing_reach : std::uint8_t { own_domain, own_region, other_region };
constexpr std::size_t crossing_reaches = 3;

std::string_view name_of(crossing_reach it);

struct crossing_options {
    vm_id self{};
    /// Of each backend server outside of the failure domain; in requests per slot.
    double other_domain_penalty = 1;
    double other_domain_penalty_per_mb = 0; ///< in addition, per MB of body and response
    double other_region_penalty = 0;        ///< in addition, outside of the region
    double other_region_penalty_per_mb = 0; ///< in addition, outside of the region
    /// Bytes a second that all nodes of a region together may cause between regions; 0: no bound.
    double region_link = 0;
    /// A service that has left returns only if staying is better by this, in requests per slot.
    double return_margin = 0.25;
    /// And only after staying has been better for this long.
    duration return_after = std::chrono::seconds(1);
    /// Nodes leave at thresholds that are up to this fraction apart, so that not all leave at once.
    double threshold_spread = 0.25;
    /// How much unused capacity of the link a node may save up.
    duration link_burst = std::chrono::seconds(1);
    /// Below this fraction of the saved capacity, only requests leave the region that no backend
    /// server of the region can answer in time.
    double scarce_share = 0.25;
};

/// The best backend server within one reach. Outside of the region, one whose gate has reported to
/// be full is not a candidate.
struct crossing_candidate {
    double wait = 0;        ///< expected, in requests per slot; penalties of the server included
    bool is_offered = true; ///< may be chosen now; otherwise the request could only wait for it
};

struct crossing_request {
    service_id service;
    /// By reach; empty if there is no usable backend server.
    std::array<std::optional<crossing_candidate>, crossing_reaches> best{};
    std::size_t bytes = 0;                ///< expected size of body and response
    duration service_time{};              ///< expected, without waiting
    duration target{};                    ///< what is left of the target latency; 0: no target
    duration time_left = duration::max(); ///< until the deadline
};

/// A service started or stopped to leave the failure domain (`reach` is own_region) or the region
/// (`reach` is other_region).
struct crossing_change {
    service_id service;
    crossing_reach reach{};
    bool starts = false;
};

/// Requests and their expected bytes by reach, and requests that stayed for lack of link capacity.
struct crossing_counts {
    std::array<std::uint64_t, crossing_reaches> requests{};
    std::array<std::uint64_t, crossing_reaches> bytes{};
    std::uint64_t denied = 0;
};

/// Not thread-safe.
class crossing_policy {
public:
    explicit crossing_policy(const crossing_options& options);

    /// Sets the number of nodes in the own region, this one included, which divides the link.
    void set_region_nodes(std::size_t count, time_point now);
    /// Adds a measured round trip of a message to a node within this reach.
    void add_round_trip(crossing_reach reach, duration it);

    /// The reach to send the request to; nothing if it must wait for an own backend server or none
    /// is usable. Takes the capacity of the link for a request that leaves the region.
    std::optional<crossing_reach> decide(const crossing_request& it, time_point now);
    /// Corrects the capacity taken for a request, once its bytes are known. Additional bytes are
    /// taken from the capacity that accrues next.
    void settle(std::size_t expected_bytes, std::size_t bytes, time_point now);

    const crossing_counts& counts() const { return counts_; }
    /// Changes since the last call.
    std::vector<crossing_change> take_changes() { return std::exchange(changes_, {}); }
    /// Bytes that may leave the region now; nothing without a bound.
    std::optional<std::size_t> link_bytes(time_point now);

private:
    struct departure {
        bool is_away = false;
        time_point last_paid{}; ///< when leaving was better at last, the margin included
    };

    bool pays(const crossing_request& it, crossing_reach near, crossing_reach far, time_point now);
    crossing_reach nearest(const crossing_request& it, time_point now);
    double gain(const crossing_request& it, crossing_reach near, crossing_reach far) const;
    duration finish_time(const crossing_request& it, crossing_reach reach) const;
    double price(crossing_reach reach, std::size_t bytes) const;
    double threshold_factor(service_id service) const;
    bool is_late(const crossing_request& it, crossing_reach reach) const;
    bool may_use_link(const crossing_request& it, crossing_reach near, time_point now);
    void pay_debt(time_point now);
    std::optional<crossing_reach> count(crossing_reach reach, std::size_t bytes);

    crossing_options options_;
    std::array<duration, crossing_reaches> round_trips_{};
    std::map<std::pair<service_id, crossing_reach>, departure> departures_;
    std::optional<token_bucket> link_; ///< one token is a byte; none without a bound
    micro_tokens debt_ = 0;            ///< tokens spent that the bucket did not have
    crossing_counts counts_;
    std::vector<crossing_change> changes_;
};

/// Metric lines of the counts.
std::string crossing_text(const crossing_counts& counts, std::optional<std::size_t> link_bytes);

} // namespace jasminebank
