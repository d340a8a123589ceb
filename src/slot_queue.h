#pragma once

// The slots of one backend server, shared by organisation. When all are taken, requests wait in a
// bounded queue for each organisation. The next slot goes to the highest rank that waits; in it, to
// requests that can still be answered in time rather than late; and of those, to the organisation
// that has used the least slot time for its weight (start-time fair queueing), not to the one that
// sent the most.

#include "request_outcome.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <variant>
#include <vector>

namespace jasminebank {

/// Bounds of a slot queue.
struct slot_queue_options {
    std::uint32_t slots = 4;
    std::size_t max_waiting = 128;                 ///< all organisations together
    std::size_t max_waiting_per_organisation = 32; ///< one organisation
};

/// A request that wants a slot.
struct slot_request {
    request_id request;
    organisation_id organisation;
    time_point deadline;
    std::uint32_t weight = 1; ///< share of the organisation against others, at least 1
    std::uint32_t rank = 0;   ///< 0 goes first
    time_point soft_deadline = time_point::max(); ///< an answer after it is worth less
};

enum class slot_refusal : std::uint8_t {
    queue_full, ///< this organisation, or all together, have too many waiting
    deadline,   ///< it passed, or will have passed before a slot is free
    duplicate,  ///< the request is waiting or running already; the first one stays
};

/// Send `request` to the backend server now; answer with `finished`.
struct start_request {
    request_id request;
};

/// `request` was not run and will not be.
struct refuse_request {
    request_id request;
    slot_refusal reason = slot_refusal::queue_full;
};

using slot_action = std::variant<start_request, refuse_request>;
using slot_actions = std::vector<slot_action>;

/// The slots and waiting requests of one backend server. Each request is started at most once, and
/// never after it was refused or cancelled. No slot is free while a request waits.
class slot_queue {
public:
    explicit slot_queue(const slot_queue_options& options = {});

    slot_actions enqueue(const slot_request& it, time_point now);
    /// A started request ended, however it did; its slot is free.
    slot_actions finished(request_id request, time_point now);
    /// The caller went away. A waiting request is forgotten; a started one keeps its slot until
    /// `finished`.
    slot_actions cancel(request_id request, time_point now);
    /// Refuses all waiting requests, as when the backend server leaves.
    slot_actions refuse_waiting();
    /// Refuses waiting requests whose deadline has passed.
    slot_actions tick(time_point now);
    /// The backend server announced another number of slots; running requests go on.
    slot_actions set_slots(std::uint32_t slots, time_point now);

    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_; }

private:
    struct organisation_state {
        organisation_id organisation;
        std::uint32_t weight = 1;
        double weighted_use =
            0; // slot seconds over weight, with expected time for running requests
        std::uint32_t running = 0;
        std::deque<slot_request> waiting;
    };
    struct running_request {
        request_id request;
        organisation_id organisation;
        time_point started;
        double charged_use = 0; // what was added to `used` at the start
    };

    /// How urgent a waiting request is; less goes first.
    struct urgency {
        std::uint32_t rank = 0;
        bool is_late = false;
        auto operator<=>(const urgency&) const = default;
    };

    urgency urgency_of(const slot_request& it, time_point now) const;
    std::deque<slot_request>::iterator most_urgent(organisation_state& it, time_point now) const;
    organisation_state* find(organisation_id organisation);
    organisation_state& activate(const slot_request& it);
    bool is_known(request_id request) const;
    duration expected_wait(const slot_request& it, const organisation_state& own) const;
    bool would_miss_deadline(const slot_request& it, const organisation_state& own,
                             time_point now) const;
    bool make_room(const organisation_state& own, slot_actions& out);
    void refuse_expired(time_point now, slot_actions& out);
    void start_waiting(time_point now, slot_actions& out);
    void erase_idle();

    slot_queue_options options_;
    std::vector<organisation_state> organisations_; // active, or with more use than the others
    std::vector<running_request> running_;
    std::size_t waiting_ = 0;
    double virtual_time_ = 0;       // `used` of the organisation served last
    double expected_service_s_ = 0; // running mean of slot time
    std::uint64_t samples_ = 0;
};

} // namespace jasminebank
