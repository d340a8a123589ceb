#include "store_client.h"

#include "store_codec.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <cassert>

namespace jasminebank {

static constexpr int http_ok = 200;
static constexpr int http_client_error = 400;
static constexpr int http_request_timeout = 408;
static constexpr int http_too_many_requests = 429;
static constexpr int http_cancelled = 499;
static constexpr int http_server_error = 500;
static constexpr int http_unavailable = 503;
static constexpr int grpc_not_found = 5;

store_client::store_client(const store_client_options& options) : options_(options)
{
    assert(!options.endpoints.empty());
    for (const endpoint& it : options.endpoints)
        pools_.push_back(std::make_unique<http_pool>(
            http_pool_options{.server = it,
                              .connect_timeout = options.connect_timeout,
                              .max_answer_bytes = options.max_answer_bytes}));
}

// Each remaining endpoint gets an equal share of the remaining time. A call that must not be sent
// twice cannot use another endpoint afterwards, so it may wait until the deadline.
result<http_answer, http_failure> store_client::send(const char* path, const std::string& body,
                                                     send_policy policy)
{
    const time_point deadline = boot_now() + options_.timeout;
    const std::size_t first = preferred_.load();
    result<http_answer, http_failure> out = http_failure::not_sent;
    for (std::size_t i = 0; i < pools_.size(); ++i) {
        const time_point now = boot_now();
        if (now >= deadline)
            break;
        const auto endpoints_left = static_cast<duration::rep>(pools_.size() - i);
        const std::size_t at = (first + i) % pools_.size();
        out = pools_[at]->post(
            path, body,
            policy == send_policy::once ? deadline : now + (deadline - now) / endpoints_left);
        if (!failed(out)) {
            preferred_ = at;
            return out;
        }
        if (policy == send_policy::once && error_of(out) != http_failure::not_sent)
            return out;
    }
    return out;
}

static store_error error_from(http_failure failure)
{
    switch (failure) {
    case http_failure::not_sent:
        return {.kind = store_error_kind::unreachable, .detail = "no connection"};
    case http_failure::interrupted:
        return {.kind = store_error_kind::unreachable, .detail = "connection broken"};
    case http_failure::deadline_exceeded:
        return {.kind = store_error_kind::timed_out, .detail = "no answer in time"};
    case http_failure::too_large:
        return {.kind = store_error_kind::malformed, .detail = "answer too large"};
    }
    return {};
}

static store_error error_from(const http_answer& answer)
{
    const auto refusal = decode_refusal(answer.body);
    store_error out{.kind = store_error_kind::malformed,
                    .detail =
                        fmt::format("status {}: {}", answer.status,
                                    refusal ? refusal->message : std::string("no reason given"))};
    const bool was_cancelled =
        answer.status == http_request_timeout || answer.status == http_cancelled;
    if (answer.status == http_too_many_requests || answer.status == http_unavailable)
        out.kind = store_error_kind::overloaded;
    else if (answer.status >= http_server_error || was_cancelled)
        out.kind = store_error_kind::unreachable;
    else if (refusal && refusal->code == grpc_not_found)
        out.kind = store_error_kind::lease_lost;
    else if (answer.status >= http_client_error)
        out.kind = store_error_kind::refused;
    return out;
}

// A transaction that was sent is known to have had no effect only if the store rejected it. Status
// 503 does not prove that: the store also returns it when consensus on the transaction timed out.
static bool is_without_effect(const http_answer& answer)
{
    return answer.status >= http_client_error && answer.status < http_server_error &&
           answer.status != http_request_timeout && answer.status != http_cancelled;
}

static store_error unknown_outcome(const store_error& cause)
{
    return {.kind = store_error_kind::outcome_unknown, .detail = cause.detail};
}

static store_error malformed_answer()
{
    return {.kind = store_error_kind::malformed, .detail = "the store's answer cannot be decoded"};
}

result<std::string, store_error> store_client::call(const char* path, const std::string& body,
                                                    send_policy policy)
{
    auto answer = send(path, body, policy);
    if (failed(answer))
        return error_from(error_of(answer));
    if (value_of(answer).status != http_ok)
        return error_from(value_of(answer));
    return std::move(value_of(answer).body);
}

// Decodes a successful answer, or returns the error of the call or of the decoding.
template <class Value>
static result<Value, store_error> read_answer(const result<std::string, store_error>& answer,
                                              std::optional<Value> (*decode)(std::string_view))
{
    if (failed(answer))
        return error_of(answer);
    auto value = decode(value_of(answer));
    if (!value)
        return malformed_answer();
    return *std::move(value);
}

result<store_range, store_error> store_client::range(const store_key_range& keys)
{
    return read_answer(call(store_path::range, encode_range_request(keys), send_policy::retryable),
                       decode_range);
}

result<store_range, store_error> store_client::range(const std::string& key,
                                                     const std::string& range_end)
{
    return range({.key = key, .range_end = range_end});
}

result<store_commit, store_error> store_client::commit(const store_txn& txn)
{
    const auto answer = send(store_path::txn, encode_txn_request(txn), send_policy::once);
    if (failed(answer)) {
        const store_error cause = error_from(error_of(answer));
        return error_of(answer) == http_failure::not_sent ? cause : unknown_outcome(cause);
    }
    if (value_of(answer).status != http_ok) {
        const store_error cause = error_from(value_of(answer));
        return is_without_effect(value_of(answer)) ? cause : unknown_outcome(cause);
    }
    auto out = decode_commit(value_of(answer).body);
    if (!out)
        return unknown_outcome(malformed_answer());
    return *std::move(out);
}

result<store_lease, store_error> store_client::grant_lease(duration ttl)
{
    return read_answer(call(store_path::lease_grant, encode_grant_request(ttl), send_policy::once),
                       decode_lease);
}

result<store_lease, store_error> store_client::keep_lease_alive(lease_id lease)
{
    auto out = read_answer(
        call(store_path::lease_keepalive, encode_lease_request(lease), send_policy::retryable),
        decode_keepalive_response);
    if (!failed(out) && value_of(out).ttl == duration::zero())
        return store_error{.kind = store_error_kind::lease_lost, .detail = "lease has ended"};
    return out;
}

result<ok, store_error> store_client::revoke_lease(lease_id lease)
{
    const auto answer =
        call(store_path::lease_revoke, encode_lease_request(lease), send_policy::retryable);
    if (failed(answer))
        return error_of(answer);
    if (!decode_revoke_response(value_of(answer)))
        return malformed_answer();
    return ok{};
}

} // namespace jasminebank
