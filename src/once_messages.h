#pragma once

// Messages between the entry node of a request that carries an idempotency key and the coordinator
// of that key.

#include "digest.h"
#include "types.h"
#include "uuid_time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jasminebank {

/// An idempotency key, scoped to one organisation and to the regions that the request is restricted
/// to: equal texts from two organisations are different keys.
struct idempotency_key {
    organisation_id organisation = {};
    digest text = {}; ///< digest of the key as the caller wrote it
    /// Sorted; the key may be recorded only in these regions. Empty: in all.
    std::vector<region_id> regions = {};
    bool operator==(const idempotency_key&) const = default;
};

/// Identifies one arrival of a request at one entry node. All messages about this arrival carry the
/// same attempt.
struct claim_attempt {
    vm_id vm;
    incarnation run;
    std::uint64_t number = 0; ///< increases within one incarnation of the entry node
    bool operator==(const claim_attempt&) const = default;
};

/// Entry to coordinator: requests permission to run a request. A retransmission with the same
/// attempt receives the same answer.
struct idempotency_claim {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0; ///< digest of method, target, content length and body
    std::optional<wall_time> key_created = {}; ///< creation time of the key, if it is a UUIDv7
    claim_attempt attempt = {};
    std::uint64_t epoch = 0; ///< of the lease that the entry knows the coordinator to hold
    bool operator==(const idempotency_claim&) const = default;
};

/// How an attempt ended.
enum class claim_outcome : std::uint8_t { not_run, ran, unknown };

/// Entry to coordinator: the attempt has ended. With `not_run`, it also withdraws a claim that was
/// never answered.
struct claim_completion {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0;
    claim_attempt attempt = {};
    std::uint64_t epoch = 0;
    claim_outcome outcome = claim_outcome::unknown;
    int status = 0; ///< HTTP status; only for `ran`
    bool operator==(const claim_completion&) const = default;
};

/// Why a claim is refused.
enum class claim_refusal : std::uint8_t {
    not_coordinator,              ///< no lease, a lease of another epoch, or an expired lease
    predecessor_may_have_granted, ///< an earlier coordinator may have granted the key
    register_full,                ///< too many keys are recorded; this one has not run
    key_reused,                   ///< the key was used before for a different request
    key_time_in_future,           ///< the creation time of the key lies in the future
    attempt_withdrawn, ///< this attempt or a later one of the same entry has ended as `not_run`
};

/// Only this attempt may run the request, with `epoch` as its fencing token.
struct claim_granted {
    std::uint64_t epoch = 0;
    bool operator==(const claim_granted&) const = default;
};
/// Another attempt was granted and may still be running.
struct claim_in_progress {
    bool operator==(const claim_in_progress&) const = default;
};
/// The request has run, and its response had this status.
struct claim_executed {
    int status = 0;
    bool operator==(const claim_executed&) const = default;
};
/// The request may have run; its outcome cannot be determined.
struct claim_outcome_unknown {
    bool operator==(const claim_outcome_unknown&) const = default;
};
struct claim_refused {
    claim_refusal reason = claim_refusal::not_coordinator;
    bool operator==(const claim_refused&) const = default;
};

/// Coordinator to entry: the answer to a claim.
using claim_answer = std::variant<claim_granted, claim_in_progress, claim_executed,
                                  claim_outcome_unknown, claim_refused>;

} // namespace jasminebank

template <>
struct std::hash<jasminebank::idempotency_key> {
    std::size_t operator()(const jasminebank::idempotency_key& it) const noexcept
    {
        std::uint64_t out = it.organisation.value;
        for (const std::uint8_t byte : it.text.bytes)
            out = out * 31 + byte;
        return static_cast<std::size_t>(jasminebank::mix(out, 0));
    }
};
