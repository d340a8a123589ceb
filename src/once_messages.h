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
struct once_key {
    organisation_id organisation = {};
    digest text = {}; ///< of the key as the caller wrote it
    bool operator==(const once_key&) const = default;
};

/// One arrival of a request at one entry, in all its messages to the home.
struct once_attempt {
    vm_id vm;
    incarnation run;
    std::uint64_t number = 0; ///< grows in one run
    bool operator==(const once_attempt&) const = default;
};

/// Entry to home: may the request run? Sent again with the same attempt, it gets the same answer.
struct once_claim {
    once_key key = {};
    std::uint64_t fingerprint = 0;      ///< of method, target and body
    std::optional<wall_time> made = {}; ///< when the key was made, if it tells
    once_attempt attempt = {};
    std::uint64_t epoch = 0; ///< of the mandate that the entry means
    bool operator==(const once_claim&) const = default;
};

/// What became of an attempt.
enum class once_outcome : std::uint8_t { not_run, ran, unknown };

/// Entry to home: the attempt is over. `not_run` also takes back a claim that was never answered.
struct once_settlement {
    once_key key = {};
    std::uint64_t fingerprint = 0;
    once_attempt attempt = {};
    std::uint64_t epoch = 0;
    once_outcome outcome = once_outcome::unknown;
    int status = 0; ///< HTTP status, for `ran`
    bool operator==(const once_settlement&) const = default;
};

/// Why a claim is not answered by what is known of the key.
enum class once_refusal : std::uint8_t {
    not_home,      ///< no mandate, one of another epoch, or one that has ended
    home_lost,     ///< an earlier home may have let the key run
    register_full, ///< too many keys; this one has not run
    key_reused,    ///< the key has been used for another request
    key_too_new,   ///< the key's own time lies in the future
    stale,         ///< the attempt was already taken back
};

/// The request may run, by this attempt only, under the fencing token `epoch`.
struct once_granted {
    std::uint64_t epoch = 0;
    bool operator==(const once_granted&) const = default;
};
/// Another attempt may be running it.
struct once_running {
    bool operator==(const once_running&) const = default;
};
/// It ran and its answer had this status.
struct once_done {
    int status = 0;
    bool operator==(const once_done&) const = default;
};
/// It may have run; nobody can tell.
struct once_unknown {
    bool operator==(const once_unknown&) const = default;
};
struct once_refused {
    once_refusal reason = once_refusal::not_home;
    bool operator==(const once_refused&) const = default;
};

/// Home to entry.
using once_answer = std::variant<once_granted, once_running, once_done, once_unknown, once_refused>;

} // namespace jasminebank

template <>
struct std::hash<jasminebank::once_key> {
    std::size_t operator()(const jasminebank::once_key& it) const noexcept
    {
        std::uint64_t out = it.organisation.value;
        for (const std::uint8_t byte : it.text.bytes)
            out = out * 31 + byte;
        return static_cast<std::size_t>(jasminebank::mix(out, 0));
    }
};
