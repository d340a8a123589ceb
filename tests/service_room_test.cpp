#include "service_room.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
const service_id service{7};
const organisation_id organisation{8};

std::vector<backend_server_id> servers(std::uint64_t count)
{
    std::vector<backend_server_id> out;
    for (std::uint64_t n = 1; n <= count; ++n)
        out.push_back({n});
    return out;
}

// A request with a target latency of 400 ms that takes 100 ms.
room_request request(duration time_left = 3s)
{
    return {.service = service,
            .organisation = organisation,
            .rank = 1,
            .start = start,
            .deadline = start + time_left,
            .target = 400ms,
            .expected_service = 100ms};
}

service_room room_with_wait(std::uint64_t gates, duration wait)
{
    service_room out({.send_one_in = 1'000'000});
    for (const backend_server_id it : servers(gates))
        out.reported(it, request(), wait, start);
    return out;
}

} // namespace

// Load: a burst of 1.7 times the usual one, all gates of the service with long queues. Guards
// against requests that search over all gates only to be refused late.
TEST(service_room, refuses_when_all_gates_say_that_it_cannot_start_in_time)
{
    service_room room = room_with_wait(6, 2s);
    const auto refused = room.refuse_on_arrival(request(), servers(6), 3, start);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->cause, room_cause::target);
    EXPECT_GT(refused->retry_after, 0ms);
    EXPECT_LE(refused->retry_after, 1s);
}

// Load: a third of the servers hang with full slots. Guards against refusing what one gate with
// room, or too few reports, show to be servable.
TEST(service_room, sends_when_one_gate_has_room_or_too_few_have_reported)
{
    service_room room = room_with_wait(6, 2s);
    room.reported({3}, request(), 200ms, start);
    EXPECT_FALSE(room.refuse_on_arrival(request(), servers(6), 3, start));
    service_room sparse = room_with_wait(4, 2s);
    EXPECT_FALSE(sparse.refuse_on_arrival(request(), servers(6), 3, start));
    EXPECT_TRUE(sparse.refuse_on_arrival(request(), servers(4), 3, start));
}

// Guards against refusing by reports that are out of date, of ranks that are served
// later, or of an organisation that fills the queues by itself.
TEST(service_room, old_reports_and_those_of_later_ranks_do_not_count)
{
    service_room room = room_with_wait(6, 10s);
    EXPECT_FALSE(room.refuse_on_arrival(request(), servers(6), 3, start + 500ms));
    room_request first = request();
    first.rank = 0;
    EXPECT_FALSE(room.refuse_on_arrival(first, servers(6), 3, start));
    room_request other = request();
    other.organisation = {9};
    EXPECT_FALSE(room.refuse_on_arrival(other, servers(6), 3, start));
    room_request later = request();
    later.rank = 2;
    EXPECT_TRUE(room.refuse_on_arrival(later, servers(6), 3, start));
}

// Guards against a service that stays refused because nobody tries it, and against refusing a
// request that returns while new ones are sent.
TEST(service_room, some_requests_are_sent_and_returned_ones_before_new_ones)
{
    service_room room({.send_one_in = 4});
    for (const backend_server_id it : servers(6))
        room.reported(it, request(), 2s, start);
    int sent = 0;
    for (int n = 0; n < 40; ++n)
        sent += room.refuse_on_arrival(request(), servers(6), 3, start) ? 0 : 1;
    EXPECT_EQ(sent, 10);
    room_request returned = request();
    returned.is_returned = true;
    EXPECT_FALSE(room.refuse_on_arrival(returned, servers(6), 3, start));
    for (const backend_server_id it : servers(6))
        room.reported(it, returned, 2s, start);
    EXPECT_TRUE(room.refuse_on_arrival(returned, servers(6), 3, start));
    for (int n = 0; n < 20; ++n)
        EXPECT_TRUE(room.refuse_on_arrival(request(), servers(6), 3, start));
}

// Guards against a Retry-After that callers do not honour, and against refusing what can start in
// time at any of the gates.
RC_GTEST_PROP(service_room, refuses_only_what_cannot_start_in_time,
              (std::uint16_t wait_ms, std::uint16_t left_ms, std::uint16_t age_ms,
               std::uint64_t random))
{
    service_room room = room_with_wait(6, std::chrono::milliseconds(wait_ms));
    const room_request it = request(std::chrono::milliseconds(left_ms));
    const time_point now = start + std::chrono::milliseconds(age_ms % 500);
    const auto refused = room.refuse_on_arrival(it, servers(6), random, now);
    if (!refused)
        return;
    RC_ASSERT(now + std::chrono::milliseconds(wait_ms) > useful_start_of(it, now).latest);
    const duration left = it.deadline - now;
    if (left > 500ms)
        RC_ASSERT(refused->retry_after < left / 3);
}
