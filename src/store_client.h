#pragma once

// Client of the platform's key-value store; uses the etcd v3 JSON gateway.

#include "endpoint.h"
#include "http_pool.h"
#include "store_messages.h"

#include <atomic>
#include <memory>
#include <vector>

namespace jasminebank {

struct store_client_options {
    std::vector<endpoint> endpoints;            ///< all of the same store; at least one
    duration timeout = std::chrono::seconds(1); ///< for a whole call, over all endpoints
    duration connect_timeout = std::chrono::milliseconds(300);
    std::size_t max_answer_bytes = std::size_t{8} << 20;
};

/// Thread-safe. Each call blocks until the answer or the timeout. After a failure, a call is
/// retried on the next endpoint only if the request was not sent or is safe to repeat.
class store_client {
public:
    explicit store_client(const store_client_options& options);

    /// Reads the entries of `keys`. A stale answer is recognisable by its lower revision.
    result<store_range, store_error> range(const store_key_range& keys);
    result<store_range, store_error> range(const std::string& key,
                                           const std::string& range_end = {});
    /// Sends the transaction at most once. Returns `outcome_unknown` if the request was sent and no
    /// answer says whether it took effect.
    result<store_commit, store_error> commit(const store_txn& txn);
    /// `ttl` is rounded up to whole seconds. If the answer is lost, the store may keep a lease that
    /// no one uses until it expires.
    result<store_lease, store_error> grant_lease(duration ttl);
    /// Renews the lease for its full TTL; `lease_lost` if it has already ended.
    result<store_lease, store_error> keep_lease_alive(lease_id lease);
    /// Ends the lease and deletes its keys; `lease_lost` if it had already ended.
    result<ok, store_error> revoke_lease(lease_id lease);
    /// Always 0: calls do not decode the cluster that answers, only watches do.
    std::uint64_t era() const { return 0; }

private:
    enum class send_policy : std::uint8_t { once, retryable };

    result<http_answer, http_failure> send(const char* path, const std::string& body,
                                           send_policy policy);
    result<std::string, store_error> call(const char* path, const std::string& body,
                                          send_policy policy);

    store_client_options options_;
    std::vector<std::unique_ptr<http_pool>> pools_;
    std::atomic<std::size_t> preferred_ = 0; ///< index of the endpoint that answered last
};

static_assert(key_value_store<store_client>);

} // namespace jasminebank
