#pragma once

// The operators' configuration of one generation: services, routes and organisations, built from
// templates and parameters in INI files. See docs/OPERATIONS.md for the fields.

#include "digest.h"
#include "ini_file.h"
#include "result.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminebank {

/// A group of interchangeable backend servers.
struct service_config {
    service_id id;
    std::string name;
    std::uint32_t floor_slots = 0; ///< outlier ejection keeps at least this many healthy slots
    duration timeout{};            ///< upper bound on the time of one request
    duration warm_up{};            ///< time that a backend server stays cold
    double warm_up_rate = 0;       ///< requests per second that a cold one tolerates; 0: no limit
};

/// Bounds of the requests per second and of the duration of a cold phase, in all formats.
constexpr double max_warm_up_rate = 1e6;
constexpr duration max_warm_up = std::chrono::minutes(10);

/// Which requests of a route are idempotent, that is, may be executed more than once.
enum class idempotency : std::uint8_t {
    by_method, ///< GET, HEAD, OPTIONS, PUT and DELETE
    always,    ///< every method
    never,     ///< none
};

/// One of the services among which a route divides its requests, in proportion to the weights.
struct route_target {
    service_id service;
    std::uint32_t weight = 1;
};

/// Number of backend servers tried for one request unless the route sets another.
constexpr std::size_t default_attempts = 3;

/// Maps requests to a service by host, path and method.
struct route_config {
    route_id id;
    std::string name;
    std::string host; ///< in lower case; empty: all hosts
    std::string path; ///< prefix of the request's path; matches only whole segments
    service_id service;
    std::vector<route_target> targets; ///< empty: all requests go to `service`
    std::vector<std::string> methods;  ///< empty: all
    idempotency idempotent = idempotency::by_method;
    std::vector<organisation_id> organisations; ///< sorted; empty: open to all organisations
    std::size_t attempts = default_attempts;    ///< most backend servers tried for one request
    duration timeout{};        ///< upper bound on the time of one request; 0: the service's timeout
    duration target_latency{}; ///< response time that the route aims at; 0: none
    std::uint32_t priority = 0; ///< under overload, 0 is served first
    bool is_public = false;     ///< callers need no key
    /// Sorted; only backend servers in these regions serve the route. Empty: all regions.
    std::vector<region_id> regions{};
};

/// A tenant and the rate limit of its contract.
struct organisation_config {
    organisation_id id;
    std::string name;
    double rate = 0;          ///< requests per second, over the whole fleet
    double burst = 0;         ///< token bucket size in requests, over the whole fleet
    std::vector<digest> keys; ///< digests of the callers' API keys
    std::optional<std::uint32_t> priority{}; ///< overrides the priority of the route
    bool is_unlimited = false;               ///< `rate` and `burst` do not apply
    /// Sorted; only backend servers in these regions serve the organisation. Empty: all regions.
    std::vector<region_id> regions{};
};

/// Maps a key's digest to its organisation.
struct key_entry {
    digest key;
    std::uint32_t organisation = 0; ///< index into fleet_config::organisations
};

/// The complete configuration of one generation. Services and organisations are sorted by id,
/// routes by path, keys by digest.
struct fleet_config {
    std::uint64_t generation = 0;
    /// Sorted names of the domains among which every contract's rate is divided. Empty: all nodes
    /// count as one domain.
    std::vector<std::string> failure_domains;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::vector<organisation_config> organisations;
    std::vector<key_entry> keys;
    /// Names of the regions that routes or organisations are restricted to.
    std::map<region_id, std::string> region_names{};
    /// Largest request body in bytes; requests with larger ones are refused.
    std::uint64_t max_body_bytes = UINT64_MAX;
};

/// Builds a configuration from parsed files. Returns the first error with its file, line, section
/// and field, such as an unknown template or service, two names with the same id, or a key that two
/// organisations have.
result<fleet_config, ini_error> build_fleet_config(const std::vector<ini_file>& files);

/// Limit of the number of regions in one list, so that the messages about a request stay short.
constexpr std::size_t max_regions = 32;

/// The ids of the named regions, sorted and each once; adds their names to `config`.
std::vector<region_id> add_regions(fleet_config& config, const std::vector<std::string>& names);

/// Sorts the vectors of a configuration that was not built by build_fleet_config, and fills `keys`
/// from the organisations. Returns a key that two organisations have, if there is one.
std::optional<key_entry> index_fleet_config(fleet_config& config);

const service_config* find_service(const fleet_config& config, service_id id);
const organisation_config* find_organisation(const fleet_config& config, organisation_id id);

/// The organisation that has a key with digest `key`, or null.
const organisation_config* find_organisation_by_key(const fleet_config& config, const digest& key);

/// The route with the longest path prefix of `path` among those that match `host` and `method`, or
/// null. `host` is in lower case, without a port.
const route_config* find_route(const fleet_config& config, std::string_view method,
                               std::string_view path, std::string_view host = {});

/// Selects the service for one request of the route in proportion to the weights; `random` is a
/// uniformly distributed 64-bit number.
service_id pick_service(const route_config& route, std::uint64_t random);

/// True if the route is open to all organisations or lists this one.
bool may_use(const route_config& route, organisation_id organisation);

/// True if a request of this route and method may be executed more than once.
bool is_idempotent(const route_config& route, std::string_view method);

} // namespace jasminebank
