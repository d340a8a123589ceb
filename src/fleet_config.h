#pragma once

// The operators' configuration of one generation: services, routes and organisations, built from
// templates and parameters in INI files. See docs/OPERATIONS.md for the fields.

#include "digest.h"
#include "ini_file.h"
#include "result.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// A group of equal backend servers.
struct service_config {
    service_id id;
    std::string name;
    std::uint32_t floor_slots = 0; ///< ejecting never takes healthy capacity below this
    duration timeout{};            ///< longest time for one request
};

/// Which requests of a route may be run twice without harm.
enum class idempotency : std::uint8_t {
    by_method, ///< GET, HEAD, OPTIONS, PUT and DELETE
    always,    ///< every method
    never,     ///< none
};

/// One of the services that a route spreads its requests over, in proportion to the weights.
struct route_target {
    service_id service;
    std::uint32_t weight = 1;
};

/// Backend servers tried for one request when the route does not say it.
constexpr std::size_t default_attempts = 3;

/// Which requests go to which service.
struct route_config {
    route_id id;
    std::string name;
    std::string host; ///< in lower case; empty: all hosts
    std::string path; ///< prefix, ends at a '/' boundary of the request's path
    service_id service;
    std::vector<route_target> targets; ///< empty: all requests go to `service`
    std::vector<std::string> methods;  ///< empty: all
    idempotency idempotent = idempotency::by_method;
    std::vector<organisation_id> organisations; ///< sorted; empty: open to all organisations
    std::size_t attempts = default_attempts;    ///< backend servers that one request may reach
    duration timeout{};                         ///< longest time for one request; 0: the service's
    duration target_latency{};                  ///< an answer within it is worth most; 0: none
    std::uint32_t priority = 0;                 ///< rank under overload, 0 is the highest
    bool is_public = false;                     ///< needs no key
};

/// A tenant and its contract.
struct organisation_config {
    organisation_id id;
    std::string name;
    double rate = 0;                         ///< requests a second over the whole fleet
    double burst = 0;                        ///< requests at once over the whole fleet
    std::vector<digest> keys;                ///< digests of the keys that callers may show
    std::optional<std::uint32_t> priority{}; ///< goes before the priority of the route
    bool is_unlimited = false;               ///< no rate and burst
};

/// Finds the organisation behind a key.
struct key_entry {
    digest key;
    std::uint32_t organisation = 0; ///< index into fleet_config::organisations
};

/// One whole generation. Vectors are sorted by id, routes by path, keys by digest.
struct fleet_config {
    std::uint64_t generation = 0;
    /// Names, sorted; each holds a part of every contract. Empty: all nodes count as one domain.
    std::vector<std::string> failure_domains;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::vector<organisation_config> organisations;
    std::vector<key_entry> keys;
    /// Largest request body in bytes; more is refused.
    std::uint64_t max_body_bytes = UINT64_MAX;
};

/// Builds a configuration from parsed files. The first thing wrong is returned with file, line,
/// section and field: an unknown template or service, ids that collide, a key given twice, ...
result<fleet_config, ini_error> build_fleet_config(const std::vector<ini_file>& files);

/// Sorts the vectors of a configuration that was put together by hand, and fills `keys` from the
/// organisations. The key that two organisations hold, if there is one.
std::optional<key_entry> index_fleet_config(fleet_config& config);

const service_config* find_service(const fleet_config& config, service_id id);
const organisation_config* find_organisation(const fleet_config& config, organisation_id id);

/// The organisation whose key has digest `key`, or nothing.
const organisation_config* find_organisation_by_key(const fleet_config& config, const digest& key);

/// The route of `host` with the longest path that is a prefix of `path` and allows `method`, or
/// nothing. `host` is in lower case, without a port.
const route_config* find_route(const fleet_config& config, std::string_view method,
                               std::string_view path, std::string_view host = {});

/// The service for one request of the route, drawn by the weights with the random word `random`.
service_id pick_service(const route_config& route, std::uint64_t random);

/// True when the route is open to all or names the organisation.
bool may_use(const route_config& route, organisation_id organisation);

/// True when a request of this route and method may be run twice without harm.
bool is_idempotent(const route_config& route, std::string_view method);

} // namespace jasminebank
