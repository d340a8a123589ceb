#pragma once

// The floor of a service: ejecting never takes its healthy capacity below it. All gates of a
// service share one store record, changed by compare-and-swap, which lists what is ejected and what
// is reserved for later ejection. These functions decide what may be written, from the record and
// from what has been heard lately. A server is healthy capacity when it was heard lately, does not
// drain, is not held out by its gate, and is not in the record; reservations are subtracted.
//
// No time of another VM is compared: a renewal number that stands still is timed by each reader's
// own clock.

#include "result.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace jasminebank {

/// One ejected backend server. Its gate renews the entry while it holds the server out.
struct ejection {
    backend_server_id server;
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;
    std::uint32_t severity = 0; ///< the mildest comes back first
    std::uint64_t renewal = 0;  ///< version of the record that last renewed it; never reused
    auto operator<=>(const ejection&) const = default;
};

/// Capacity that a gate may eject later without the store. It counts as ejected already.
struct ejection_reservation {
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;
    std::uint64_t renewal = 0; ///< version of the record that last renewed it
    auto operator<=>(const ejection_reservation&) const = default;
};

/// The store's value for one service. Every write raises `version` by one.
struct ejection_record {
    service_id service;
    std::uint64_t version = 0;
    std::vector<ejection> ejected;
    std::vector<ejection_reservation> reserved;
    bool operator==(const ejection_record&) const = default;
};

/// What was last heard of one backend server. `last_heard` is when the question was sent that the
/// news answers, so that a delayed message is not taken for a fresh one.
struct observed_server {
    backend_server_id server;
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;
    bool draining = false;
    bool held_out = false; ///< its gate gives it no work, or trial requests only
    time_point last_heard;
};

/// One gate's view of a service. `updated` is when news of it last arrived.
struct service_view {
    time_point updated;
    std::vector<observed_server> servers;
};

/// The floor of a service and the times that its rules use.
struct floor_options {
    std::uint32_t floor_slots = 0;
    duration view_limit = std::chrono::seconds(5);    ///< older news counts for nothing
    duration entry_ttl = std::chrono::seconds(60);    ///< unrenewed entries of unheard servers go
    duration reservation_ttl = std::chrono::hours(6); ///< unrenewed reservations go
    double reservable_share = 0.5;                    ///< of the room above the floor
};

enum class ejection_refusal : std::uint8_t {
    view_stale,       ///< too little has been heard lately
    below_floor,      ///< healthy capacity would fall below the floor
    already_recorded, ///< an entry or reservation stands in the record
    record_full,      ///< 64 entries or reservations stand in the record
    unknown_server,   ///< the backend server has not been heard lately
};

std::string_view name_of(ejection_refusal it);

using proposed_record = result<ejection_record, ejection_refusal>;

/// Slots in service by `view` and `record`, reservations subtracted; negative when those exceed it.
std::int64_t healthy_slots(const ejection_record& record, const service_view& view,
                           const floor_options& options, time_point now);

/// Slots in service now: like `healthy_slots`, but a reservation not used takes nothing away.
std::int64_t serving_slots(const ejection_record& record, const service_view& view,
                           const floor_options& options, time_point now);

bool is_stale(const service_view& view, const floor_options& options, time_point now);

const ejection* find_ejection(const ejection_record& record, backend_server_id server);
const ejection_reservation* find_reservation(const ejection_record& record, vm_id gate,
                                             incarnation gate_incarnation);

/// The record with `candidate` ejected, if the floor allows it.
proposed_record propose_ejection(const ejection_record& record, const service_view& view,
                                 const floor_options& options, const ejection& candidate,
                                 time_point now);

/// The record with `candidate` in place of its gate's reservation, which covers it: capacity does
/// not change, so the floor needs no second look.
proposed_record propose_claim(const ejection_record& record, const ejection& candidate);

/// The record with capacity reserved for `wanted`, if the room above the floor allows it.
proposed_record propose_reservation(const ejection_record& record, const service_view& view,
                                    const floor_options& options,
                                    const ejection_reservation& wanted, time_point now);

/// The record without `server`. The gate gives the server work before it writes this.
ejection_record propose_return(const ejection_record& record, backend_server_id server);

/// The record without the reservation of `gate`.
ejection_record propose_release(const ejection_record& record, vm_id gate);

/// Which ejected servers must come back now, mildest first, because others died or drain.
std::vector<backend_server_id> servers_to_return(const ejection_record& record,
                                                 const service_view& view,
                                                 const floor_options& options, time_point now);

/// When this reader first saw each renewal of each entry, by its own clock.
class entry_ages {
public:
    void observe(const ejection_record& record, time_point now);
    /// How long the entry or reservation has not been renewed, as far as this reader saw.
    duration age_of(const ejection& it, time_point now) const;
    duration age_of(const ejection_reservation& it, time_point now) const;

private:
    struct seen {
        std::uint64_t key = 0; // server or gate, with the gate's incarnation
        std::uint64_t renewal = 0;
        time_point first_seen;
    };

    duration age_of(std::uint64_t key, std::uint64_t renewal, time_point now) const;

    std::vector<seen> seen_;
};

/// The record without entries that expired: not renewed for a whole time to live, and whose server
/// has not been heard for as long, so that all who do hear it know that it is held out; without
/// reservations not renewed for theirs, or whose gate came back with a higher incarnation. Equal to
/// `record` when nothing did.
ejection_record drop_expired(const ejection_record& record, const service_view& view,
                             const entry_ages& ages, const floor_options& options, time_point now);

} // namespace jasminebank
