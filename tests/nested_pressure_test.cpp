#include "nested_pressure.h"

#include "slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const route_id failing{1};
const route_id other{2};

// Services that call each other in a ring: a run at one makes a nested request at the next one
// until its depth is used up. Steps of one millisecond.
class service_ring {
public:
    service_ring(std::size_t services, std::uint32_t slots)
    {
        for (std::size_t n = 0; n < services; ++n)
            services_.push_back({slot_queue({.slots = slots,
                                             .max_waiting = 32,
                                             .max_waiting_per_organisation = 32,
                                             .reserve_for_first_rank = true}),
                                 nested_pressure(), 0, 0});
    }

    void send(std::size_t service, std::size_t depth)
    {
        if (services_[service].pressure.admits_new_work(failing, now))
            enqueue(service, depth, std::nullopt, now + 400ms);
        last_deadline = std::max(last_deadline, now + 400ms);
    }

    void step()
    {
        now += 1ms;
        for (std::size_t n = 0; n < services_.size(); ++n)
            apply(n, services_[n].slots.tick(now));
        std::vector<std::uint64_t> due;
        for (const auto& [id, it] : open_) {
            if (it.is_running && (it.works_until <= now || it.deadline <= now))
                due.push_back(id);
        }
        for (const std::uint64_t id : due)
            proceed(id);
    }

    // Whether a nested request waits although all slots of its service are held by new work, which
    // may wait for it through the ring.
    bool waits_behind_new_work() const
    {
        return std::any_of(services_.begin(), services_.end(), [](const service& it) {
            return it.waiting_nested > 0 && it.running_nested == 0;
        });
    }

    std::size_t open() const { return open_.size(); }

    time_point now = start;
    time_point last_deadline = start;

private:
    struct service {
        slot_queue slots;
        nested_pressure pressure;
        std::size_t waiting_nested = 0;
        std::size_t running_nested = 0;
    };
    struct request {
        std::size_t service = 0;
        std::size_t depth = 0; // nested requests that it leads to
        std::optional<std::uint64_t> parent;
        time_point deadline;
        time_point works_until = time_point::max(); // max: until its nested request has ended
        bool is_running = false;
    };

    void enqueue(std::size_t at, std::size_t depth, std::optional<std::uint64_t> parent,
                 time_point deadline)
    {
        const std::uint64_t id = ++last_id_;
        open_[id] = {.service = at, .depth = depth, .parent = parent, .deadline = deadline};
        services_[at].waiting_nested += parent ? 1 : 0;
        apply(at, services_[at].slots.enqueue({.request = {id},
                                               .organisation = {1},
                                               .deadline = deadline - 20ms,
                                               .rank = parent ? 0U : 1U},
                                              now));
    }

    void apply(std::size_t at, const slot_actions& actions)
    {
        for (const slot_action& action : actions) {
            if (const auto* it = std::get_if<start_request>(&action)) {
                request& own = open_.at(it->request.value);
                own.is_running = true;
                own.works_until = now + 10ms;
                services_[at].waiting_nested -= own.parent ? 1 : 0;
                services_[at].running_nested += own.parent ? 1 : 0;
                continue;
            }
            const std::uint64_t id = std::get<refuse_request>(action).request.value;
            services_[at].waiting_nested -= open_.at(id).parent ? 1 : 0;
            leave(id, false);
        }
    }

    void proceed(std::uint64_t id)
    {
        const auto found = open_.find(id);
        if (found == open_.end())
            return;
        request& own = found->second;
        if (own.depth == 0 || own.deadline <= now) {
            finish(id, own.deadline > now);
            return;
        }
        const std::size_t depth = --own.depth;
        own.works_until = time_point::max();
        enqueue((own.service + 1) % services_.size(), depth, id, own.deadline);
    }

    void finish(std::uint64_t id, bool is_ok)
    {
        const std::size_t at = open_.at(id).service;
        const bool is_nested = open_.at(id).parent.has_value();
        services_[at].running_nested -= is_nested ? 1 : 0;
        if (!is_nested)
            services_[at].pressure.run_ended(failing, !is_ok, now);
        leave(id, is_ok);
        apply(at, services_[at].slots.finished({id}, now));
    }

