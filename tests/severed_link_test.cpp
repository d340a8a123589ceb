// Links whose connection goes silent for good, while new connections between the same nodes work.

#include "link_hub.h"
#include "severing_proxy.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration call_timeout = 30ms;
constexpr duration between_calls = 20ms;
constexpr duration test_timeout = 20s;

link_options options_of(const std::string& vm_name)
{
    return {.self = {.vm_name = vm_name, .run = {7}},
            .fleet_key = "fleet key of the tests",
            .ping_after = 100ms,
            .doubt_after = 100ms,
            .ping_timeout = 400ms,
            .on_control = [](const control_request& it) { return it.payload; }};
}

class severed_link : public testing::Test {
public:
    ~severed_link() override
    {
        a->stop();
        b->stop();
    }
    severed_link(const severed_link&) = delete;
    severed_link& operator=(const severed_link&) = delete;

protected:
    severed_link()
        : a(link_hub::start(options_of("a"))), b(link_hub::start(options_of("b"))),
          proxy(b->local())
    {
    }
    bool is_answered(duration timeout = call_timeout)
    {
        std::promise<bool> out;
        const bool is_sent = a->call(proxy.address(), "/control/x", "?", timeout,
                                     [&](const auto& answer) { out.set_value(!failed(answer)); });
        return is_sent && out.get_future().get();
    }

    std::unique_ptr<link_hub> a;
    std::unique_ptr<link_hub> b;
    severing_proxy proxy;
};

} // namespace

// Guards against a node that can't be reached for good: each short message ended before the silence
// was noticed, and the next one began to wait anew.
TEST_F(severed_link, is_replaced_although_no_message_waits_for_long)
{
    ASSERT_TRUE(is_answered(test_timeout));
    proxy.sever();
    ASSERT_FALSE(is_answered());
    const time_point end = boot_now() + test_timeout;
    bool answers_again = false;
    while (!answers_again && boot_now() < end) {
        std::this_thread::sleep_for(between_calls);
        answers_again = is_answered();
    }
    EXPECT_TRUE(answers_again);
    EXPECT_EQ(proxy.connections(), 2U);
}

// New requests need not wait until the silent connection is given up.
TEST_F(severed_link, takes_no_new_streams_once_a_ping_is_unanswered)
{
    ASSERT_TRUE(is_answered(test_timeout));
    proxy.sever();
    const auto stuck = a->open(proxy.address(), {.method = "POST", .path = "/x"}, true);
    std::this_thread::sleep_for(250ms);
    const auto early = stuck->read_head(boot_now());
    EXPECT_TRUE(failed(early) && error_of(early).kind == link_failure::timed_out);
    // Ends before the silent link is closed, 500 ms after the last answer: a message that was given
    // to that link is not answered in any time until then. A new link has to be opened meanwhile.
    EXPECT_TRUE(is_answered(200ms));
    const auto late = stuck->read_head(boot_now() + test_timeout);
    ASSERT_TRUE(failed(late));
    EXPECT_EQ(error_of(late).kind, link_failure::maybe_sent);
}
