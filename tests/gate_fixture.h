#pragma once

// A gate with one backend server, and an entry node's link to it.

#include "gate.h"
#include "link_hub.h"

#include <memory>
#include <string>

namespace jasminebank {

class gate_fixture {
public:
    gate_fixture(const endpoint& server, std::uint32_t slots,
                 std::optional<cold_start_tolerance> cold_start = std::nullopt);
    ~gate_fixture();
    gate_fixture(const gate_fixture&) = delete;
    gate_fixture& operator=(const gate_fixture&) = delete;

    static header_names names();
    /// A run of a backend server starts at the address, of the service that `send` names unless
    /// another one is given.
    void announce(incarnation run, service_id service = own_service);
    /// Sends a request and returns the outcome that the gate reports; without an id if `id` is
    /// empty.
    std::string send(const std::string& id, service_id service = own_service);
    /// Sends a request and returns its stream, without waiting for the answer.
    std::shared_ptr<link_stream> open(const std::string& id, duration time_left,
                                      service_id service = own_service);
    /// Begins or ends the evacuation of the gate's failure domain.
    void set_evacuated(bool evacuated);
    gate& tested() { return *gate_; }
    poison_service& poison() { return poison_; }
    /// Requests that wait for a slot.
    std::size_t waiting() const;

    static constexpr service_id own_service{3};
    static constexpr service_id other_service{4};
    static constexpr std::size_t threads = 4; ///< of the gate

private:
    const endpoint server_;
    const std::uint32_t slots_;
    std::unique_ptr<link_hub> gate_links_;
    std::unique_ptr<link_hub> links_;
    health_service health_;
    poison_service poison_;
    std::unique_ptr<gate> gate_;
};

} // namespace jasminebank
