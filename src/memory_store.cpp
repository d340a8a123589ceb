#include "memory_store.h"

namespace jasminebank {

void memory_store::advance(duration passed)
{
    now_ += passed;
    state_.step(now_);
}

std::optional<store_error> memory_store::check_faults(call_rate_limiter& limiter,
                                                      std::uint32_t rate)
{
    if (faults_.down == outage::refuse)
        return store_error{.kind = store_error_kind::unreachable, .detail = "down"};
    if (faults_.down == outage::hang)
        return store_error{.kind = store_error_kind::timed_out, .detail = "down"};
    if (!limiter.admit(rate, now_))
        return store_error{.kind = store_error_kind::overloaded, .detail = "too many requests"};
    return std::nullopt;
}

std::optional<store_error> memory_store::check_read_faults()
{
    return check_faults(read_limiter_, faults_.reads_per_second);
}

std::optional<store_error> memory_store::check_write_faults()
{
    return check_faults(write_limiter_, faults_.writes_per_second);
}

result<store_range, store_error> memory_store::range(const store_key_range& keys)
{
    if (auto error = check_read_faults())
        return *std::move(error);
    return state_.range_before(keys, faults_.stale_revisions);
}

// As over a network, a transaction sent to a hanging store has an unknown outcome; here it is never
// applied.
result<store_commit, store_error> memory_store::commit(const store_txn& txn)
{
    constexpr auto unknown = store_error_kind::outcome_unknown;
    if (faults_.down == outage::hang)
        return store_error{.kind = unknown, .detail = "down"};
    if (auto error = check_write_faults())
        return *std::move(error);
    auto out = state_.commit(txn);
    if (faults_.lose_answers == 0)
        return out;
    --faults_.lose_answers;
    return store_error{.kind = unknown, .detail = "answer lost"};
}

result<store_lease, store_error> memory_store::grant_lease(duration ttl)
{
    if (auto error = check_write_faults())
        return *std::move(error);
    return state_.grant_lease(ttl, now_);
}

result<store_lease, store_error> memory_store::keep_lease_alive(lease_id lease)
{
    if (auto error = check_write_faults())
        return *std::move(error);
    return state_.keep_lease_alive(lease, now_);
}

result<ok, store_error> memory_store::revoke_lease(lease_id lease)
{
    if (auto error = check_write_faults())
        return *std::move(error);
    return state_.revoke_lease(lease);
}

} // namespace jasminebank
