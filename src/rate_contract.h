#pragma once

// The contract of an organisation: rate and burst over the whole fleet, and its exact split into
// parts, one for each failure domain.

#include "types.h"

#include <cstdint>

namespace jasminebank {

/// Millionths of a token; one token admits one request. Integers keep every bound exact.
using micro_tokens = std::int64_t;
constexpr micro_tokens one_token = 1'000'000;

/// No home domain: the contract is split evenly over all failure domains.
constexpr std::uint32_t no_home = ~std::uint32_t{0};

/// Rate and burst of one organisation over all nodes together. A small contract has a home domain
/// that owns all of it, as parts of a token or two would be borrowed to and fro for each request.
/// The home must not change while the organisation exists: holders learn of a change at different
/// times, and only equal proportions keep the sum of the parts within the larger contract.
struct rate_contract {
    organisation_id organisation;
    std::uint32_t home = no_home; ///< index of a failure domain
    micro_tokens rate = 0;        ///< micro-tokens a second
    micro_tokens burst = 0;       ///< micro-tokens at once
    bool operator==(const rate_contract&) const = default;
};

/// What one bucket may hold and accrue.
struct rate_part {
    micro_tokens rate = 0;  ///< micro-tokens a second
    micro_tokens burst = 0; ///< micro-tokens
    bool operator==(const rate_part&) const = default;
};

/// Contract of `rate` requests a second and `burst` requests at once.
constexpr rate_contract make_contract(organisation_id organisation, double rate, double burst,
                                      std::uint32_t home = no_home)
{
    return {.organisation = organisation,
            .home = home,
            .rate = static_cast<micro_tokens>(rate * one_token),
            .burst = static_cast<micro_tokens>(burst * one_token)};
}

/// `index`-th of `count` parts of `whole`; the parts add up to `whole` exactly.
constexpr micro_tokens split(micro_tokens whole, std::uint32_t index, std::uint32_t count)
{
    return whole / count + (index < whole % count ? 1 : 0);
}

/// Part of the contract that the domain with this index owns, of `domains` domains.
constexpr rate_part part_of(const rate_contract& contract, std::uint32_t domain,
                            std::uint32_t domains)
{
    if (contract.home != no_home)
        return contract.home == domain ? rate_part{contract.rate, contract.burst} : rate_part{};
    return {.rate = split(contract.rate, domain, domains),
            .burst = split(contract.burst, domain, domains)};
}

/// Parts below this many tokens are not worth splitting.
constexpr micro_tokens min_part_burst = 4 * one_token;

/// Home for a new contract: none if its parts are large enough, else one chosen by hash.
constexpr std::uint32_t suggested_home(const rate_contract& contract, std::uint32_t domains)
{
    if (contract.burst >= min_part_burst * domains)
        return no_home;
    return static_cast<std::uint32_t>(mix(contract.organisation.value, 1) % domains);
}

/// A share is counted in 256ths of a part.
constexpr std::uint32_t whole_share = 256;

/// `share` 256ths of a part, rounded down, so that shares that add up to one never exceed it.
constexpr rate_part share_of(rate_part part, std::uint32_t share)
{
    return {.rate = part.rate * share / whole_share, .burst = part.burst * share / whole_share};
}

/// Shard of an organisation.
constexpr std::uint32_t shard_of(organisation_id organisation, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(mix(organisation.value, 0) % shards);
}

} // namespace jasminebank
