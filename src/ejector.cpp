#include "ejector.h"

#include <algorithm>
#include <cassert>

namespace jasminebank {

constexpr std::size_t max_servers = 64;
constexpr duration store_retry_interval = std::chrono::seconds(1);
constexpr duration stale_read_retry_interval = std::chrono::milliseconds(100);

static void append(ejector_actions& to, ejector_actions from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

ejector::ejector(const ejector_options& options) : options_(options)
{
    assert(options.floor.entry_ttl >= 2 * options.floor.max_report_age);
}

void ejector::add_server(backend_server_id server, std::uint32_t slots, time_point now)
{
    if (find(server) != nullptr || servers_.size() == max_servers)
        return;
    servers_.push_back(
        {.server = server, .slots = slots, .ejected_until = now, .healthy_since = now});
}

void ejector::remove_server(backend_server_id server)
{
    std::erase_if(servers_, [&](const server_state& it) { return it.server == server; });
}

ejector::server_state* ejector::find(backend_server_id server)
{
    const auto it = std::find_if(servers_.begin(), servers_.end(),
                                 [&](const server_state& s) { return s.server == server; });
    return it == servers_.end() ? nullptr : &*it;
}

server_standing ejector::standing_of(backend_server_id server) const
{
    const server_state* it = const_cast<ejector*>(this)->find(server);
    return it == nullptr ? server_standing::serving : it->standing;
}

duration ejector::next_ejection_time(backend_server_id server) const
{
    const server_state* it = const_cast<ejector*>(this)->find(server);
    duration out = options_.base_ejection_time;
    for (std::uint32_t n = 0; it != nullptr && n < it->doublings; ++n)
        out = std::min(options_.max_ejection_time, 2 * out);
    return out;
}

bool ejector::is_ejected(const server_state& it)
{
    return it.standing == server_standing::held_out || it.standing == server_standing::on_trial;
}

// Only entries of this gate and this incarnation count: the gate does not hold out servers for
// entries of another gate or of an earlier run of its own process.
bool ejector::has_entry(backend_server_id server) const
{
    const ejection* it = record_ ? find_ejection(*record_, server) : nullptr;
    return it != nullptr && it->gate == options_.gate &&
           it->gate_incarnation == options_.gate_incarnation;
}

ejection ejector::entry_for(const server_state& it) const
{
    return {.server = it.server,
            .gate = options_.gate,
            .gate_incarnation = options_.gate_incarnation,
            .slots = it.slots,
            .severity = it.severity,
            .renewal = record_->version + 1};
}

void ejector::change_standing(server_state& it, server_standing standing, ejector_actions& out)
{
    if (it.standing == standing)
        return;
    it.standing = standing;
    out.emplace_back(set_standing{it.server, standing});
}

void ejector::hold_out(server_state& it, bool by_reservation, time_point now, ejector_actions& out)
{
    constexpr std::uint32_t max_doublings = 16;
    it.by_reservation = by_reservation;
    it.ejected_until = now + next_ejection_time(it.server);
    it.doublings = std::min(max_doublings, it.doublings + 1);
    change_standing(it, server_standing::held_out, out);
}

// Puts a server back in rotation, demoted while its verdict is still failing.
void ejector::return_to_rotation(server_state& it, ejector_actions& out)
{
    it.by_reservation = false;
    change_standing(it, it.failing ? server_standing::demoted : server_standing::serving, out);
}

// Applies a record that was read or that this gate has written. An ejected server that is no longer
// covered by an entry or by the reservation returns to rotation.
void ejector::apply_record(const ejection_record& record, time_point now, ejector_actions& out)
{
    record_ = record;
    ages_.observe(record, now);
    const bool reserved =
        find_reservation(record, options_.gate, options_.gate_incarnation) != nullptr;
    for (server_state& it : servers_) {
        const bool covered = has_entry(it.server) || (it.by_reservation && reserved);
        if (is_ejected(it) && !covered)
            return_to_rotation(it, out);
        if (has_entry(it.server))
            it.by_reservation = false;
    }
}

// Restarts the time to live of the reservation when a confirmed write has raised its renewal
// number.
void ejector::track_reservation_renewal(const pending_write& done)
{
    const ejection_reservation* next =
        find_reservation(done.record, options_.gate, options_.gate_incarnation);
    const ejection_reservation* old =
        record_ ? find_reservation(*record_, options_.gate, options_.gate_incarnation) : nullptr;
    if (next == nullptr)
        reservation_renewed_.reset();
    else if (old == nullptr || old->renewal != next->renewal)
        reservation_renewed_ = done.issued;
}

// A server is held out only after a recently sent write has been confirmed: a read may be stale,
// and an old entry may have been dropped by gates that received no reports from this one. The floor
// is checked again against the present view.
void ejector::hold_out_committed(const pending_write& done, const service_view& view,
                                 time_point now, ejector_actions& out)
{
    const bool fresh =
        now - done.issued <= options_.floor.max_report_age && !is_stale(view, options_.floor, now);
    if (!fresh || healthy_slots(*record_, view, options_.floor, now) < options_.floor.floor_slots)
        return;
    for (server_state& it : servers_) {
        if (it.failing && it.standing == server_standing::demoted && has_entry(it.server))
            hold_out(it, false, now, out);
    }
}

// When other servers died or drain and the capacity is below the floor, ejected servers return to
// rotation at once, without waiting for the store. The next write removes their entries; until then
// they count as ejected, which is the stricter assumption.
void ejector::restore_floor(const service_view& view, time_point now, ejector_actions& out)
{
    if (!record_ || is_stale(view, options_.floor, now))
        return;
    const std::int64_t slots = serving_slots(*record_, view, options_.floor, now);
    if (slots >= options_.floor.floor_slots)
        return;
    for (server_state& it : servers_) {
        if (it.by_reservation)
            return_to_rotation(it, out);
    }
    for (backend_server_id server : servers_to_return(*record_, view, options_.floor, now)) {
        server_state* it = find(server);
        if (it != nullptr && is_ejected(*it))
            return_to_rotation(*it, out);
    }
}

// Other gates drop a reservation that was not renewed for its time to live, counted from when they
// first saw the renewal. This gate counts from when it sent the renewal, so it always stops
// earlier.
bool ejector::reservation_is_valid(time_point now) const
{
    return reservation_renewed_ && now - *reservation_renewed_ <= options_.floor.reservation_ttl;
}

// While the store is unavailable, a failing server is held out only if capacity was reserved
// beforehand. A write with unknown outcome may have used up the reservation, so the reservation
// must be in the record both before and after that write.
void ejector::eject_by_reservation(const service_view& view, time_point now, ejector_actions& out)
{
    if (!store_unavailable_ || !record_ || is_stale(view, options_.floor, now))
        return;
    const ejection_reservation* reservation =
        find_reservation(*record_, options_.gate, options_.gate_incarnation);
    if (reservation == nullptr || !reservation_is_valid(now))
        return;
    if (pending_ &&
        find_reservation(pending_->record, options_.gate, options_.gate_incarnation) == nullptr)
        return;
    const bool reservation_used = std::any_of(
        servers_.begin(), servers_.end(), [](const server_state& it) { return it.by_reservation; });
    if (reservation_used ||
        healthy_slots(*record_, view, options_.floor, now) < options_.floor.floor_slots)
        return;
    for (server_state& it : servers_) {
        if (it.failing && it.standing == server_standing::demoted && it.slots <= reservation->slots)
            return hold_out(it, true, now, out);
    }
}

// Starts the trial of a server when its ejection time is over, ends an ejection whose reservation
// has expired, and halves the next ejection time after a period of healthy service.
void ejector::apply_timers(time_point now, ejector_actions& out)
{
    for (server_state& it : servers_) {
        if (it.by_reservation && !reservation_is_valid(now))
            return_to_rotation(it, out);
        if (it.standing == server_standing::held_out && now >= it.ejected_until)
            change_standing(it, server_standing::on_trial, out);
        const bool good = it.standing == server_standing::serving && !it.failing;
        if (!good)
            it.healthy_since = now;
        if (it.doublings > 0 && now - it.healthy_since >= options_.backoff_decay_interval) {
            --it.doublings;
            it.healthy_since = now;
        }
    }
}

// Renews own entries after a third of their time to live, and the own reservation after a twelfth
// of its time to live or if this process has not confirmed a renewal yet.
void ejector::renew_own_entries(ejection_record& record, time_point now) const
{
    const auto own = [&](const auto& it) {
        return it.gate == options_.gate && it.gate_incarnation == options_.gate_incarnation;
    };
    for (ejection& it : record.ejected) {
        if (own(it) && ages_.age_of(it, now) > options_.floor.entry_ttl / 3)
            it.renewal = record_->version + 1;
    }
    for (ejection_reservation& it : record.reserved) {
        const bool old = ages_.age_of(it, now) > options_.floor.reservation_ttl / 12;
        if (own(it) && (old || !reservation_renewed_))
            it.renewal = record_->version + 1;
    }
}

void ejector::reserve_capacity(ejection_record& record, const service_view& view,
                               time_point now) const
{
    const bool any_reserved =
        std::any_of(record.reserved.begin(), record.reserved.end(),
                    [&](const ejection_reservation& it) { return it.gate == options_.gate; });
    if (any_reserved &&
        serving_slots(record, view, options_.floor, now) >= options_.floor.floor_slots &&
        healthy_slots(record, view, options_.floor, now) < options_.floor.floor_slots) {
        const bool reservation_used =
            std::any_of(servers_.begin(), servers_.end(),
                        [](const server_state& it) { return it.by_reservation; });
        if (!reservation_used)
            record = propose_release(record, options_.gate);
        return;
    }
    if (any_reserved || !options_.reserve || servers_.empty())
        return;
    std::uint32_t slots = 0;
    for (const server_state& it : servers_)
        slots = std::max(slots, it.slots);
    const proposed_record next = propose_reservation(
        record, view, options_.floor,
        {.gate = options_.gate, .gate_incarnation = options_.gate_incarnation, .slots = slots},
        now);
    if (!failed(next))
        record = value_of(next);
}

// Adds an entry for a failing server to the record: from the capacity above the floor or, if that
// does not suffice, in place of this gate's reservation. An entry that is in the record already is
// added again with a new renewal number, so that the next write confirms it.
proposed_record ejector::with_ejected(const ejection_record& record, const server_state& it,
                                      const service_view& view, time_point now) const
{
    const ejection entry = entry_for(it);
    const ejection_reservation* reservation =
        find_reservation(record, options_.gate, options_.gate_incarnation);
    const bool covered = reservation != nullptr && reservation->slots >= it.slots;
    if (it.by_reservation)
        return covered ? propose_claim(record, entry) : proposed_record(record);
    proposed_record out = propose_ejection(record, view, options_.floor, entry, now);
    if (failed(out) && error_of(out) == ejection_refusal::below_floor && covered &&
        healthy_slots(record, view, options_.floor, now) >= options_.floor.floor_slots)
        return propose_claim(record, entry);
    return out;
}

// The record that this gate would write next: without expired entries and those of servers back in
// rotation, and with entries for failing servers as far as the floor allows.
ejection_record ejector::desired_record(const service_view& view, time_point now)
{
    assert(record_);
    ejection_record out = drop_expired(*record_, view, ages_, options_.floor, now);
    for (const server_state& it : servers_) {
        if (!is_ejected(it) && find_ejection(out, it.server) != nullptr)
            out = propose_return(out, it.server);
    }
    renew_own_entries(out, now);
    for (const server_state& it : servers_) {
        const bool wanted =
            it.by_reservation || (it.failing && it.standing == server_standing::demoted);
        if (!wanted)
            continue;
        const proposed_record next = with_ejected(out, it, view, now);
        if (failed(next))
            last_refusal_ = error_of(next);
        else
            out = value_of(next);
    }
    reserve_capacity(out, view, now);
    return out;
}

// Starts at most one store operation at a time. The outcome of an unconfirmed write is resolved
// first: by a read that shows a later version, or by sending the same compare-and-swap again.
void ejector::write_or_read(const service_view& view, time_point now, ejector_actions& out)
{
    if (reading_ || now < retry_at_)
        return;
    if (!record_ || record_is_outdated_ || (pending_ && pending_->attempt_ended)) {
        reading_ = true;
        record_is_outdated_ = false;
        out.emplace_back(read_record{options_.service});
        return;
    }
    if (pending_)
        return;
    ejection_record wanted = desired_record(view, now);
    if (wanted == *record_)
        return;
    wanted.version = record_->version + 1;
    pending_ = pending_write{.record = wanted, .expected = record_->version, .issued = now};
    out.emplace_back(write_record{wanted, record_->version});
}

// Applies the rules that depend on the view and on time, then starts a store operation if one is
// due.
ejector_actions ejector::advance(const service_view& view, time_point now)
{
    ejector_actions out;
    restore_floor(view, now, out);
    apply_timers(now, out);
    eject_by_reservation(view, now, out);
    write_or_read(view, now, out);
    return out;
}

ejector_actions ejector::on_failing(backend_server_id server, std::uint32_t severity,
                                    const service_view& view, time_point now)
{
    ejector_actions out;
    server_state* it = find(server);
    if (it == nullptr)
        return out;
    it->failing = true;
    it->severity = severity;
    if (it->standing == server_standing::serving)
        change_standing(*it, server_standing::demoted, out);
    append(out, advance(view, now));
    return out;
}

ejector_actions ejector::on_recovered(backend_server_id server, const service_view& view,
                                      time_point now)
{
    ejector_actions out;
    server_state* it = find(server);
    if (it == nullptr)
        return out;
    it->failing = false;
    if (it->standing == server_standing::demoted)
        change_standing(*it, server_standing::serving, out);
    append(out, advance(view, now));
    return out;
}

// After a passed trial the server returns to rotation, and then its entry is removed. After a
// failed trial a longer ejection starts under the entry, which is still in the record.
ejector_actions ejector::on_trial_ended(backend_server_id server, bool passed,
                                        const service_view& view, time_point now)
{
    ejector_actions out;
    server_state* it = find(server);
    if (it == nullptr || it->standing != server_standing::on_trial)
        return out;
    it->failing = !passed;
    if (passed)
        return_to_rotation(*it, out);
    else
        hold_out(*it, it->by_reservation, now, out);
    append(out, advance(view, now));
    return out;
}

// A record older than the known one is a stale read and is ignored. A version later than the one
// that an unconfirmed write expected resolves that write: it can no longer take effect. Otherwise
// the same write is sent again.
ejector_actions ejector::on_record(const ejection_record& record, const service_view& view,
                                   time_point now)
{
    ejector_actions out;
    const bool requested = reading_;
    reading_ = false;
    store_unavailable_ = false;
    if (record_ && record.version < record_->version) {
        retry_at_ = now + stale_read_retry_interval;
        return out;
    }
    if (pending_ && record.version > pending_->expected && pending_->attempt_ended)
        pending_.reset();
    if (pending_ && pending_->attempt_ended && requested) {
        pending_->attempt_ended = false;
        out.emplace_back(write_record{pending_->record, pending_->expected});
        return out;
    }
    apply_record(record, now, out);
    append(out, advance(view, now));
    return out;
}

ejector_actions ejector::on_read_failed(time_point now)
{
    reading_ = false;
    store_unavailable_ = true;
    retry_at_ = now + store_retry_interval;
    return {};
}

// A write that may have taken effect stays pending until it is confirmed or until a later version
// is read.
ejector_actions ejector::on_write_answered(write_outcome outcome, const service_view& view,
                                           time_point now)
{
    ejector_actions out;
    if (!pending_)
        return out;
    const pending_write done = *pending_;
    store_unavailable_ = outcome == write_outcome::unknown || outcome == write_outcome::not_written;
    if (store_unavailable_) {
        pending_->attempt_ended = true;
        pending_->uncertain = done.uncertain || outcome == write_outcome::unknown;
        if (!pending_->uncertain)
            pending_.reset();
        retry_at_ = now + store_retry_interval;
    }
    else {
        pending_.reset();
        if (outcome == write_outcome::conflict) {
            record_is_outdated_ = true;
        }
        else if (!record_ || done.record.version > record_->version) {
            track_reservation_renewal(done);
            apply_record(done.record, now, out);
            hold_out_committed(done, view, now, out);
        }
    }
    append(out, advance(view, now));
    return out;
}

ejector_actions ejector::tick(const service_view& view, time_point now)
{
    return advance(view, now);
}

} // namespace jasminebank
