#pragma once

// Messages between entry nodes and the holders of token buckets, and between holders.
//
// Every life is counted by the receiver of the tokens from the moment when it SENT its request, by
// the giver from the moment of giving plus a guard for clock drift: the receiver stops first.

#include "rate_contract.h"

#include <string>
#include <variant>
#include <vector>

namespace jasminebank {

/// One run of a node process. The link's handshake tells it, so messages need not carry it.
struct limit_peer {
    vm_id vm;
    incarnation run;
    auto operator<=>(const limit_peer&) const = default;
};

/// Entry to holder: tokens for callers that wait (`need`) and for those to come (`ahead`).
struct grant_request {
    std::uint64_t number = 0; ///< unique in one run of the entry
    organisation_id organisation;
    std::uint32_t need = 0;
    std::uint32_t prefetch = 0;
    duration holder_wait{};           ///< how long the holder may look for tokens before it answers
    duration lifetime{};              ///< wanted life of the grant
    std::uint64_t reported_grant = 0; ///< number of an earlier grant, 0 if none
    std::uint32_t spent = 0;          ///< tokens of that grant spent so far
};

enum class grant_status : std::uint8_t { granted, empty, not_holder };

/// Holder to entry. `tokens` may be less than asked for; then `retry_after` tells when more come.
struct grant {
    std::uint64_t number = 0;
    grant_status status = grant_status::granted;
    std::uint32_t tokens = 0;
    duration lifetime{};
    duration retry_after{};
};

/// Entry to holder: the grant is closed; all but `spent` tokens come back.
struct grant_return {
    std::uint64_t number = 0;
    organisation_id organisation;
    std::uint32_t spent = 0;
};

/// Holder to holder of another domain. Urgent: a caller waits, so the lender keeps no reserve.
struct loan_request {
    std::uint64_t number = 0; ///< unique in one run of the borrower
    organisation_id organisation;
    micro_tokens wanted = 0;
    duration lifetime{};
    bool urgent = false;
};

/// Holder to holder: `amount` tokens, to be used or taken in by the borrower within `life`.
struct loan {
    std::uint64_t number = 0;
    organisation_id organisation;
    micro_tokens amount = 0;
    micro_tokens remaining = 0; ///< what the lender could still lend
    duration lifetime{};
    duration retry_after{}; ///< if less than wanted: when to ask again
};

/// Holder to holder: tokens of a loan that were not used.
struct loan_return {
    std::uint64_t number = 0;
    organisation_id organisation;
    micro_tokens amount = 0;
};

using limit_message =
    std::variant<grant_request, grant, grant_return, loan_request, loan, loan_return>;

/// A message and the node that it goes to.
struct limit_outgoing {
    vm_id to;
    limit_message body;
};

using limit_outbox = std::vector<limit_outgoing>;

/// How long a giver counts tokens as outstanding that it gave for `life`: clocks may differ by one
/// part in 256.
constexpr duration with_drift_margin(duration lifetime)
{
    return lifetime + lifetime / 256 + std::chrono::milliseconds(1);
}

/// The longest life whose guarded() fits into `left`; zero if none does.
constexpr duration max_lifetime_within(duration remaining)
{
    const duration usable = remaining - std::chrono::milliseconds(1);
    return usable <= duration::zero() ? duration::zero() : usable - usable / 256;
}

/// Longest life of a grant or loan; a stopped process leaves nothing behind after guarded() of it.
constexpr duration max_token_lifetime = std::chrono::milliseconds(500);

} // namespace jasminebank
