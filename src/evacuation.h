#pragma once

// The evacuated failure domains: those whose backend servers must get no requests, as the operators
// demand in the store. Nodes that read the store and nodes that only hear from others agree on the
// newest set by its stamp. Performs no I/O; not thread-safe.

#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Bounds of what a heartbeat carries: a datagram that is too large would not be sent at all.
constexpr std::size_t max_evacuated_domains = 32;
constexpr std::size_t max_evacuated_name_bytes = 64;
constexpr std::size_t max_evacuated_names_bytes = 384; ///< of all names together

/// Orders sets. Revisions of different eras cannot be compared.
struct evacuation_stamp {
    std::uint64_t era = 0; ///< number of restores of the store from an older copy
    /// Revision of the store at the read that first saw the set. 0: the store was restored, and
    /// entries that it lacks may still be written again; such sets are merged by union.
    std::uint64_t revision = 0;
    auto operator<=>(const evacuation_stamp&) const = default;
};

/// A set of evacuated failure domains.
struct evacuation_state {
    evacuation_stamp stamp{};
    std::vector<std::string> domains{}; ///< names, sorted
    bool operator==(const evacuation_state&) const = default;
};

/// Result of one read of the store.
struct evacuation_read {
    evacuation_stamp stamp{};           ///< era and revision of the store that was read
    std::vector<std::string> domains{}; ///< names, in any order
    /// False shortly after a restore of the store: entries of the set known before the restore are
    /// kept although the store lacks them.
    bool is_settled = true;
};

/// The newest set that this node knows.
class evacuation_record {
public:
    /// Takes a read of this node; ignored if it is older than the known set. Returns whether the
    /// set of domains changed.
    bool read(evacuation_read it);
    /// Takes a set that another node sent. Returns whether the set of domains changed.
    bool merge(const evacuation_state& it);
    const evacuation_state& state() const { return state_; }

private:
    evacuation_stamp newest() const;
    bool replace(evacuation_stamp stamp, std::vector<std::string> domains);
    bool add(evacuation_stamp stamp, const std::vector<std::string>& domains);

    evacuation_state state_;
    evacuation_stamp confirmed_; // newest read of this node that saw the same set
};

/// Names of a read that can be used, and the others.
struct checked_names {
    std::vector<std::string> accepted; ///< sorted, within the bounds above
    std::vector<std::string> refused;
};

/// Checks names from the store. If they exceed the bounds, names of `known` failure domains are
/// preferred.
checked_names check_domain_names(std::vector<std::string> names,
                                 const std::vector<failure_domain_id>& known);

/// True for a name of 1 to `max_evacuated_name_bytes` bytes without spaces, quotation marks and
/// control characters.
bool is_valid_domain_name(std::string_view name);

/// Selects the names to warn of, each once for as long as it stays in the store.
class name_warnings {
public:
    /// `names` are all names that are refused or unknown now. Returns those not returned before.
    std::vector<std::string> take_new(const std::vector<std::string>& names);

private:
    std::vector<std::string> reported_; // sorted
};

} // namespace jasminebank
