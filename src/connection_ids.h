#pragma once

// Tells which answers on a connection to a backend server belong to the request that was sent last.
// A faulty server may write an answer a second time, at any time later, and only the id of the
// request tells such a copy from the answer that is due.

#include <cstddef>
#include <string>
#include <vector>

namespace jasminebank {

/// The ids of the requests that were sent on one connection, in turn. An id may be null: the
/// request or the answer has none.
class connection_ids {
public:
    /// Whether a request with this id may be sent next: an earlier one with the same id, or none,
    /// could not be told from it.
    bool may_send(const std::string* id) const;
    void sent(const std::string* id);
    /// Whether an answer with this id belongs to the request sent last. Without an id on either
    /// side, only if the connection carried no earlier request.
    bool is_own(const std::string* answer_id) const;
    /// Whether the connection may carry further requests after an own answer with this id.
    bool may_be_kept(const std::string* answer_id) const;

private:
    std::vector<std::size_t> sent_; // hashes; equal ones of different ids only cost a connection
    std::string last_id_;
    bool has_last_id_ = false;
};

} // namespace jasminebank
