#include "slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// Simulates a backend server with a fixed service time, in steps of one millisecond.
struct simulated_server {
    explicit simulated_server(const slot_queue_options& options = {}) : queue(options) {}

    void apply(const slot_actions& actions)
    {
        for (const slot_action& it : actions) {
            if (const auto* start = std::get_if<start_request>(&it)) {
                started.insert(start->request.value);
                ends[start->request.value] = now + service_time;
                const auto own = sent_at.find(start->request.value);
                if (own != sent_at.end())
                    longest_wait = std::max(longest_wait, now - own->second);
            }
            else {
                ++refused;
            }
        }
    }

    void send(std::uint64_t organisation, duration time_limit = 10s, bool measure_wait = false)
    {
        const std::uint64_t id = ++requests;
        if (measure_wait)
            sent_at[id] = now;
        apply(queue.enqueue(
            {.request = {id}, .organisation = {organisation}, .deadline = now + time_limit}, now));
    }

    void step()
    {
        now += 1ms;
        for (auto it = ends.begin(); it != ends.end();) {
            const auto end = it++;
            if (end->second > now)
                continue;
            const request_id done{end->first};
            ends.erase(end);
            apply(queue.finished(done, now));
            it = ends.begin();
        }
        apply(queue.tick(now));
    }

    slot_queue queue;
    time_point now{1h};
    duration service_time = 20ms;
    std::map<std::uint64_t, time_point> ends;
    std::map<std::uint64_t, time_point> sent_at;
    std::set<std::uint64_t> started;
    std::uint64_t requests = 0;
    std::size_t refused = 0;
    duration longest_wait{};
};

enum class request_state { waiting, running, finished, refused, cancelled };

} // namespace

// Random requests, cancellations and changes of the number of slots. Guards against a request that
// is started or refused twice, and against a free slot while a request waits.
RC_GTEST_PROP(slot_queue, each_request_ends_once_and_no_slot_is_free_while_one_waits,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    slot_queue queue({.slots = 3, .max_waiting = 12, .max_waiting_per_organisation = 5});
    std::map<std::uint64_t, request_state> states;
    std::map<std::uint64_t, time_point> deadlines;
    time_point now{1h};
    std::uint32_t slots = 3;
    std::uint64_t last_id = 0;
    const auto apply = [&](const slot_actions& actions) {
        for (const slot_action& it : actions) {
            if (const auto* start = std::get_if<start_request>(&it)) {
                RC_ASSERT(states.at(start->request.value) == request_state::waiting);
                RC_ASSERT(deadlines.at(start->request.value) > now);
                states[start->request.value] = request_state::running;
                continue;
            }
            const auto& refusal = std::get<refuse_request>(it);
            if (refusal.reason == slot_refusal::duplicate)
                continue;
            RC_ASSERT(states.at(refusal.request.value) == request_state::waiting);
            states[refusal.request.value] = request_state::refused;
        }
    };
    for (int n = 0; n < 400; ++n) {
        now += std::chrono::milliseconds(random() % 20);
        const std::uint64_t id = 1 + random() % (last_id + 1);
        const auto found = states.find(id);
        switch (random() % 8) {
        case 0:
            slots = 1 + random() % 4;
            apply(queue.set_slots(slots, now));
            break;
        case 1:
            RC_ASSERT(queue.cancel({id}) ==
                      (found != states.end() && found->second == request_state::waiting));
            if (found != states.end() && found->second == request_state::waiting)
                found->second = request_state::cancelled;
            apply(queue.tick(now));
            break;
        case 2:
        case 3:
            if (found != states.end() && found->second == request_state::running)
                found->second = request_state::finished;
            apply(queue.finished({id}, now));
            break;
        default:
            const bool is_resent =
                found != states.end() && (found->second == request_state::waiting ||
                                          found->second == request_state::running);
            const std::uint64_t sent = is_resent ? id : ++last_id;
            if (!is_resent) {
                states[sent] = request_state::waiting;
                deadlines[sent] = now + std::chrono::milliseconds(random() % 300);
            }
            apply(queue.enqueue({.request = {sent},
                                 .organisation = {random() % 4},
                                 .deadline = is_resent ? now + 1s : deadlines[sent],
                                 .weight = 1 + static_cast<std::uint32_t>(random() % 3)},
                                now));
        }
        const auto count = [&](request_state wanted) {
            return static_cast<std::size_t>(std::count_if(
                states.begin(), states.end(), [&](const auto& it) { return it.second == wanted; }));
        };
        RC_ASSERT(queue.waiting() == count(request_state::waiting));
        RC_ASSERT(queue.running() == count(request_state::running));
        RC_ASSERT(queue.waiting() == 0U || queue.running() >= slots);
        RC_ASSERT(queue.waiting() <= 12U);
    }
}

