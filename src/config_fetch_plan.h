#pragma once

// Decides from which peers a node fetches a newer configuration, and when. One node of each failure
// domain gets it from the store or from another domain; the others get it within their domain. A
// fetch that fails or takes long is followed by one from another peer, without waiting for further
// news.

#include "endpoint.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jasminebank {

/// A peer told of the generation that it has.
struct config_news {
    endpoint peer;
    std::uint64_t generation = 0;
    /// Whether this node fetches from the peer at once: it is in the own domain, or this node is
    /// the one of its domain that fetches from others.
    bool is_preferred = true;
};

/// A fetch to be started.
struct config_fetch {
    endpoint peer;
    std::uint64_t generation = 0; ///< that the peer told of
    time_point known_since{};     ///< when this node first knew that there is a newer one
    duration timeout{};           ///< for the whole answer
};

/// Not thread-safe.
class config_fetch_plan {
public:
    config_fetch_plan();

    /// A peer told of its generation. Ignored unless it is newer than the one in force here.
    void hear(const config_news& it, time_point now);
    /// The next fetch, which counts as started; nothing if none is due. Call it after each other
    /// call until it returns nothing, and about every 50 ms.
    std::optional<config_fetch> next(time_point now);
    /// The fetch from `peer` ended.
    void ended(const endpoint& peer, bool succeeded, time_point now);
    /// `generation` is in force here.
    void set_in_force(std::uint64_t generation, time_point now);
    /// For how long this node has known of a configuration newer than the one in force; nothing if
    /// it knows of none, or no peer has told of one lately: those that had it may be gone.
    std::optional<duration> behind_for(time_point now) const;

private:
    struct source {
        config_news news;
        std::optional<time_point> fetched_at{}; // start of the fetch that is under way
        time_point not_before{};                // after a failure
        bool is_told = true;                    // since the last failure
    };

    bool is_due(const source& it, time_point now) const;

    std::vector<source> sources_; // in the order in which they told
    std::uint64_t in_force_ = 0;
    std::optional<time_point> behind_since_;
    time_point last_told_; // of a newer one
    duration timeout_;     // of the next fetch
};

} // namespace jasminebank
