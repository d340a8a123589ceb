#pragma once

// Turns the verdicts of one gate on its backend servers of one service into ejections under the
// floor. Order keeps the count right whatever is lost: a server is held out only after the store
// has said that the entry stands, and gets work again before the entry is taken away. A write whose
// answer was lost counts as done and as not done, whichever is stricter.

#include "server_standing.h"
#include "service_floor.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jasminebank {

/// Settings of an ejector.
struct ejector_options {
    service_id service;
    vm_id gate;
    incarnation gate_incarnation;
    floor_options floor;
    bool reserve = true; ///< hold capacity for one ejection while the store is away
    duration base_ejection_time = std::chrono::seconds(10); ///< until the first trial
    duration max_ejection_time = std::chrono::minutes(10);
    duration backoff_decay_interval =
        std::chrono::minutes(5); ///< in full service; halves the next ejection
};

/// Give `server` this standing from now on and announce it.
struct set_standing {
    backend_server_id server;
    server_standing standing = server_standing::serving;
};

/// Compare-and-swap: write `record` if the store still holds version `expected`. Answer with
/// `write_answered`.
struct write_record {
    ejection_record record;
    std::uint64_t expected = 0;
};

/// Read the service's record; answer with `record_read` or `read_failed`.
struct read_record {
    service_id service;
};

using ejector_action = std::variant<set_standing, write_record, read_record>;
using ejector_actions = std::vector<ejector_action>;

enum class write_outcome : std::uint8_t {
    committed,
    conflict,    ///< another version stands
    unknown,     ///< no answer; the write may have taken effect, now or later
    not_written, ///< the write certainly did not and will not take effect
};

/// The ejector of one gate and one service. Bounded by 64 backend servers. `step` calls take the
/// gate's view of the service at that moment.
class ejector {
public:
    explicit ejector(const ejector_options& options);

    /// The gate serves `server` with `slots`. It starts in rotation.
    void add_server(backend_server_id server, std::uint32_t slots, time_point now);
    void remove_server(backend_server_id server);

    ejector_actions on_failing(backend_server_id server, std::uint32_t severity,
                               const service_view& view, time_point now);
    ejector_actions on_recovered(backend_server_id server, const service_view& view,
                                 time_point now);
    ejector_actions on_trial_ended(backend_server_id server, bool passed, const service_view& view,
                                   time_point now);
    /// The store's record as read or watched.
    ejector_actions on_record(const ejection_record& record, const service_view& view,
                              time_point now);
    ejector_actions on_read_failed(time_point now);
    ejector_actions on_write_answered(write_outcome outcome, const service_view& view,
                                      time_point now);
    ejector_actions tick(const service_view& view, time_point now);

    /// The standing of a backend server; `serving` for one that is not known.
    server_standing standing_of(backend_server_id server) const;
    /// Whether the last call to the store failed.
    bool store_is_unavailable() const { return store_unavailable_; }
    /// Time out that the next ejection of `server` will last.
    duration next_ejection_time(backend_server_id server) const;
    /// The last refusal of an ejection, for logs and metrics.
    std::optional<ejection_refusal> last_refusal() const { return last_refusal_; }

private:
    struct server_state {
        backend_server_id server;
        std::uint32_t slots = 0;
        std::uint32_t severity = 0;
        server_standing standing = server_standing::serving;
        bool failing = false;
        bool by_reservation = false; // held out without an entry of its own
        std::uint32_t doublings = 0; // doublings of the next ejection
        time_point until;            // end of the present ejection
        time_point healthy_since;
    };
    struct pending_write {
        ejection_record record;
        std::uint64_t expected = 0;
        time_point issued;
        bool answered = false;  // no further answer will come
        bool uncertain = false; // an earlier try may have taken effect, now or later
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
    std::optional<time_point> reservation_renewed_; // when the write that renewed it was sent
    bool record_is_outdated_ = false;               // a conflict told of a later version
    entry_ages ages_;
    std::optional<pending_write> pending_;
    bool reading_ = false;
    bool store_unavailable_ = false;
    time_point retry_at_;
    std::optional<ejection_refusal> last_refusal_;
};

} // namespace jasminebank