// The capacity is 200 requests/s. Organisation 1 sends ten times its share, the others stay below
// theirs. Each of their requests must start within two service times.
RC_GTEST_PROP(slot_queue, a_flooding_organisation_does_not_delay_the_others, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    simulated_server server;
    for (int n = 0; n < 4000; ++n) {
        if (random() % 2 == 0)
            server.send(1);
        for (std::uint64_t organisation = 2; organisation <= 4; ++organisation) {
            if ((n + 7 * organisation) % 25 == 0)
                server.send(organisation, 10s, true);
        }
        server.step();
    }
    RC_ASSERT(server.longest_wait <= 2 * server.service_time);
    RC_ASSERT(server.refused > 0U);
}

// Two organisations send equally often, and the requests of one take ten times as long, so it must
// start a tenth as many.
TEST(slot_queue, slots_are_shared_by_slot_time_not_request_count)
{
    simulated_server server;
    std::map<bool, int> starts;
    for (int n = 0; n < 20000; ++n) {
        server.service_time = 20ms;
        server.send(1);
        server.send(2);
        const auto before = server.ends;
        server.step();
        for (auto& [id, end] : server.ends) {
            if (before.contains(id))
                continue;
            ++starts[id % 2 == 0];
            if (id % 2 == 0)
                end = server.now + 200ms;
        }
    }
    EXPECT_NEAR(10.0 * starts[true] / starts[false], 1.0, 0.25);
}

// Organisation 2 has weight 3 and is idle until step 5000; organisation 1 has weight 1 and always
// sends. From then on organisation 2 must get three quarters of the starts, not more for its idle
// time.
TEST(slot_queue, slots_are_shared_by_weight_without_credit_for_idle_time)
{
    simulated_server server;
    std::set<std::uint64_t> weighted_requests;
    std::size_t own = 0;
    std::size_t all = 0;
    for (int n = 0; n < 6000; ++n) {
        server.send(1);
        if (n == 5000)
            server.started.clear();
        if (n >= 5000) {
            const request_id id{++server.requests};
            weighted_requests.insert(id.value);
            server.apply(server.queue.enqueue(
                {.request = id, .organisation = {2}, .deadline = server.now + 10s, .weight = 3},
                server.now));
        }
        server.step();
    }
    for (std::uint64_t id : server.started) {
        ++all;
        own += weighted_requests.contains(id) ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(own) / static_cast<double>(all), 0.75, 0.05);
}

TEST(slot_queue, a_request_that_would_miss_its_deadline_is_refused_at_once)
{
    simulated_server server;
    for (int n = 0; n < 12; ++n) {
        server.send(1);
        for (int k = 0; k < 25; ++k)
            server.step();
    }
    for (int n = 0; n < 4 + 20; ++n)
        server.send(1);
    const std::size_t before = server.refused;
    server.send(1, 50ms);
    EXPECT_EQ(server.refused, before + 1);
    server.send(2, 50ms);
    EXPECT_EQ(server.refused, before + 1);
}

// Four slots, 20 ms per request, 20 requests waiting: a request whose soft deadline is closer than
// the expected wait is refused, but one of a higher rank is queued ahead of all waiting ones.
TEST(slot_queue, a_request_that_would_miss_its_soft_deadline_is_refused_at_once)
{
    simulated_server server;
    for (int n = 0; n < 12; ++n) {
        server.send(1);
        for (int k = 0; k < 25; ++k)
            server.step();
    }
    const auto send = [&](std::uint32_t rank, duration target) {
        const request_id id{++server.requests};
        const std::size_t before = server.refused;
        server.apply(server.queue.enqueue({.request = id,
                                           .organisation = {rank == 0 ? 9U : 1U},
                                           .deadline = server.now + 10s,
                                           .rank = rank,
                                           .soft_deadline = server.now + target},
                                          server.now));
        return server.refused == before;
    };
    for (int n = 0; n < 4 + 20; ++n)
        ASSERT_TRUE(send(1, 1s));
    EXPECT_FALSE(send(1, 100ms));
    EXPECT_TRUE(send(1, 200ms));
    EXPECT_TRUE(send(0, 50ms));
}

