#pragma once

// The records of all known nodes and of their backend servers. Only the node itself changes its
// record, which carries the node's incarnation and a version number. So records can be merged in
// any order and any number of times with the same result.

#include "endpoint.h"
#include "server_standing.h"
#include "types.h"
#include "withdrawal_list.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminebank {

/// A backend server, as announced by the node in front of it.
struct server_record {
    backend_server_id id;
    service_id service;
    endpoint address;
    std::uint32_t slots = 0;
    bool draining = false; ///< receives no new requests
    server_standing standing = server_standing::serving;
    bool operator==(const server_record&) const = default;
};

/// A shard of the rate limits whose lease a node holds for its failure domain.
struct held_shard {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0; ///< if two nodes claim a shard, the one with the higher epoch holds it
    bool operator==(const held_shard&) const = default;
};

/// A node: one process per VM.
struct member_record {
    vm_id vm;
    std::string name;
    incarnation run;           ///< increases with each start of the node
    std::uint64_t version = 0; ///< increases with each change of the record within a run
    endpoint link;             ///< address at which the node accepts links
    failure_domain_id domain;
    std::uint32_t link_rate = 0; ///< Mbit/s of the VM's own link; 0: unknown
    bool leaving = false;        ///< a planned shutdown has begun
    std::vector<server_record> servers{};
    std::vector<held_shard> shards{}; ///< few: the nodes of a failure domain share all shards
    /// Backend servers that withdrew last from this node or its earlier runs, oldest first.
    std::vector<server_withdrawal> withdrawn{};
    bool operator==(const member_record&) const = default;
};

/// Identifies a version of a node's record.
struct record_stamp {
    vm_id vm;
    incarnation run;
    std::uint64_t version = 0;
    bool operator==(const record_stamp&) const = default;
};

record_stamp stamp_of(const member_record& it);

/// True if `a` is a newer version than `b` of the same node's record.
bool is_newer(const record_stamp& a, const record_stamp& b);

/// The records of all known nodes, sorted by node.
class member_directory {
public:
    /// Adds or replaces a record, unless the same or a newer version is known or was removed. True
    /// if the directory changed.
    bool merge(const member_record& it);
    /// Removes a node unless a newer version than `stamp` is known. True if it was removed.
    bool remove(const record_stamp& stamp);
    /// The version in which a node was last removed; nullptr if it was not removed or the removal
    /// is no longer recorded.
    const record_stamp* find_tombstone(vm_id vm) const;
    /// Hash of all record versions: equal for directories with the same versions.
    std::uint64_t digest() const { return digest_; }

    /// Backend servers that withdrew from runs of the node before `run`, as far as known here.
    withdrawal_list withdrawals_before(vm_id vm, incarnation run) const;

    const member_record* find(vm_id vm) const;
    const std::vector<member_record>& members() const { return members_; }
    /// Number of changes of the directory so far.
    std::uint64_t change_count() const { return change_count_; }

private:
    void keep_withdrawals(const member_record& it);

    std::vector<member_record> members_;
    std::map<vm_id, withdrawal_list> withdrawn_; // from earlier runs of nodes
    std::vector<record_stamp> tombstones_;       // oldest first
    std::uint64_t digest_ = 0;
    std::uint64_t change_count_ = 0;
};

} // namespace jasminebank
