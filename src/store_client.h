#pragma once

// Client of the platform's key-value store, over the published etcd v3 JSON gateway.

#include "endpoint.h"
#include "http_pool.h"
#include "store_messages.h"

#include <atomic>
#include <memory>
#include <vector>

namespace jasminebank {

struct store_client_options {
    std::vector<endpoint> endpoints;            ///< of one store, at least one
    duration timeout = std::chrono::seconds(1); ///< of a whole call, all endpoints together
    duration connect_timeout = std::chrono::milliseconds(300);
    std::size_t max_answer_bytes = std::size_t{8} << 20;
};

/// Thread-safe. Each call blocks until its answer, at most for the timeout. A call goes to the next
/// endpoint only if it was not sent or changes nothing.
class store_client {
public:
    explicit store_client(const store_client_options& options);

    /// Entries of `keys`. A stale answer shows in its revision.
    result<store_range, store_error> range(const store_key_range& keys);
    result<store_range, store_error> range(const std::string& key,
                                           const std::string& range_end = {});
    /// Sent at most once; `outcome_unknown` unless the answer tells what became of it.
    result<store_commit, store_error> commit(const store_txn& txn);
    /// `ttl` is rounded up to whole seconds. If the answer is lost, a lease nobody knows may be
    /// left until its end.
    result<store_lease, store_error> grant_lease(duration ttl);
    /// Renews for the lease's whole time; `lease_lost` if it has ended.
    result<store_lease, store_error> keep_lease_alive(lease_id lease);
    /// Ends the lease and deletes its keys; `lease_lost` if it had ended before.
    result<ok, store_error> revoke_lease(lease_id lease);

private:
    enum class send_policy : std::uint8_t { once, retryable };

    result<http_answer, http_failure> send(const char* path, const std::string& body,
                                           send_policy policy);
    result<std::string, store_error> call(const char* path, const std::string& body,
                                          send_policy policy);

    store_client_options options_;
    std::vector<std::unique_ptr<http_pool>> pools_;
    std::atomic<std::size_t> preferred_ = 0; ///< endpoint that answered last
};

static_assert(key_value_store<store_client>);

} // namespace jasminebank