    // The parent ends when its nested request was refused or has failed.
    void leave(std::uint64_t id, bool is_ok)
    {
        const request own = open_.at(id);
        open_.erase(id);
        if (!own.parent || !open_.contains(*own.parent))
            return;
        request& parent = open_.at(*own.parent);
        services_[parent.service].pressure.ended(!is_ok && !own.is_running, now);
        if (!is_ok) {
            finish(*own.parent, false);
            return;
        }
        parent.depth = 0;
        parent.works_until = now + 5ms;
    }

    std::vector<service> services_;
    std::map<std::uint64_t, request> open_;
    std::uint64_t last_id_ = 0;
};

} // namespace

// Load: nested requests into a small service that also runs the dearest kind of request. Guards
// against runs that are started only to fail when their nested request is refused.
TEST(nested_pressure, holds_the_failing_route_while_nested_requests_are_refused)
{
    nested_pressure it;
    for (int n = 0; n < 8; ++n)
        it.ended(n % 2 == 0, start);
    it.run_ended(failing, true, start);
    it.run_ended(other, false, start);
    EXPECT_TRUE(it.holds(failing, start));
    EXPECT_FALSE(it.holds(other, start));
    EXPECT_FALSE(it.holds(failing, start + 1s));
}

// Guards against a server that gets no work any more after the service that it calls has recovered.
TEST(nested_pressure, lets_one_request_through_per_interval)
{
    nested_pressure it({.window = 10s});
    for (int n = 0; n < 8; ++n)
        it.ended(true, start);
    it.run_ended(failing, true, start);
    int started = 0;
    for (duration age{}; age < 1s; age += 10ms)
        started += it.admits_new_work(failing, start + age) ? 1 : 0;
    EXPECT_EQ(started, 4);
    EXPECT_TRUE(it.admits_new_work(other, start));
}

// Guards against holding work back for one refusal among few requests, or for refusals that only
// concern a small share.
RC_GTEST_PROP(nested_pressure, few_refusals_hold_nothing_back, (std::uint8_t ended))
{
    nested_pressure it;
    it.run_ended(failing, true, start);
    const int count = ended % 100;
    for (int n = 0; n < count; ++n)
        it.ended(n % 5 == 4, start);
    RC_ASSERT(it.admits_new_work(failing, start));
}

// Load: rings of services that are all full. Guards against requests that wait for each other in a
// circle: work always ends by its deadline, without new arrivals to push it.
RC_GTEST_PROP(nested_pressure, work_in_rings_always_ends, (std::uint64_t seed))
{
    const std::size_t services = 2 + seed % 3;
    service_ring ring(services, 2 + static_cast<std::uint32_t>(seed / 3 % 3));
    for (std::uint64_t n = 0; n < 300; ++n) {
        const std::uint64_t random = mix(seed, n);
        if (random % 4 != 0)
            ring.send(random / 4 % services, random / 64 % (2 * services));
        ring.step();
    }
    while (ring.now <= ring.last_deadline)
        ring.step();
    RC_ASSERT(ring.open() == 0U);
}

// Guards against new work that holds all slots while nested requests wait for one of them: each
// service keeps a slot for these once it has seen one.
RC_GTEST_PROP(nested_pressure, nested_requests_never_wait_for_new_work_only, (std::uint64_t seed))
{
    const std::size_t services = 2 + seed % 3;
    service_ring ring(services, 2 + static_cast<std::uint32_t>(seed / 3 % 3));
    for (std::size_t n = 0; n < services; ++n)
        ring.send(n, 1);
    for (int n = 0; n < 100; ++n)
        ring.step();
    for (std::uint64_t n = 0; n < 300; ++n) {
        const std::uint64_t random = mix(seed, n);
        if (random % 2 == 0)
            ring.send(random / 4 % services, 1);
        ring.step();
        RC_ASSERT(!ring.waits_behind_new_work());
    }
}
