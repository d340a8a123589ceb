#pragma once

// Requests that an entry node refused with a Retry-After. A request with the same fingerprint that
// arrives before its caller's deadline is taken to be the same one, and goes before new requests of
// its rank.

#include "poison_list.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace jasminebank {

struct returned_requests_options {
    std::size_t max_requests = 16'384; ///< beyond it, further refusals are not remembered
};

/// Not thread-safe.
class returned_requests {
public:
    explicit returned_requests(const returned_requests_options& options = {});

    /// Remembers a refused request until `expires`, after which its caller does not return.
    void refused(const request_fingerprint& it, time_point expires, time_point now);
    /// Whether this request was refused before. Each refusal is counted once: identical requests of
    /// which one was refused do not all count as returned.
    bool take(const request_fingerprint& it, time_point now);
    std::size_t size() const { return expiries_.size(); }
    /// Number of requests for which `take` returned true.
    std::uint64_t returned() const { return returned_; }

private:
    void erase_expired(time_point now);

    returned_requests_options options_;
    std::multimap<request_fingerprint, time_point> expiries_;
    time_point next_cleanup_{};
    std::uint64_t returned_ = 0;
};

} // namespace jasminebank
