#pragma once

// The key-value store within the process, for tests and benches of code that is written against the
// concept `key_value_store`: no socket, no clock, and the same faults as the stand-in.

#include "store_faults.h"
#include "store_state.h"

namespace jasminebank {

/// Time passes only by `advance`. Not thread-safe.
class memory_store {
public:
    explicit memory_store(const store_state_options& options = {}) : state_(options) {}

    /// Lets time pass and ends the leases that are over.
    void advance(duration passed);
    /// `slow` has no meaning here: no call takes time.
    void set_faults(const store_faults& faults) { faults_ = faults; }
    /// The contents, to read the history in place of a watch or to lapse leases.
    store_state& state() { return state_; }

    result<store_range, store_error> range(const store_key_range& keys);
    result<store_commit, store_error> commit(const store_txn& txn);
    result<store_lease, store_error> grant_lease(duration ttl);
    result<store_lease, store_error> keep_lease_alive(lease_id lease);
    result<ok, store_error> revoke_lease(lease_id lease);

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
