#include "service_floor.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

// With these limits the record is far smaller than one megabyte, the maximum of a store value.
constexpr std::size_t max_ejections = 64;
constexpr std::size_t max_reservations = 64;

std::string_view name_of(ejection_refusal it)
{
    switch (it) {
    case ejection_refusal::view_stale:
        return "view_stale";
    case ejection_refusal::below_floor:
        return "below_floor";
    case ejection_refusal::already_recorded:
        return "already_there";
    case ejection_refusal::record_full:
        return "record_full";
    case ejection_refusal::unknown_server:
        return "unknown_server";
    }
    return "unknown";
}

const ejection* find_ejection(const ejection_record& record, backend_server_id server)
{
    for (const ejection& it : record.ejected) {
        if (it.server == server)
            return &it;
    }
    return nullptr;
}

const ejection_reservation* find_reservation(const ejection_record& record, vm_id gate,
                                             incarnation gate_incarnation)
{
    for (const ejection_reservation& it : record.reserved) {
        if (it.gate == gate && it.gate_incarnation == gate_incarnation)
            return &it;
    }
    return nullptr;
}

static bool is_live(const observed_server& it, const floor_options& options, time_point now)
{
    return now - it.last_observed <= options.max_report_age && !it.draining;
}

std::int64_t serving_slots(const ejection_record& record, const service_view& view,
                           const floor_options& options, time_point now)
{
    std::int64_t slots = 0;
    for (const observed_server& it : view.servers) {
        if (is_live(it, options, now) && !it.held_out &&
            find_ejection(record, it.server) == nullptr)
            slots += it.slots;
    }
    return slots;
}

std::int64_t healthy_slots(const ejection_record& record, const service_view& view,
                           const floor_options& options, time_point now)
{
    std::int64_t slots = serving_slots(record, view, options, now);
    for (const ejection_reservation& it : record.reserved)
        slots -= it.slots;
    return slots;
}

bool is_stale(const service_view& view, const floor_options& options, time_point now)
{
    return now - view.updated > options.max_report_age;
}

// The floor is checked on the complete new record, so that the capacity rule is written only once.
proposed_record propose_ejection(const ejection_record& record, const service_view& view,
                                 const floor_options& options, const ejection& candidate,
                                 time_point now)
{
    if (is_stale(view, options, now))
        return ejection_refusal::view_stale;
    if (find_ejection(record, candidate.server) != nullptr)
        return ejection_refusal::already_recorded;
    if (record.ejected.size() >= max_ejections)
        return ejection_refusal::record_full;
    const bool reported =
        std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& it) {
            return it.server == candidate.server &&
                   now - it.last_observed <= options.max_report_age;
        });
    if (!reported)
        return ejection_refusal::unknown_server;
    ejection_record out = record;
    out.ejected.push_back(candidate);
    if (healthy_slots(out, view, options, now) < options.floor_slots)
        return ejection_refusal::below_floor;
    return out;
}

proposed_record propose_claim(const ejection_record& record, const ejection& candidate)
{
    const ejection_reservation* reservation =
        find_reservation(record, candidate.gate, candidate.gate_incarnation);
    assert(reservation != nullptr && reservation->slots >= candidate.slots);
    if (find_ejection(record, candidate.server) != nullptr)
        return ejection_refusal::already_recorded;
    if (record.ejected.size() >= max_ejections)
        return ejection_refusal::record_full;
    ejection_record out = record;
    std::erase(out.reserved, *reservation);
    out.ejected.push_back(candidate);
    return out;
}

// All reservations together take at most a share of the capacity above the floor; the rest is left
// for immediate ejections.
proposed_record propose_reservation(const ejection_record& record, const service_view& view,
                                    const floor_options& options,
                                    const ejection_reservation& wanted, time_point now)
{
    if (is_stale(view, options, now))
        return ejection_refusal::view_stale;
    std::int64_t reserved = wanted.slots;
    for (const ejection_reservation& it : record.reserved) {
        if (it.gate == wanted.gate)
            return ejection_refusal::already_recorded;
        reserved += it.slots;
    }
    if (record.reserved.size() >= max_reservations)
        return ejection_refusal::record_full;
    ejection_record out = record;
    out.reserved.push_back(wanted);
    const auto room = static_cast<double>(serving_slots(record, view, options, now)) -
                      static_cast<double>(options.floor_slots);
    if (static_cast<double>(reserved) > options.reservable_share * room)
        return ejection_refusal::below_floor;
    if (healthy_slots(out, view, options, now) < options.floor_slots)
        return ejection_refusal::below_floor;
    return out;
}

