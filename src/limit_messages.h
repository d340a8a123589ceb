#pragma once

// Messages between entry nodes and the holders of token buckets, and between holders.
//
// The receiver of tokens counts their lifetime from the moment when it sent the request. The node
// that granted or lent them counts from the moment of its answer and adds a margin for clock drift.
// The lifetime therefore always ends at the receiver first.

#include "rate_contract.h"

#include <string>
#include <variant>
#include <vector>

namespace jasminebank {

/// One run of a node process. The link's handshake identifies it, so messages don't carry it.
struct limit_peer {
    vm_id vm;
    incarnation run;
    auto operator<=>(const limit_peer&) const = default;
};

/// Entry node to holder: requests `need` tokens for callers that are waiting and `prefetch` tokens
/// for callers expected soon.
struct grant_request {
    std::uint64_t number = 0; ///< unique in one run of the entry node
    organisation_id organisation;
    std::uint32_t need = 0;
    std::uint32_t prefetch = 0;
    duration holder_wait{};           ///< how long the holder may wait for tokens before it answers
    duration lifetime{};              ///< requested lifetime of the grant
    std::uint64_t reported_grant = 0; ///< number of an earlier grant, 0 if none is reported
    std::uint32_t spent = 0;          ///< tokens of `reported_grant` spent so far
};

/// empty: no token became available in time. not_holder: the node doesn't hold the shard of the
/// organisation.
enum class grant_status : std::uint8_t { granted, empty, not_holder };

/// Holder to entry node. If `tokens` is less than requested, `retry_after` is the expected time
/// until more are available.
struct grant {
    std::uint64_t number = 0;
    grant_status status = grant_status::granted;
    std::uint32_t tokens = 0;
    duration lifetime{};
    duration retry_after{};
};

/// Entry node to holder: closes the grant and returns all of its tokens but `spent`.
struct grant_return {
    std::uint64_t number = 0;
    organisation_id organisation;
    std::uint32_t spent = 0;
};

/// Holder to the holder in another failure domain. An urgent request is for callers that are
/// waiting; the lender then keeps no tokens back for demand that it expects itself.
struct loan_request {
    std::uint64_t number = 0; ///< unique in one run of the borrower
    organisation_id organisation;
    micro_tokens wanted = 0;
    duration lifetime{};
    bool urgent = false;
};

/// Holder to holder: lends `amount` tokens. The borrower must grant them or move them into its own
/// bucket within `lifetime`.
struct loan {
    std::uint64_t number = 0;
    organisation_id organisation;
    micro_tokens amount = 0;
    micro_tokens remaining = 0; ///< what the lender could lend beyond this loan
    duration lifetime{};
    duration retry_after{}; ///< if less than requested: when to request again
};

/// Holder to holder: returns tokens of a loan that were not used.
struct loan_return {
    std::uint64_t number = 0;
    organisation_id organisation;
    micro_tokens amount = 0;
};

using limit_message =
    std::variant<grant_request, grant, grant_return, loan_request, loan, loan_return>;

/// A message and its destination node.
struct limit_outgoing {
    vm_id to;
    limit_message body;
};

using limit_outbox = std::vector<limit_outgoing>;

/// How long the node that granted or lent tokens counts them as outstanding. The margin allows for
/// clocks whose rates differ by up to one part in 256.
constexpr duration with_drift_margin(duration lifetime)
{
    return lifetime + lifetime / 256 + std::chrono::milliseconds(1);
}

/// Longest lifetime for which with_drift_margin() is at most `remaining`; zero if there is none.
constexpr duration max_lifetime_within(duration remaining)
{
    const duration usable = remaining - std::chrono::milliseconds(1);
    return usable <= duration::zero() ? duration::zero() : usable - usable / 256;
}

/// Longest lifetime of a grant or loan. The tokens of a stopped process can't be spent any more
/// after with_drift_margin() of it.
constexpr duration max_token_lifetime = std::chrono::milliseconds(500);

} // namespace jasminebank
