#pragma once

// The operators' configuration of one generation: services, routes and organisations, built from
// templates and parameters in INI files. See docs/OPERATIONS.md for the fields.

#include "digest.h"
#include "ini_file.h"
#include "result.h"
#include "types.h"

#include <cstdint>
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

/// Which requests go to which service.
struct route_config {
    route_id id;
    std::string name;
    std::string path; ///< prefix, ends at a '/' boundary of the request's path
    service_id service;
    std::vector<std::string> methods;           ///< empty: all
    bool idempotent = false;                    ///< true: every method of this route may be retried
    std::vector<organisation_id> organisations; ///< sorted; empty: open to all organisations
};

/// A tenant and its contract.
struct organisation_config {
    organisation_id id;
    std::string name;
    double rate = 0;          ///< requests a second over the whole fleet
    double burst = 0;         ///< requests at once over the whole fleet
    std::vector<digest> keys; ///< digests of the keys that callers may show
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
};

/// Builds a configuration from parsed files. The first thing wrong is returned with file, line,
/// section and field: an unknown template or service, ids that collide, a key given twice, ...
result<fleet_config, ini_error> build_fleet_config(const std::vector<ini_file>& files);

const service_config* find_service(const fleet_config& config, service_id id);
const organisation_config* find_organisation(const fleet_config& config, organisation_id id);

/// The organisation whose key has digest `key`, or nothing.
const organisation_config* find_key(const fleet_config& config, const digest& key);

/// The route with the longest path that is a prefix of `path` and allows `method`, or nothing.
const route_config* find_route(const fleet_config& config, std::string_view method,
                               std::string_view path);

/// True when the route is open to all or names the organisation.
bool may_use(const route_config& route, organisation_id organisation);

/// True when a request of this route and method may be run twice without harm.
bool is_idempotent(const route_config& route, std::string_view method);

} // namespace jasminebank
