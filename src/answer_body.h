#pragma once

// The body that a fake backend server gives for a request: a deterministic function of the
// request's id, the wanted size and the digest of the request's body. Whoever knows those three can
// check that an answer is whole and belongs to its request.

#include "digest.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace jasminebank {

/// Generates any part of one answer's body.
class answer_body {
public:
    answer_body(std::string_view request_id, std::uint64_t size, const digest& request_body);

    /// Bytes in all.
    std::uint64_t size() const { return size_; }
    /// The `length` bytes from `offset` on, cut at the end of the body.
    std::string part(std::uint64_t offset, std::uint64_t length) const;
    /// True when `text` is what stands at `offset`.
    bool matches(std::uint64_t offset, std::string_view text) const;

private:
    std::uint64_t word(std::uint64_t offset) const;

    std::uint64_t seed_ = 0;
    std::uint64_t size_ = 0;
};

} // namespace jasminebank
