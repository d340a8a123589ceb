#include "control_causes.h"

#include "config_follower.h"
#include "control_relay.h"
#include "delegation_service.h"
#include "health_service.h"
#include "limit_lease_service.h"
#include "limit_service.h"
#include "member_service.h"
#include "once_service.h"
#include "reach_monitor.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jasminebank {

constexpr std::array<std::pair<std::string_view, traffic_cause>, 10> causes{
    {{config_path, traffic_cause::configuration},
     {delegation_path, traffic_cause::delegation},
     {idempotency_path, traffic_cause::idempotency},
     {limit_lease_path, traffic_cause::delegation},
     {limit_path, traffic_cause::limit},
     {members_path, traffic_cause::member_exchange},
     {probe_path, traffic_cause::probe},
     {relay_path, traffic_cause::relay},
     {relayed_path, traffic_cause::relay},
     {service_health_path, traffic_cause::health}}};

traffic_cause cause_of_path(std::string_view path)
{
    const auto it = std::find_if(causes.begin(), causes.end(),
                                 [path](const auto& entry) { return entry.first == path; });
    return it == causes.end() ? traffic_cause::other_control : it->second;
}

} // namespace jasminebank
