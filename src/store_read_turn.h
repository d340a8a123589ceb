#pragma once

// Decides when a node reads the configuration from the store itself. One node of each failure
// domain reads it regularly; the others do so only while they hear nothing of it. After a loss of
// all nodes they all start at once and know of no reader, and if each read a large configuration
// over the link between regions, that link would be congested for seconds. The same happens if a
// configuration is late and all nodes that wait for it begin to read.

#include "reader_rank.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminebank {

/// What a node knows of the readers of the store.
struct store_read_state {
    bool is_watcher = false;             ///< elected to read the store for other nodes
    std::optional<duration> contact_age; ///< since any node reached the store; nothing: unknown
    duration since_join{};               ///< since this node joined the fleet
    duration delay{};                    ///< of this node's turn, see `store_read_delay`
    reader_rank rank{};
    /// For how long this node has known that a peer has a newer configuration; nothing: it has not.
    std::optional<duration> behind_for{};
};

/// Why a node reads the store.
enum class store_read_reason : std::uint8_t {
    none,        ///< it does not: other nodes read it
    elected,     ///< it is the reader of its failure domain
    no_contact,  ///< it knows of no node that reached the store
    deputy,      ///< it is the next in rank, and the reader does not seem to reach the store
    old_contact, ///< the last contact that it knows of is old
};

std::string_view name_of(store_read_reason it);

/// Why the node reads the configuration now.
store_read_reason reason_to_read_store(const store_read_state& it);

/// Whether the node reads the configuration now.
bool must_read_store(const store_read_state& it);

/// Delay of the turn of a node, below one second and spread evenly over the nodes.
duration store_read_delay(vm_id vm);

} // namespace jasminebank
