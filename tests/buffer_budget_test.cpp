#include "buffer_budget.h"

#include "link_hub.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

TEST(buffer_budget, reservations_end_with_their_owners)
{
    const auto budget = std::make_shared<buffer_budget>(100);
    buffer_reservation kept;
    {
        buffer_reservation first(budget, 60);
        const buffer_reservation second(budget, 60);
        EXPECT_TRUE(second.is_empty());
        kept = std::move(first);
    }
    EXPECT_EQ(budget->left(), 40U);
    kept = buffer_reservation(budget, 40);
    EXPECT_EQ(budget->left(), 60U) << "the old part is given back";
    kept = {};
    EXPECT_EQ(budget->left(), 100U);
    EXPECT_EQ(buffer_reservation(nullptr, 7).bytes(), 7U) << "no limit";
}

// Guards against streams that get no memory and never go on, and against memory that is not given
// back when a stream ends.
TEST(buffer_budget, streams_without_a_part_of_it_go_on)
{
    constexpr std::size_t body_bytes = 1'000'000;
    for (const std::size_t bytes : {std::size_t{0}, std::size_t{300'000}}) {
        const auto budget = std::make_shared<buffer_budget>(bytes);
        const auto gate =
            link_hub::start({.self = {.vm_name = "b", .run = {1}},
                             .fleet_key = "k",
                             .buffers = budget,
                             .on_stream = [](const std::shared_ptr<link_stream>& it) {
                                 std::thread([it] {
                                     const std::string body(body_bytes, 'x');
                                     it->respond({.status = 200}, false);
                                     it->write(std::string_view(body), boot_now() + 20s);
                                     it->finish();
                                 }).detach();
                             }});
        const auto entry = link_hub::start(
            {.self = {.vm_name = "a", .run = {1}}, .fleet_key = "k", .buffers = budget});
        std::vector<std::shared_ptr<link_stream>> streams;
        streams.resize(4);
        for (auto& it : streams)
            it = entry->open(gate->local(), {.method = "GET", .path = "/"}, true);
        for (const auto& it : streams) {
            std::size_t received = 0;
            std::array<char, 4096> buf{};
            while (true) {
                const auto n = it->read(buf, boot_now() + 20s);
                if (failed(n) || value_of(n) == 0)
                    break;
                received += value_of(n);
            }
            EXPECT_EQ(received, body_bytes);
        }
        streams.clear();
        gate->stop();
        entry->stop();
        for (int n = 0; n < 400 && budget->left() < bytes; ++n)
            std::this_thread::sleep_for(5ms);
        EXPECT_EQ(budget->left(), bytes);
    }
}
