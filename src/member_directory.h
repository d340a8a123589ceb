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

/// A node: the process in the slot of one VM.
struct member_record {
    vm_id vm;
    std::string name;
    incarnation run;           ///< grows with each start of the node
    std::uint64_t version = 0; ///< grows with each change of this record within a run
    endpoint link;             ///< where its links are accepted
    failure_domain_id domain;
    bool leaving = false; ///< a planned stop has begun
    std::vector<server_record> servers;
    bool operator==(const member_record&) const = default;
};

/// True when `a` tells newer news of the same node than `b`.
bool is_newer(const member_record& a, const member_record& b);

/// All records, sorted by node.
class member_directory {
public:
    /// Takes a record if it is news; tells whether it was.
    bool merge(const member_record& it);
    /// Forgets a node, unless a newer run than `run` is known.
    bool remove(vm_id vm, incarnation run);

    const member_record* find(vm_id vm) const;
    const std::vector<member_record>& members() const { return members_; }
    /// Grows with every change of the directory.
    std::uint64_t changes() const { return changes_; }

private:
    std::vector<member_record> members_;
    std::uint64_t changes_ = 0;
};

} // namespace jasminebank