TEST(slot_queue, a_full_queue_evicts_the_newest_request_of_the_longest_queue)
{
    slot_queue queue({.slots = 1, .max_waiting = 6, .max_waiting_per_organisation = 5});
    const time_point now{1h};
    std::uint64_t id = 0;
    const auto send = [&](std::uint64_t organisation) {
        return queue.enqueue(
            {.request = {++id}, .organisation = {organisation}, .deadline = now + 1s}, now);
    };
    for (int n = 0; n < 6; ++n)
        send(1);
    send(2);
    EXPECT_EQ(queue.waiting(), 6U);
    const slot_actions actions = send(3);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<refuse_request>(actions[0]).request.value, 6U);
    EXPECT_EQ(queue.waiting(), 6U);
}

// Requests start in order of rank, 0 first. Within a rank, late requests start last.
TEST(slot_queue, requests_start_by_rank_and_late_ones_last_in_their_rank)
{
    slot_queue queue({.slots = 1});
    const time_point now{1h};
    const auto send = [&](std::uint64_t id, std::uint32_t rank, time_point soft_deadline) {
        return queue.enqueue({.request = {id},
                              .organisation = {1},
                              .deadline = now + 10s,
                              .rank = rank,
                              .soft_deadline = soft_deadline},
                             now);
    };
    send(1, 1, now + 1s);
    send(2, 1, now - 1s);
    send(3, 1, now + 1s);
    send(4, 0, now + 1s);
    const auto next_after = [&](std::uint64_t id) {
        const slot_actions out = queue.finished({id}, now);
        return std::get<start_request>(out.at(0)).request.value;
    };
    EXPECT_EQ(next_after(1), 4U);
    EXPECT_EQ(next_after(4), 3U);
    EXPECT_EQ(next_after(3), 2U);
}

TEST(slot_queue, refuse_waiting_refuses_all_waiting_requests)
{
    slot_queue queue({.slots = 1});
    const time_point now{1h};
    for (std::uint64_t id = 1; id <= 4; ++id)
        queue.enqueue({.request = {id}, .organisation = {id}, .deadline = now + 10s}, now);
    EXPECT_EQ(queue.refuse_waiting().size(), 3U);
    EXPECT_EQ(queue.waiting(), 0U);
    EXPECT_EQ(queue.running(), 1U);
    EXPECT_TRUE(queue.finished({1}, now).empty());
}

// Load: callers that return after a Retry-After to a service that is still short of capacity.
// Guards against returned requests that are refused while newer ones of their rank are served.
TEST(slot_queue, returned_requests_go_before_new_ones_of_their_rank)
{
    slot_queue queue({.slots = 1, .max_waiting = 3, .max_waiting_per_organisation = 3});
    const time_point now{1h};
    const auto send = [&](std::uint64_t id, std::uint32_t rank, bool is_returned) {
        return queue.enqueue({.request = {id},
                              .organisation = {1},
                              .deadline = now + 10s,
                              .rank = rank,
                              .is_returned = is_returned},
                             now);
    };
    send(1, 1, false);
    send(2, 1, false);
    send(3, 1, false);
    send(4, 0, false);
    const slot_actions displaced = send(5, 1, true);
    ASSERT_EQ(displaced.size(), 1U);
    EXPECT_EQ(std::get<refuse_request>(displaced.front()).request, request_id{3});
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; queue.running() > 0; running = order.back()) {
        const slot_actions next = queue.finished({running}, now + 1ms);
        if (next.empty())
            break;
        order.push_back(std::get<start_request>(next.front()).request.value);
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 5, 2}));
}

// Load: one organisation at a multiple of its rate, whose refused requests return. Guards against
// an organisation whose returned requests displace the new ones of all others.
TEST(slot_queue, returned_requests_may_go_first_within_their_organisation_only)
{
    slot_queue queue({.slots = 1, .returned_first_by_organisation = true});
    const time_point now{1h};
    const auto send = [&](std::uint64_t id, std::uint64_t organisation, bool is_returned) {
        queue.enqueue({.request = {id},
                       .organisation = {organisation},
                       .deadline = now + 10s,
                       .rank = 1,
                       .is_returned = is_returned},
                      now);
    };
    send(1, 1, false);
    send(2, 1, false);
    send(3, 1, true);
    send(4, 1, true);
    send(5, 2, false);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; order.size() < 4; running = order.back()) {
        const slot_actions next = queue.finished({running}, now + 1ms);
        order.push_back(std::get<start_request>(next.front()).request.value);
    }
    EXPECT_EQ(order.front(), 5U);
    EXPECT_EQ((std::vector<std::uint64_t>(order.begin() + 1, order.end())),
              (std::vector<std::uint64_t>{3, 4, 2}));
}
