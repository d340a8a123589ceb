#pragma once

// JSON encoding of the store's requests and responses, as published by the etcd v3 gateway: byte
// strings in base64, 64-bit numbers as text, and members with default values omitted.

#include "store_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminebank {

namespace store_path {
constexpr const char* range = "/v3/kv/range";
constexpr const char* txn = "/v3/kv/txn";
constexpr const char* lease_grant = "/v3/lease/grant";
constexpr const char* lease_keepalive = "/v3/lease/keepalive";
constexpr const char* lease_revoke = "/v3/lease/revoke";
constexpr const char* watch = "/v3/watch";
} // namespace store_path

/// Requests the changes of `keys` from revision `from` on; 0 starts with the next change.
struct store_watch_request {
    store_key_range keys;
    store_revision from = 0;
    bool progress_notify = false; ///< send the revision periodically while there are no changes
};

/// One line of a watch response.
struct store_watch_message {
    store_event_batch batch;
    std::int64_t cluster = 1;            ///< another one after a restore from an older copy
    bool created = false;                ///< set on the first line
    bool cancelled = false;              ///< set on the last line
    store_revision compact_revision = 0; ///< if above 0: changes up to this revision were compacted
};

/// Error in the body of a response whose status is not 200. `code` is a gRPC status code.
struct store_refusal {
    int code = 0;
    std::string message;
};

std::string encode_range_request(const store_key_range& it);
std::string encode_txn_request(const store_txn& it);
std::string encode_grant_request(duration ttl);
std::string encode_lease_request(lease_id lease);
std::string encode_watch_request(const store_watch_request& it);

// Decoders of requests, used by the stand-in; nullopt if the text is not a valid request.
std::optional<store_key_range> decode_range_request(std::string_view text);
std::optional<store_txn> decode_txn_request(std::string_view text);
std::optional<duration> decode_grant_request(std::string_view text);
std::optional<lease_id> decode_lease_request(std::string_view text);
std::optional<store_watch_request> decode_watch_request(std::string_view text);

std::string encode_range(const store_range& it);
std::string encode_commit(const store_commit& it, const store_txn& request);
std::string encode_lease(const store_lease& it, store_revision revision);
/// One line with its newline, since the gateway streams the answer to a keep-alive.
std::string encode_keepalive_response(const store_lease& it, store_revision revision);
std::string encode_revoke_response(store_revision revision);
/// One line with its newline.
std::string encode_watch_message(const store_watch_message& it);
std::string encode_refusal(const store_refusal& it);

// Decoders of responses, used by the client; nullopt or false if the text is not a valid response.
std::optional<store_range> decode_range(std::string_view text);
std::optional<store_commit> decode_commit(std::string_view text);
std::optional<store_lease> decode_lease(std::string_view text);
/// A lease that has ended is returned with a TTL of 0.
std::optional<store_lease> decode_keepalive_response(std::string_view text);
bool decode_revoke_response(std::string_view text);
std::optional<store_watch_message> decode_watch_message(std::string_view text);
std::optional<store_refusal> decode_refusal(std::string_view text);

} // namespace jasminebank
