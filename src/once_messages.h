#pragma once

// Messages between the entry of a request that carries an idempotency key and the home of that key.

#include "digest.h"
#include "types.h"
#include "uuid_time.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace jasminebank {

/// An idempotency key belongs to one organisation: equal texts of two are two keys.
struct idempotency_key {
    organisation_id organisation = {};
    digest text = {}; ///< of the key as the caller wrote it
    bool operator==(const idempotency_key&) const = default;
};

/// One arrival of a request at one entry, in all its messages to the home.
struct claim_attempt {
    vm_id vm;
    incarnation run;
    std::uint64_t number = 0; ///< grows in one run
    bool operator==(const claim_attempt&) const = default;
};

/// Entry to home: may the request run? Sent again with the same attempt, it gets the same answer.
struct idempotency_claim {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0;             ///< of method, target and body
    std::optional<wall_time> key_created = {}; ///< when the key was made, if it tells
    claim_attempt attempt = {};
    std::uint64_t epoch = 0; ///< of the mandate that the entry means
    bool operator==(const idempotency_claim&) const = default;
};

/// What became of an attempt.
enum class claim_outcome : std::uint8_t { not_run, ran, unknown };

/// Entry to home: the attempt is over. `not_run` also takes back a claim that was never answered.
struct claim_completion {
    idempotency_key key = {};
    std::uint64_t fingerprint = 0;
    claim_attempt attempt = {};
    std::uint64_t epoch = 0;
    claim_outcome outcome = claim_outcome::unknown;
    int status = 0; ///< HTTP status, for `ran`
    bool operator==(const claim_completion&) const = default;
};

/// Why a claim is not answered by what is known of the key.
enum class claim_refusal : std::uint8_t {
    not_coordinator,              ///< no mandate, one of another epoch, or one that has ended
    predecessor_may_have_granted, ///< an earlier home may have let the key run
    register_full,                ///< too many keys; this one has not run
    key_reused,                   ///< the key has been used for another request
    key_time_in_future,           ///< the key's own time lies in the future
    attempt_withdrawn,            ///< the attempt was already taken back
};

/// The request may run, by this attempt only, under the fencing token `epoch`.
struct claim_granted {
    std::uint64_t epoch = 0;
    bool operator==(const claim_granted&) const = default;
};
/// Another attempt may be running it.
struct claim_in_progress {
    bool operator==(const claim_in_progress&) const = default;
};
/// It ran and its answer had this status.
struct claim_executed {
    int status = 0;
    bool operator==(const claim_executed&) const = default;
};
/// It may have run; nobody can tell.
struct claim_outcome_unknown {
    bool operator==(const claim_outcome_unknown&) const = default;
};
struct claim_refused {
    claim_refusal reason = claim_refusal::not_coordinator;
    bool operator==(const claim_refused&) const = default;
};

/// Home to entry.
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
