#pragma once

// The rate and burst that an organisation may use over the whole fleet, and their exact division
// into one part for each failure domain.

#include "types.h"

#include <cstdint>

namespace jasminebank {

/// Millionths of a token. One request costs one token. Integers keep every bound exact.
using micro_tokens = std::int64_t;
constexpr micro_tokens one_token = 1'000'000;

/// The contract has no home domain: it is divided evenly among all failure domains.
constexpr std::uint32_t no_home = ~std::uint32_t{0};

/// Rate and burst of one organisation, summed over all nodes. A small contract is not divided but
/// assigned as a whole to one failure domain, its home: parts of a token or two would need a loan
/// from another domain for almost every request. The home must not change while the organisation
/// exists: holders learn of a change of the contract at different times, and the parts in use add
/// up to at most the larger contract only if both versions are divided in the same proportions.
struct rate_contract {
    organisation_id organisation;
    std::uint32_t home = no_home; ///< index of a failure domain
    micro_tokens rate = 0;        ///< micro-tokens a second
    micro_tokens burst = 0;       ///< micro-tokens at once
    bool operator==(const rate_contract&) const = default;
};

/// Rate and capacity of one token bucket.
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

/// The `index`-th of `count` nearly equal parts of `whole`. The parts add up to `whole` exactly.
constexpr micro_tokens split(micro_tokens whole, std::uint32_t index, std::uint32_t count)
{
    return whole / count + (index < whole % count ? 1 : 0);
}

/// Part of the contract that belongs to the domain with index `domain`, one of `domains` domains.
constexpr rate_part part_of(const rate_contract& contract, std::uint32_t domain,
                            std::uint32_t domains)
{
    if (contract.home != no_home)
        return contract.home == domain ? rate_part{contract.rate, contract.burst} : rate_part{};
    return {.rate = split(contract.rate, domain, domains),
            .burst = split(contract.burst, domain, domains)};
}

/// A contract is divided only if the burst of each part is at least this large.
constexpr micro_tokens min_part_burst = 4 * one_token;

/// Home for a new contract: no_home if its parts are large enough, else a domain chosen by hash.
constexpr std::uint32_t suggested_home(const rate_contract& contract, std::uint32_t domains)
{
    if (contract.burst >= min_part_burst * domains)
        return no_home;
    return static_cast<std::uint32_t>(mix(contract.organisation.value, 1) % domains);
}

/// Shares of a part are counted in 256ths; this is the whole part.
constexpr std::uint32_t whole_share = 256;

/// `share` 256ths of a part, rounded down: shares that add up to whole_share never exceed the part.
constexpr rate_part share_of(rate_part part, std::uint32_t share)
{
    return {.rate = part.rate * share / whole_share, .burst = part.burst * share / whole_share};
}

/// Shard that the organisation belongs to.
constexpr std::uint32_t shard_of(organisation_id organisation, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(mix(organisation.value, 0) % shards);
}

} // namespace jasminebank
