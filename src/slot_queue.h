#pragma once

// The slots of one backend server, shared between organisations. When all slots are in use,
// requests wait in one bounded queue per organisation. A free slot goes to the waiting requests of
// the lowest rank number; among these, to requests that return after a refusal; among these, to
// requests that can still meet their soft deadline; and
// among these, to the organisation with the least slot time used relative to its weight (start-time
// fair queueing), however many requests each organisation sends. If the backend server has named
// the rate that it takes, requests also wait for their turn at that rate, and if it may be cold,
// for their turn within its cold-start limit.

#include "cold_start.h"
#include "request_outcome.h"
#include "start_pacer.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace jasminebank {

/// Number of slots and limits of the queues.
struct slot_queue_options {
    std::uint32_t slots = 4;
    std::size_t max_waiting = 128;                 ///< requests of all organisations together
    std::size_t max_waiting_per_organisation = 32; ///< requests of one organisation
    /// Keep slots free for requests of rank 0: as many as ran or waited at once within the last
    /// second, up to a quarter of the slots, and one for a minute after the last of them.
    bool reserve_for_first_rank = false;
    /// Requests that return go before new ones of their own organisation only, not of all.
    bool returned_first_by_organisation = false;
};

/// A request for a slot.
struct slot_request {
    request_id request;
    organisation_id organisation;
    time_point deadline;
    std::uint32_t weight = 1; ///< of the organisation: its share relative to others, at least 1
    std::uint32_t rank = 0;   ///< 0 is served first
    time_point soft_deadline = time_point::max(); ///< a later answer is worth less; max: none
    /// Was refused before and has come back; goes before new requests of its rank.
    bool is_returned = false;
};

enum class slot_refusal : std::uint8_t {
    queue_full, ///< too many wait, of the organisation or in total
    deadline,   ///< it passed, or is expected to pass before a slot is free
    duplicate,  ///< a request with this id waits or runs, and continues
};

/// `request` has a slot: send it to the backend server now, and call `finished` when it has ended.
struct start_request {
    request_id request;
};

/// `request` was not and will not be started.
struct refuse_request {
    request_id request;
    slot_refusal reason = slot_refusal::queue_full;
};

using slot_action = std::variant<start_request, refuse_request>;
using slot_actions = std::vector<slot_action>;

/// The slots and waiting requests of one backend server. A request is started at most once, and not
/// after it was refused or cancelled. While a request waits, all slots are in use, or the rate or
/// the cold-start limit allows none to start.
class slot_queue {
public:
    explicit slot_queue(const slot_queue_options& options = {});

    slot_actions enqueue(const slot_request& it, time_point now);
    /// Frees the slot of a started request that ended in any way.
    slot_actions finished(request_id request, time_point now);
    /// Removes a waiting request whose caller has cancelled it; false if it does not wait. A
    /// started one keeps its slot until `finished`.
    [[nodiscard]] bool cancel(request_id request);
    /// Refuses all waiting requests, for example when the backend server is draining.
    slot_actions refuse_waiting();
    /// Refuses this request if it waits.
    slot_actions refuse_waiting(request_id request);
    /// Refuses waiting requests whose deadline has passed.
    slot_actions tick(time_point now);
    /// Sets the number of slots. Running requests continue even if it is lower than their number.
    slot_actions set_slots(std::uint32_t slots, time_point now);
    /// Sets the rate of started requests, see `start_pacer`. Refuses the waiting requests that can
    /// no longer start in time.
    slot_actions set_start_rate(std::optional<double> rate, time_point now);
    /// The limit of a backend server that may be cold. A change to it takes effect with the next
    /// call of `tick`.
    cold_start_limit& cold_start() { return cold_start_; }
    const cold_start_limit& cold_start() const { return cold_start_; }
    /// Whether a request of this rank that is enqueued now starts at once.
    bool may_start(time_point now, std::uint32_t rank = 1) const;
    /// Expected wait of a request of this organisation, rank and `is_returned` that is enqueued
    /// now, while `ending` of the running requests are about to end; zero if it starts at once or
    /// no service time is known yet.
    duration expected_wait(const slot_request& it, time_point now, std::size_t ending = 0) const;

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_; }

private:
    struct organisation_state {
        organisation_id organisation;
        std::uint32_t weight = 1;
        // Slot seconds divided by weight; running requests count with their expected time.
        double weighted_use = 0;
        std::uint32_t running = 0;
        std::deque<slot_request> waiting;
    };
    struct running_request {
        request_id request;
        organisation_id organisation;
        time_point started;
        double charged_use = 0; // what was added to `weighted_use` at the start
        std::uint32_t rank = 0;
    };

    /// Order of waiting requests; the least is served first. Within a rank, requests that return
    /// come first, and those that can no longer meet their soft deadline (`is_late`) last.
    struct service_order {
        std::uint32_t rank = 0;
        bool is_new = true;
        bool is_late = false;
        auto operator<=>(const service_order&) const = default;
    };

    service_order service_order_of(const slot_request& it, time_point now) const;
    std::deque<slot_request>::iterator next_to_serve(organisation_state& it, time_point now) const;
    organisation_state* find(organisation_id organisation);
    organisation_state& activate(const slot_request& it);
    bool is_known(request_id request) const;
    time_point latest_useful_start(const slot_request& it, time_point now) const;
    std::size_t count_ahead(const slot_request& it) const;
    duration wait_for_starts(std::size_t count, time_point now) const;
    bool may_start_one(time_point now) const;
    void refuse_beyond_rate(time_point now, slot_actions& out);
    duration expected_wait(const slot_request& it, const organisation_state& own,
                           time_point now) const;
    bool has_service_times() const;
    std::uint32_t slots_for(std::uint32_t rank, time_point now) const;
    std::size_t first_rank_running() const;
    std::size_t first_rank_waiting() const;
    void record_first_rank_demand(time_point now);
    bool would_miss_deadline(const slot_request& it, const organisation_state& own,
                             time_point now) const;
    bool make_room(const slot_request& it, organisation_state& own, slot_actions& out);
    bool displace_new(const slot_request& it, organisation_state& from, slot_actions& out);
    void refuse_expired(time_point now, slot_actions& out);
    void start_waiting(time_point now, slot_actions& out);
    void erase_idle();

    slot_queue_options options_;
    // With requests, or idle with `weighted_use` above `virtual_time_`.
    std::vector<organisation_state> organisations_;
    std::vector<running_request> running_;
    std::size_t waiting_ = 0;
    double virtual_time_ = 0;       // highest `weighted_use` at which a request was started
    double expected_service_s_ = 0; // moving average of the time a request holds its slot
    std::uint64_t samples_ = 0;
    start_pacer pacer_;
    cold_start_limit cold_start_;
    std::size_t first_rank_peak_ = 0; // requests of rank 0 at once, valid until the next time
    time_point first_rank_peak_until_{};
    time_point first_rank_seen_until_{};
};

} // namespace jasminebank
