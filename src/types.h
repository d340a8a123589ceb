#pragma once

// Identifier and time types shared by all modules. Each kind of object has a distinct identifier
// type, so that an organisation's id cannot be passed where a service's id is expected.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace jasminebank {

/// Clock of all time-dependent logic: time since boot, including suspended time. It has no now(),
/// so that time is always a parameter: the programs read it with boot_now().
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Identifier of one kind of object; each kind has its own `Tag`.
template <class Tag>
struct strong_id {
    std::uint64_t value = 0;
    constexpr auto operator<=>(const strong_id&) const = default;
};

using organisation_id = strong_id<struct organisation_tag>; ///< tenant; hash of its name
using service_id = strong_id<struct service_tag>;           ///< hash of the service's name
using route_id = strong_id<struct route_tag>;               ///< hash of the route's name
using vm_id = strong_id<struct vm_tag>; ///< VM that runs a node; hash of its name
using failure_domain_id = strong_id<struct failure_domain_tag>; ///< hash of the domain's name
using region_id = strong_id<struct region_tag>; ///< group of failure domains; hash of its name
using backend_server_id =
    strong_id<struct backend_server_tag>; ///< upstream server; hash of "host:port"

/// Number that increases with each start of a node on the same VM; distinguishes its runs.
using incarnation = strong_id<struct incarnation_tag>;

/// 64-bit FNV-1a hash of a name, from which the ids above are made. The command `check` rejects
/// configurations in which two names have the same hash.
constexpr std::uint64_t hash_name(std::string_view name)
{
    constexpr std::uint64_t offset_basis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t h = offset_basis;
    for (char c : name) {
        h ^= static_cast<unsigned char>(c);
        h *= prime;
    }
    return h;
}

template <class Id>
constexpr Id id_of(std::string_view name)
{
    return Id{hash_name(name)};
}

/// Combines two words into one hash with a good avalanche effect; used for rendezvous hashing and
/// sharding.
constexpr std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x ^= x >> 30;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace jasminebank

template <class Tag>
struct std::hash<jasminebank::strong_id<Tag>> {
    std::size_t operator()(const jasminebank::strong_id<Tag>& it) const noexcept
    {
        return static_cast<std::size_t>(jasminebank::mix(it.value, 0));
    }
};
