#pragma once

// In-process key-value store for tests and benchmarks of code that uses the `key_value_store`
// concept. It has no sockets and no clock, and supports the same faults as the stand-in server.

#include "store_faults.h"
#include "store_state.h"

namespace jasminebank {

/// Time advances only through `advance`. Not thread-safe.
class memory_store {
public:
    explicit memory_store(const store_state_options& options = {}) : state_(options) {}

    /// Advances the time and ends the leases that have expired.
    void advance(duration passed);
    /// `slow` has no effect, since calls take no time here.
    void set_faults(const store_faults& faults) { faults_ = faults; }
    /// The underlying state, to read the history in place of a watch or to expire leases.
    store_state& state() { return state_; }

    result<store_range, store_error> range(const store_key_range& keys);
    result<store_commit, store_error> commit(const store_txn& txn);
    result<store_lease, store_error> grant_lease(duration ttl);
    result<store_lease, store_error> keep_lease_alive(lease_id lease);
    result<ok, store_error> revoke_lease(lease_id lease);
    std::uint64_t era() const { return 0; }

private:
    std::optional<store_error> check_read_faults();
    std::optional<store_error> check_write_faults();
    std::optional<store_error> check_faults(call_rate_limiter& limiter, std::uint32_t rate);

    store_state state_;
    store_faults faults_;
    call_rate_limiter read_limiter_;
    call_rate_limiter write_limiter_;
    time_point now_;
};

static_assert(key_value_store<memory_store>);

} // namespace jasminebank
