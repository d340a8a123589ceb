#pragma once

// The capacity floor of a service: ejections never reduce its healthy capacity below the floor. The
// gate of a backend server is the node that admits the requests to it. All gates of a service share
// one record in the store, changed by compare-and-swap, which lists the ejected servers and the
// capacity reserved for later ejections. These functions compute the records that may be written,
// from the present record and the recent reports about the servers. A server counts as healthy
// capacity when it was reported recently, is not draining, is not held out by its gate, and has no
// entry in the record; reservations are subtracted. A server is ejected while the record has an
// entry for it; it is held out while its gate admits no requests to it, or trial requests only.
//
// Clocks of different VMs are never compared: each reader measures by its own clock how long a
// renewal number has not changed.

#include "result.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace jasminebank {

/// Entry of one ejected backend server. Its gate renews the entry while it holds the server out.
struct ejection {
    backend_server_id server;
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;    ///< maximum number of concurrent requests
    std::uint32_t severity = 0; ///< the least severe returns first
    std::uint64_t renewal = 0;  ///< version of the record that last renewed it; never reused
    auto operator<=>(const ejection&) const = default;
};

/// Capacity that a gate may eject later while the store cannot be reached. It already counts as
/// ejected.
struct ejection_reservation {
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;
    std::uint64_t renewal = 0; ///< version of the record that last renewed it
    auto operator<=>(const ejection_reservation&) const = default;
};

/// The record of one service in the store. Every write increments `version`.
struct ejection_record {
    service_id service;
    std::uint64_t version = 0;
    std::vector<ejection> ejected;
    std::vector<ejection_reservation> reserved;
    bool operator==(const ejection_record&) const = default;
};

/// Latest report about one backend server. `last_observed` is when the reader sent the query that
/// the report answers, so that a delayed report does not count as recent; for the reader's own
/// servers it is the time at which it added them to the view.
struct observed_server {
    backend_server_id server;
    vm_id gate;
    incarnation gate_incarnation;
    std::uint32_t slots = 0;
    bool draining = false;
    bool held_out = false; ///< gets no requests, or trial requests only
    time_point last_observed;
};

/// One gate's view of a service. `updated` is when the latest report arrived.
struct service_view {
    time_point updated;
    std::vector<observed_server> servers;
};

/// The floor of a service and the time limits of its rules.
struct floor_options {
    std::uint32_t floor_slots = 0;
    duration max_report_age = std::chrono::seconds(5); ///< older reports are ignored
    duration entry_ttl = std::chrono::seconds(60); ///< of unrenewed entries of unreported servers
    duration reservation_ttl = std::chrono::hours(6); ///< of unrenewed reservations
    double reservable_share = 0.5;                    ///< of the capacity above the floor
};

enum class ejection_refusal : std::uint8_t {
    view_stale,       ///< no recent report has arrived
    below_floor,      ///< healthy capacity would fall below the floor
    already_recorded, ///< the record holds such an entry or reservation
    record_full,      ///< the record holds 64 entries or reservations
    unknown_server,   ///< no recent report about the backend server
};

std::string_view name_of(ejection_refusal it);

using proposed_record = result<ejection_record, ejection_refusal>;

/// `serving_slots` minus all reserved slots; negative if more slots are reserved than serve.
std::int64_t healthy_slots(const ejection_record& record, const service_view& view,
                           const floor_options& options, time_point now);

/// Slots of the servers that serve now: reported recently, not draining, not held out, no entry.
/// Reservations are not subtracted.
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

/// The record of an ejection that uses a reservation: with `candidate` in place of its gate's
/// reservation, which must cover its slots. The healthy capacity does not decrease, so the floor is
/// not checked again.
proposed_record propose_claim(const ejection_record& record, const ejection& candidate);

/// The record with the reservation `wanted` added, if the capacity above the floor allows it.
proposed_record propose_reservation(const ejection_record& record, const service_view& view,
                                    const floor_options& options,
                                    const ejection_reservation& wanted, time_point now);

/// The record without the entry of `server`. The gate returns the server to rotation before it
/// writes this record.
ejection_record propose_return(const ejection_record& record, backend_server_id server);

/// The record without the reservation of `gate`.
ejection_record propose_release(const ejection_record& record, vm_id gate);

/// The ejected servers that must return to rotation because the capacity is below the floor after
/// others died or drain, in ascending order of severity.
std::vector<backend_server_id> servers_to_return(const ejection_record& record,
                                                 const service_view& view,
                                                 const floor_options& options, time_point now);

/// Ages of the entries and reservations, measured by this reader's clock from its first observation
/// of their present renewal number.
class entry_ages {
public:
    void observe(const ejection_record& record, time_point now);
    /// Time since this reader first observed the present renewal; zero if it has not observed it.
    duration age_of(const ejection& it, time_point now) const;
    duration age_of(const ejection_reservation& it, time_point now) const;

private:
    struct observed_renewal {
        std::uint64_t key = 0; // hash of server (entries only), gate and incarnation
        std::uint64_t renewal = 0;
        time_point first_seen;
    };

    duration age_of(std::uint64_t key, std::uint64_t renewal, time_point now) const;

    std::vector<observed_renewal> observed_;
};

/// The record without expired entries and reservations; equal to `record` if none expired. An entry
/// expires if it was not renewed and its server was not reported for `entry_ttl`. This is longer
/// than `max_report_age`, so the reports that other gates still count are newer than the entry and
/// say `held_out`. A reservation expires if it was not renewed for `reservation_ttl`, or if its
/// gate has restarted with a higher incarnation.
ejection_record drop_expired(const ejection_record& record, const service_view& view,
                             const entry_ages& ages, const floor_options& options, time_point now);

} // namespace jasminebank
