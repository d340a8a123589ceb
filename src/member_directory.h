#pragma once

// What a node knows of all nodes and of the backend servers behind them. Each record is written by
// its own node only and carries that node's incarnation and a version, so records merge in any
// order, any number of times, to the same state.

#include "endpoint.h"
#include "server_standing.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminebank {

/// A backend server as its gate announces it.
struct server_record {
    backend_server_id id;
    service_id service;
    endpoint address;
    std::uint32_t slots = 0;
    bool draining = false; ///< gets no new work
    server_standing standing = server_standing::serving;
    bool operator==(const server_record&) const = default;
};

/// A shard of the limits whose mandate a node holds in its failure domain.
struct held_shard {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0; ///< of two nodes that claim a shard, the higher epoch is right
    bool operator==(const held_shard&) const = default;
};

/// A node: the process in the slot of one VM.
struct member_record {
    vm_id vm;
    std::string name;
    incarnation run;           ///< grows with each start of the node
    std::uint64_t version = 0; ///< grows with each change of this record within a run
    endpoint link;             ///< where its links are accepted
    failure_domain_id domain;
    bool leaving = false; ///< a planned stop has begun
    std::vector<server_record> servers{};
    std::vector<held_shard> shards{}; ///< few: all shards over the nodes of a failure domain
    bool operator==(const member_record&) const = default;
};

/// Which edition of a node's record somebody knows.
struct record_stamp {
    vm_id vm;
    incarnation run;
    std::uint64_t version = 0;
    bool operator==(const record_stamp&) const = default;
};

record_stamp stamp_of(const member_record& it);

/// True when `a` is a newer edition than `b` of the same node's record.
bool is_newer(const record_stamp& a, const record_stamp& b);

/// All records, sorted by node.
class member_directory {
public:
    /// Takes a record if it is news; tells whether it was. A removed node comes back only with a
    /// newer edition than the one that was removed.
    bool merge(const member_record& it);
    /// Forgets a node, unless a newer edition than `stamp` is known.
    bool remove(const record_stamp& stamp);
    /// The edition of a node that was removed lately, if it was.
    const record_stamp* find_tombstone(vm_id vm) const;
    /// The same for two directories that know the same editions.
    std::uint64_t digest() const { return digest_; }

    const member_record* find(vm_id vm) const;
    const std::vector<member_record>& members() const { return members_; }
    /// Grows with every change of the directory.
    std::uint64_t change_count() const { return change_count_; }

private:
    std::vector<member_record> members_;
    std::vector<record_stamp> tombstones_; // oldest first
    std::uint64_t digest_ = 0;
    std::uint64_t change_count_ = 0;
};

} // namespace jasminebank
