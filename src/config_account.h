#pragma once

// Counts and logs how a node gets its configuration: from the store or from a peer, with bytes and
// times. Slow and failed transfers are logged, so that a late configuration can be traced to its
// stage.

#include "endpoint.h"
#include "store_read_turn.h"
#include "types.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

/// Where a configuration came from, and what is known of its way here.
struct config_origin {
    std::string from = "store"; ///< "store", or the link address of the peer
    bool is_store = true;
    time_point known_since{}; ///< when this node first knew that there is a newer one
};

/// How a transfer of the configuration ended.
struct config_transfer {
    duration took{};
    std::size_t bytes = 0;    ///< as received; 0 if it failed
    std::string_view cause{}; ///< of the failure; empty if it succeeded
};

/// Thread-safe.
class config_account {
public:
    /// A read of the configuration's value from the store ended.
    void store_read_ended(const config_transfer& it);
    /// A fetch of `generation` or a newer one from `peer` ended.
    void fetch_ended(const endpoint& peer, std::uint64_t generation, const config_transfer& it);
    /// This node reads the store for `reason` from now on; `contact_age` is the age of the last
    /// contact with the store that it knows of.
    void reader_changed(store_read_reason reason, std::optional<duration> contact_age);
    /// Metric lines.
    std::string text() const;

private:
    struct transfer_counts {
        std::atomic<std::uint64_t> succeeded{0};
        std::atomic<std::uint64_t> failed{0};
        std::atomic<std::uint64_t> bytes{0};

        void add(const config_transfer& it);
    };

    static void append(std::string& out, std::string_view name, const transfer_counts& it);

    std::atomic<store_read_reason> reason_{store_read_reason::none};
    transfer_counts store_reads_;
    transfer_counts fetches_;
};

} // namespace jasminebank
