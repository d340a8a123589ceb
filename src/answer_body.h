#pragma once

// The answer body that a fake backend server generates: a deterministic function of the request's
// id, the requested size and the digest of the request's body. A test that knows these three can
// check that an answer is complete and belongs to its request.

#include "digest.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminebank {

/// Generates any range of one answer's body.
class answer_body {
public:
    answer_body(std::string_view request_id, std::uint64_t size, const digest& request_body);

    /// Total size in bytes.
    std::uint64_t size() const { return size_; }
    /// Returns the `length` bytes from `offset` on, truncated at the end of the body.
    std::string part(std::uint64_t offset, std::uint64_t length) const;
    /// Returns whether the body contains `text` at `offset`.
    bool matches(std::uint64_t offset, std::string_view text) const;

private:
    std::uint64_t word(std::uint64_t offset) const;

    std::uint64_t seed_ = 0;
    std::uint64_t size_ = 0;
};

} // namespace jasminebank
