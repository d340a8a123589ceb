#include "once_request.h"
#include "once_service.h"

#include "system_clock.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr duration long_time = 20s;

// Two nodes with links between them; the first is the home of all keys.
class two_nodes {
public:
    two_nodes()
    {
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            hubs[n] = link_hub::start(
                {.self = {.vm_name = n == 0 ? "a" : "b", .run = {7}},
                 .fleet_key = "fleet key of the tests",
                 .on_control = [this, n](const control_request& it) { return answer(n, it); }});
        }
        for (std::size_t n = 0; n < nodes.size(); ++n)
            start(n, 7);
    }
    ~two_nodes()
    {
        for (auto& it : hubs)
            it->stop();
    }

    // A new run of the entry on this node, with nothing kept.
    void start(std::size_t n, std::uint64_t run)
    {
        nodes[n] = std::make_unique<once_service>(
            once_service_options{.self = {n + 1},
                                 .run = {run},
                                 .find_home = [this, n](const once_key&) { return home_for(n); },
                                 .try_timeout = 200ms,
                                 .settle_every = 50ms},
            *hubs[n]);
    }

    once_answer claim(std::size_t n, const std::string& text) { return ticket(n, text).answer; }
    once_ticket ticket(std::size_t n, const std::string& text)
    {
        return nodes[n]->claim(
            {.key = {.organisation = {1}, .text = digest_of(text)}, .fingerprint = 7},
            boot_now() + long_time);
    }
    // Waits until the home gives this answer.
    bool becomes(const std::string& text, const once_answer& wanted)
    {
        const time_point end = boot_now() + long_time;
        while (boot_now() < end) {
            nodes[1]->tick(boot_now());
            if (claim(0, text) == wanted)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    std::array<std::unique_ptr<link_hub>, 2> hubs;
    std::array<std::unique_ptr<once_service>, 2> nodes;
    std::atomic<int> lost_answers = 0; ///< answers of the home still to be lost
    std::atomic<std::uint64_t> epoch = 1;

private:
    std::optional<once_home> home_for(std::size_t n)
    {
        return once_home{.vm = {1},
                         .link = hubs[0]->local(),
                         .epoch = epoch,
                         .is_self = n == 0,
                         .until = boot_now() + long_time,
                         .since = began_};
    }
    std::optional<std::string> answer(std::size_t n, const control_request& it)
    {
        auto out = nodes[n]->answer(it.payload);
        if (lost_answers.fetch_sub(1) > 0) {
            kept_.push_back(it.defer());
            return std::nullopt;
        }
        return out;
    }

    time_point began_ = boot_now();
    std::vector<std::shared_ptr<control_reply>> kept_;
};

bool is_granted(const once_answer& it)
{
    return std::holds_alternative<once_granted>(it);
}

} // namespace

TEST(once_service, resend_gets_the_status_of_the_first_run)
{
    two_nodes it;
    const once_ticket first = it.ticket(1, "a");
    ASSERT_TRUE(is_granted(first.answer));
    it.lost_answers = 2;
    it.nodes[1]->settle(first, once_outcome::ran, 201);
    EXPECT_TRUE(it.becomes("a", once_done{201}));
}

TEST(once_service, lost_answer_costs_a_retry)
{
    two_nodes it;
    it.lost_answers = 2;
    EXPECT_TRUE(is_granted(it.claim(1, "a")));
    EXPECT_EQ(it.claim(0, "a"), once_answer(once_running{}));
}

TEST(once_service, claim_without_an_answer_is_taken_back)
{
    two_nodes it;
    it.lost_answers = 3;
    EXPECT_EQ(it.claim(1, "a"), once_answer(once_refused{once_refusal::not_home}));
    EXPECT_TRUE(it.becomes("a", once_granted{1}));
}

TEST(once_service, entry_that_dies_after_the_claim_leaves_unknown)
{
    two_nodes it;
    ASSERT_TRUE(is_granted(it.claim(1, "a")));
    it.start(1, 8);
    EXPECT_EQ(it.claim(1, "a"), once_answer(once_running{}));
    it.nodes[0]->claimers_gone({2}, {8});
    EXPECT_EQ(it.claim(1, "a"), once_answer(once_unknown{}));
}

TEST(once_service, next_mandate_refuses_what_it_cannot_prove_younger)
{
    two_nodes it;
    ASSERT_TRUE(is_granted(it.claim(1, "a")));
    it.epoch = 2;
    EXPECT_EQ(it.claim(1, "a"), once_answer(once_refused{once_refusal::home_lost}));
}

TEST(once_request, reads_the_key_and_refuses_malformed_ones)
{
    const auto identity = [](const std::vector<std::string>& keys, const std::string& body = "") {
        message_head head{.method = "POST", .path = "/x"};
        for (const std::string& it : keys)
            head.fields.push_back({.name = "idempotency-key", .value = it});
        return once_identity(head, {1}, body);
    };
    EXPECT_FALSE(value_of(identity({})));
    const auto a = value_of(identity({std::string(128, 'a')}, "x"));
    const auto b = value_of(identity({std::string(128, 'a')}, "y"));
    ASSERT_TRUE(a && b);
    EXPECT_EQ(a->key, b->key);
    EXPECT_NE(a->fingerprint, b->fingerprint);
    for (const std::vector<std::string>& keys :
         {std::vector<std::string>{""}, {std::string(129, 'a')}, {"a b"}, {"\x80"}, {"a", "a"}})
        EXPECT_TRUE(failed(identity(keys)));
}