ejection_record propose_return(const ejection_record& record, backend_server_id server)
{
    ejection_record out = record;
    std::erase_if(out.ejected, [&](const ejection& it) { return it.server == server; });
    return out;
}

ejection_record propose_release(const ejection_record& record, vm_id gate)
{
    ejection_record out = record;
    std::erase_if(out.reserved, [&](const auto& it) { return it.gate == gate; });
    return out;
}

// Gates with the same view compute the same list, and each returns its own servers. A server that
// is dead or draining is skipped, since it adds no capacity.
std::vector<backend_server_id> servers_to_return(const ejection_record& record,
                                                 const service_view& view,
                                                 const floor_options& options, time_point now)
{
    std::vector<ejection> by_severity = record.ejected;
    std::sort(by_severity.begin(), by_severity.end(), [](const auto& a, const auto& b) {
        return a.severity != b.severity ? a.severity < b.severity : a.server.value < b.server.value;
    });
    std::int64_t slots = serving_slots(record, view, options, now);
    std::vector<backend_server_id> out;
    for (const ejection& it : by_severity) {
        if (slots >= options.floor_slots)
            break;
        const bool live = std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& s) {
            return s.server == it.server && is_live(s, options, now);
        });
        if (!live)
            continue;
        out.push_back(it.server);
        slots += it.slots;
    }
    return out;
}

static std::uint64_t key_of(const ejection& it)
{
    return mix(mix(it.server.value, it.gate.value), it.gate_incarnation.value);
}

static std::uint64_t key_of(const ejection_reservation& it)
{
    return mix(it.gate.value, it.gate_incarnation.value);
}

void entry_ages::observe(const ejection_record& record, time_point now)
{
    std::vector<observed_renewal> next;
    const auto keep = [&](std::uint64_t key, std::uint64_t renewal) {
        const auto it =
            std::find_if(observed_.begin(), observed_.end(), [&](const observed_renewal& s) {
                return s.key == key && s.renewal == renewal;
            });
        next.push_back({key, renewal, it == observed_.end() ? now : it->first_seen});
    };
    for (const ejection& it : record.ejected)
        keep(key_of(it), it.renewal);
    for (const ejection_reservation& it : record.reserved)
        keep(key_of(it), it.renewal);
    observed_ = std::move(next);
}

duration entry_ages::age_of(std::uint64_t key, std::uint64_t renewal, time_point now) const
{
    for (const observed_renewal& it : observed_) {
        if (it.key == key && it.renewal == renewal)
            return now - it.first_seen;
    }
    return duration{};
}

duration entry_ages::age_of(const ejection& it, time_point now) const
{
    return age_of(key_of(it), it.renewal, now);
}

duration entry_ages::age_of(const ejection_reservation& it, time_point now) const
{
    return age_of(key_of(it), it.renewal, now);
}

// The clocks of two VMs may drift apart, so a reader waits one per cent longer than the holder of
// an entry or reservation.
static duration with_clock_drift(duration it)
{
    return it + it / 100;
}

// Dropping the entry of an unreported server adds no capacity. This reader does not count the
// server without recent reports. A reader that receives reports does not count it either: since
// `entry_ttl` exceeds `max_report_age`, the reports that still count are newer than the entry, and
// they say `held_out`. This requires that
// renewal numbers are never reused. A reservation may be in use by a gate that no other gate
// receives reports from, so it ends only by its time to live or by a restart of the gate's process.
ejection_record drop_expired(const ejection_record& record, const service_view& view,
                             const entry_ages& ages, const floor_options& options, time_point now)
{
    ejection_record out = record;
    std::erase_if(out.ejected, [&](const ejection& it) {
        const bool reported =
            std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& s) {
                return s.server == it.server &&
                       now - s.last_observed <= with_clock_drift(options.entry_ttl);
            });
        return !reported && ages.age_of(it, now) > with_clock_drift(options.entry_ttl);
    });
    std::erase_if(out.reserved, [&](const ejection_reservation& it) {
        const bool restarted =
            std::any_of(view.servers.begin(), view.servers.end(), [&](const auto& s) {
                return s.gate == it.gate && s.gate_incarnation.value > it.gate_incarnation.value;
            });
        return restarted || ages.age_of(it, now) > with_clock_drift(options.reservation_ttl);
    });
    return out;
}

} // namespace jasminebank
