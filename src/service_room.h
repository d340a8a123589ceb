#pragma once

// An entry's view of the capacity that is available in each service, made of what the gates report
// in answers and refusals. A request that no gate can start in time is refused when it arrives,
// with the time after which it should return, instead of after a search over many gates.
//
// The view errs towards sending: nothing is refused before enough gates have reported, a report
// fades to no wait within `view_age`, and a share of the requests that would be refused is sent.

#include "types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminebank {

struct service_room_options {
    /// A reported wait counts for this long and fades linearly to zero in it.
    duration view_age = std::chrono::milliseconds(500);
    /// Gates that must agree that a request cannot start in time, but at least a third of the
    /// usable ones; all of these if there are fewer.
    std::size_t min_reports = 5;
    /// Of the requests to one service that would be refused, one in this many is sent.
    std::uint32_t send_one_in = 10;
};

/// The properties of a request that decide whether it can start in time.
struct room_request {
    service_id service;
    organisation_id organisation;
    std::uint32_t rank = 0;      ///< at the gate's queue, see `queue_rank`
    bool is_nested = false;      ///< a running request depends on it: only its deadline counts
    bool is_returned = false;    ///< was refused before with a Retry-After
    time_point start;            ///< when it arrived
    time_point deadline;         ///< it must be answered by then
    duration target{};           ///< target latency; 0: none
    duration expected_service{}; ///< expected time at the backend server
};

/// What a refused request could not be started in time for.
enum class room_cause : std::uint8_t { target, deadline };

std::string_view name_of(room_cause it);

/// The request is refused; its caller should return after `retry_after`.
struct room_refusal {
    room_cause cause = room_cause::deadline;
    duration retry_after{};
};

/// Thread-compatible: calls must not overlap.
class service_room {
public:
    explicit service_room(const service_room_options& options = {});

    /// A gate reported the expected wait of requests like `it`; requests of its organisation that
    /// are served later wait at least as long.
    void reported(backend_server_id server, const room_request& it, duration wait, time_point now);
    /// Returns nothing if the request should be sent. `usable` are the servers that the router may
    /// choose for it; `random` is uniformly distributed.
    std::optional<room_refusal> refuse_on_arrival(const room_request& it,
                                                  std::span<const backend_server_id> usable,
                                                  std::uint64_t random, time_point now);
    /// Delay after which the caller of a request that was refused for lack of capacity should
    /// return: spread over the expected time until there is capacity, and short enough that a
    /// caller returns, see `longest_retry_after`.
    duration retry_after(const room_request& it, std::span<const backend_server_id> usable,
                         std::uint64_t random, time_point now) const;

private:
    struct report {
        organisation_id organisation;
        std::uint64_t place = 0; // in the order of service, see `place_of`
        duration wait{};
        time_point at;
    };
    struct service_state {
        // Requests to refuse since the last one that was sent.
        std::uint32_t new_refusable = 0;
        std::uint32_t returned_refusable = 0;
        time_point returned_refused{}; // when the last returned request was refused
    };
    // What the usable gates agree on.
    struct agreement {
        std::size_t reports = 0;
        duration shortest_wait = duration::max();
    };

    std::optional<duration> wait_at(backend_server_id server, const room_request& request,
                                    time_point now) const;
    agreement agree(const room_request& it, std::span<const backend_server_id> usable,
                    time_point now) const;
    void erase_outdated(time_point now);

    service_room_options options_;
    std::unordered_map<backend_server_id, std::vector<report>> reports_;
    std::unordered_map<service_id, service_state> services_;
};

/// The latest useful start of a request, and what it is for.
struct useful_start {
    time_point latest;
    room_cause limit = room_cause::deadline;
};

/// A request has to start in time for its target latency or, if that cannot be met any more, for
/// its deadline.
useful_start useful_start_of(const room_request& it, time_point now);

/// The longest delay after which a caller returns: callers wait for up to a third of the time that
/// they have left, and what is left then must cover the expected service time.
duration longest_retry_after(const room_request& it, time_point now);

} // namespace jasminebank
