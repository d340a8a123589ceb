#pragma once

// Ejects the failing backend servers of one gate and one service, as far as the capacity floor
// allows. The order of steps keeps the record of ejections conservative whatever message is lost: a
// server is held out only after the store has confirmed its entry, and is back in rotation before
// the entry is removed. A write with unknown outcome is treated as committed or as not committed,
// whichever is stricter for the rule at hand.

#include "server_standing.h"
#include "service_floor.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jasminebank {

/// Parameters of an ejector.
struct ejector_options {
    service_id service;
    vm_id gate;
    incarnation gate_incarnation;
    floor_options floor;
    bool reserve = true; ///< reserve capacity for one ejection without the store
    duration base_ejection_time =
        std::chrono::seconds(10); ///< of the first ejection, until its trial
    duration max_ejection_time = std::chrono::minutes(10);
    duration backoff_decay_interval =
        std::chrono::minutes(5); ///< of healthy service; halves the next ejection time
};

/// Set the standing of `server` and announce it to the other nodes.
struct set_standing {
    backend_server_id server;
    server_standing standing = server_standing::serving;
};

/// Compare-and-swap: write `record` if the store still holds version `expected`. The outcome is
/// passed to `on_write_answered`.
struct write_record {
    ejection_record record;
    std::uint64_t expected = 0;
};

/// Read the service's record. The result is passed to `on_record` or `on_read_failed`.
struct read_record {
    service_id service;
};

using ejector_action = std::variant<set_standing, write_record, read_record>;
using ejector_actions = std::vector<ejector_action>;

enum class write_outcome : std::uint8_t {
    committed,
    conflict,    ///< the store holds another version
    unknown,     ///< no answer; the write may have taken effect or may do so later
    not_written, ///< the write has not taken effect and never will
};

/// The ejector of one gate and one service, for up to 64 backend servers. Each `view` argument is
/// the gate's view of the service at the time of the call.
class ejector {
public:
    explicit ejector(const ejector_options& options);

    /// Adds a backend server of this gate, in rotation, with a capacity of `slots`.
    void add_server(backend_server_id server, std::uint32_t slots, time_point now);
    void remove_server(backend_server_id server);

    ejector_actions on_failing(backend_server_id server, std::uint32_t severity,
                               const service_view& view, time_point now);
    ejector_actions on_recovered(backend_server_id server, const service_view& view,
                                 time_point now);
    ejector_actions on_trial_ended(backend_server_id server, bool passed, const service_view& view,
                                   time_point now);
    /// The record as read from the store or received from its watch.
    ejector_actions on_record(const ejection_record& record, const service_view& view,
                              time_point now);
    ejector_actions on_read_failed(time_point now);
    ejector_actions on_write_answered(write_outcome outcome, const service_view& view,
                                      time_point now);
    ejector_actions tick(const service_view& view, time_point now);

    /// The standing of a backend server; `serving` if it is unknown.
    server_standing standing_of(backend_server_id server) const;
    /// Whether the last store operation failed.
    bool store_is_unavailable() const { return store_unavailable_; }
    /// Duration of the next ejection of `server`.
    duration next_ejection_time(backend_server_id server) const;
    /// Reason of the latest refused ejection, for logs and metrics.
    std::optional<ejection_refusal> last_refusal() const { return last_refusal_; }

private:
    struct server_state {
        backend_server_id server;
        std::uint32_t slots = 0;
        std::uint32_t severity = 0;
        server_standing standing = server_standing::serving;
        bool failing = false;
        bool by_reservation = false; // held out under the reservation, without an entry
        std::uint32_t doublings = 0; // of the base time, for the next ejection
        time_point ejected_until;    // end of the present ejection
        time_point healthy_since;
    };
    struct pending_write {
        ejection_record record;
        std::uint64_t expected = 0;
        time_point issued;
        bool attempt_ended = false; // without confirmation
        bool uncertain = false;     // an attempt may have taken effect or may do so later
    };

    server_state* find(backend_server_id server);
    static bool is_ejected(const server_state& it);
    bool has_entry(backend_server_id server) const;
    ejection entry_for(const server_state& it) const;
    void change_standing(server_state& it, server_standing standing, ejector_actions& out);
    void hold_out(server_state& it, bool by_reservation, time_point now, ejector_actions& out);
    void return_to_rotation(server_state& it, ejector_actions& out);
    void apply_record(const ejection_record& record, time_point now, ejector_actions& out);
    void track_reservation_renewal(const pending_write& done);
    bool reservation_is_valid(time_point now) const;
    void hold_out_committed(const pending_write& done, const service_view& view, time_point now,
                            ejector_actions& out);
    void restore_floor(const service_view& view, time_point now, ejector_actions& out);
    void eject_by_reservation(const service_view& view, time_point now, ejector_actions& out);
    void apply_timers(time_point now, ejector_actions& out);
    proposed_record with_ejected(const ejection_record& record, const server_state& it,
                                 const service_view& view, time_point now) const;
    ejection_record desired_record(const service_view& view, time_point now);
    void renew_own_entries(ejection_record& record, time_point now) const;
    void reserve_capacity(ejection_record& record, const service_view& view, time_point now) const;
    void write_or_read(const service_view& view, time_point now, ejector_actions& out);
    ejector_actions advance(const service_view& view, time_point now);

    ejector_options options_;
    std::vector<server_state> servers_;
    std::optional<ejection_record> record_;
    std::optional<time_point> reservation_renewed_; // when its last renewal was sent
    bool record_is_outdated_ = false;               // a conflict showed another version
    entry_ages ages_;
    std::optional<pending_write> pending_;
    bool reading_ = false;
    bool store_unavailable_ = false;
    time_point retry_at_;
    std::optional<ejection_refusal> last_refusal_;
};

} // namespace jasminebank
