#include "slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// A backend server whose requests take a given time, driven in steps of one millisecond.
struct bench_server {
    explicit bench_server(const slot_queue_options& options = {}) : queue(options) {}

    void take(const slot_actions& actions)
    {
        for (const slot_action& it : actions) {
            if (const auto* start = std::get_if<start_request>(&it)) {
                started.insert(start->request.value);
                ends[start->request.value] = now + service_time;
                const auto own = asked.find(start->request.value);
                if (own != asked.end())
                    longest_wait = std::max(longest_wait, now - own->second);
            }
            else {
                ++refused;
            }
        }
    }

    void send(std::uint64_t organisation, duration limit = 10s, bool measured = false)
    {
        const std::uint64_t id = ++requests;
        if (measured)
            asked[id] = now;
        take(queue.enqueue(
            {.request = {id}, .organisation = {organisation}, .deadline = now + limit}, now));
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
            take(queue.finished(done, now));
            it = ends.begin();
        }
        take(queue.tick(now));
    }

    slot_queue queue;
    time_point now{1h};
    duration service_time = 20ms;
    std::map<std::uint64_t, time_point> ends;
    std::map<std::uint64_t, time_point> asked;
    std::set<std::uint64_t> started;
    std::uint64_t requests = 0;
    std::size_t refused = 0;
    duration longest_wait{};
};

enum class fate { waiting, running, finished, refused, cancelled };

} // namespace

// Random traffic, cancellations, slot changes: each request has one fate, and a slot is never free
// while a request waits.
RC_GTEST_PROP(slot_queue, one_fate_each_and_work_conserving, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    slot_queue queue({.slots = 3, .max_waiting = 12, .max_waiting_for_one = 5});
    std::map<std::uint64_t, fate> fates;
    std::map<std::uint64_t, time_point> deadlines;
    time_point now{1h};
    std::uint32_t slots = 3;
    std::uint64_t last_id = 0;
    const auto take = [&](const slot_actions& actions) {
        for (const slot_action& it : actions) {
            if (const auto* start = std::get_if<start_request>(&it)) {
                RC_ASSERT(fates.at(start->request.value) == fate::waiting);
                RC_ASSERT(deadlines.at(start->request.value) > now);
                fates[start->request.value] = fate::running;
                continue;
            }
            const auto& refusal = std::get<refuse_request>(it);
            if (refusal.reason == slot_refusal::duplicate)
                continue;
            RC_ASSERT(fates.at(refusal.request.value) == fate::waiting);
            fates[refusal.request.value] = fate::refused;
        }
    };
    for (int n = 0; n < 400; ++n) {
        now += std::chrono::milliseconds(random() % 20);
        const std::uint64_t id = 1 + random() % (last_id + 1);
        const auto found = fates.find(id);
        switch (random() % 8) {
        case 0:
            slots = 1 + random() % 4;
            take(queue.set_slots(slots, now));
            break;
        case 1:
            if (found != fates.end() && found->second == fate::waiting)
                found->second = fate::cancelled;
            take(queue.cancel({id}, now));
            break;
        case 2:
        case 3:
            if (found != fates.end() && found->second == fate::running)
                found->second = fate::finished;
            take(queue.finished({id}, now));
            break;
        default:
            const bool again = found != fates.end() &&
                               (found->second == fate::waiting || found->second == fate::running);
            const std::uint64_t sent = again ? id : ++last_id;
            if (!again) {
                fates[sent] = fate::waiting;
                deadlines[sent] = now + std::chrono::milliseconds(random() % 300);
            }
            take(queue.enqueue({.request = {sent},
                                .organisation = {random() % 4},
                                .deadline = again ? now + 1s : deadlines[sent],
                                .weight = 1 + static_cast<std::uint32_t>(random() % 3)},
                               now));
        }
        const auto count = [&](fate wanted) {
            return static_cast<std::size_t>(std::count_if(
                fates.begin(), fates.end(), [&](const auto& it) { return it.second == wanted; }));
        };
        RC_ASSERT(queue.waiting() == count(fate::waiting));
        RC_ASSERT(queue.running() == count(fate::running));
        RC_ASSERT(queue.waiting() == 0U || queue.running() >= slots);
        RC_ASSERT(queue.waiting() <= 12U);
    }
}

// Capacity 200 requests/s. One organisation sends ten times its share, the others stay inside
// theirs: they wait no longer than one request of each takes.
RC_GTEST_PROP(slot_queue, flood_of_one_leaves_the_others_their_share, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    bench_server server;
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

// Long requests cost what they hold: an organisation with requests ten times as long gets a tenth
// as many.
TEST(slot_queue, share_is_slot_time_not_requests)
{
    bench_server server;
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

// Weight 3 against 1, and the first idles for the first half: idle time earns nothing, so from then
// on it gets three of four slots, no more.
TEST(slot_queue, weight_is_the_share_and_idle_time_earns_none)
{
    bench_server server;
    std::set<std::uint64_t> asked_for;
    std::size_t own = 0;
    std::size_t all = 0;
    for (int n = 0; n < 6000; ++n) {
        server.send(1);
        if (n == 5000)
            server.started.clear();
        if (n >= 5000) {
            const request_id id{++server.requests};
            asked_for.insert(id.value);
            server.take(server.queue.enqueue(
                {.request = id, .organisation = {2}, .deadline = server.now + 10s, .weight = 3},
                server.now));
        }
        server.step();
    }
    for (std::uint64_t id : server.started) {
        ++all;
        own += asked_for.contains(id) ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(own) / static_cast<double>(all), 0.75, 0.05);
}

TEST(slot_queue, refuses_at_once_what_would_miss_its_deadline)
{
    bench_server server;
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

// Four slots, 20 ms a request: one that would begin later than its target leaves room for is
// refused at once, one that a running request needs is served before all that wait.
TEST(slot_queue, refuses_at_once_what_would_be_late)
{
    bench_server server;
    for (int n = 0; n < 12; ++n) {
        server.send(1);
        for (int k = 0; k < 25; ++k)
            server.step();
    }
    const auto send = [&](std::uint32_t rank, duration target) {
        const request_id id{++server.requests};
        const std::size_t before = server.refused;
        server.take(server.queue.enqueue({.request = id,
                                          .organisation = {rank == 0 ? 9U : 1U},
                                          .deadline = server.now + 10s,
                                          .rank = rank,
                                          .late_from = server.now + target},
                                         server.now));
        return server.refused == before;
    };
    for (int n = 0; n < 4 + 20; ++n)
        ASSERT_TRUE(send(1, 1s));
    EXPECT_FALSE(send(1, 100ms));
    EXPECT_TRUE(send(1, 200ms));
    EXPECT_TRUE(send(0, 50ms));
}

TEST(slot_queue, full_queue_pushes_out_the_longest)
{
    slot_queue queue({.slots = 1, .max_waiting = 6, .max_waiting_for_one = 5});
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

// Of what waits, the highest rank goes first, and of that what can still be in time.
TEST(slot_queue, rank_goes_first_and_late_requests_last)
{
    slot_queue queue({.slots = 1});
    const time_point now{1h};
    const auto send = [&](std::uint64_t id, std::uint32_t rank, time_point late_from) {
        return queue.enqueue({.request = {id},
                              .organisation = {1},
                              .deadline = now + 10s,
                              .rank = rank,
                              .late_from = late_from},
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

TEST(slot_queue, all_that_waits_can_be_refused)
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
