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

constexpr duration test_timeout = 20s;

// Two nodes with links between them; the first is the coordinator of all keys.
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

    // Starts a new incarnation of the service on this node, without any state of an earlier one.
    void start(std::size_t n, std::uint64_t run)
    {
        nodes[n] = std::make_unique<idempotency_service>(
            idempotency_service_options{
                .self = {n + 1},
                .run = {run},
                .find_coordinator = [this,
                                     n](const idempotency_key&) { return coordinator_for(n); },
                .try_timeout = 200ms,
                .completion_resend_interval = 50ms},
            *hubs[n]);
    }

    claim_answer claim(std::size_t n, const std::string& text)
    {
        return claim_with_result(n, text).answer;
    }
    claim_result claim_with_result(std::size_t n, const std::string& text)
    {
        return nodes[n]->claim(
            {.key = {.organisation = {1}, .text = digest_of(text)}, .fingerprint = 7},
            boot_now() + test_timeout);
    }
    // Claims the key at the coordinator until it returns this answer. False on timeout.
    bool answer_becomes(const std::string& text, const claim_answer& wanted)
    {
        const time_point end = boot_now() + test_timeout;
        while (boot_now() < end) {
            nodes[1]->tick(boot_now());
            if (claim(0, text) == wanted)
                return true;
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    std::array<std::unique_ptr<link_hub>, 2> hubs;
    std::array<std::unique_ptr<idempotency_service>, 2> nodes;
    std::atomic<int> answers_to_lose = 0; ///< number of further answers of the coordinator to drop
    std::atomic<std::uint64_t> epoch = 1;

private:
    std::optional<key_coordinator> coordinator_for(std::size_t n)
    {
        return key_coordinator{.vm = {1},
                               .link = hubs[0]->local(),
                               .epoch = epoch,
                               .is_self = n == 0,
                               .lease_until = boot_now() + test_timeout,
                               .lease_began = began_};
    }
    std::optional<std::string> answer(std::size_t n, const control_request& it)
    {
        auto out = nodes[n]->handle_message(it.payload);
        if (answers_to_lose.fetch_sub(1) > 0) {
            unanswered_.push_back(it.defer());
            return std::nullopt;
        }
        return out;
    }

    time_point began_ = boot_now();
    std::vector<std::shared_ptr<control_reply>> unanswered_;
};

bool is_granted(const claim_answer& it)
{
    return std::holds_alternative<claim_granted>(it);
}

} // namespace

TEST(once_service, resend_gets_the_status_of_the_first_run)
{
    two_nodes it;
    const claim_result first = it.claim_with_result(1, "a");
    ASSERT_TRUE(is_granted(first.answer));
    it.answers_to_lose = 2;
    it.nodes[1]->report_outcome(first, claim_outcome::ran, 201);
    EXPECT_TRUE(it.answer_becomes("a", claim_executed{201}));
}

TEST(once_service, claim_is_granted_after_two_lost_answers)
{
    two_nodes it;
    it.answers_to_lose = 2;
    EXPECT_TRUE(is_granted(it.claim(1, "a")));
    EXPECT_EQ(it.claim(0, "a"), claim_answer(claim_in_progress{}));
}

TEST(once_service, claim_without_an_answer_is_withdrawn)
{
    two_nodes it;
    it.answers_to_lose = 3;
    EXPECT_EQ(it.claim(1, "a"), claim_answer(claim_refused{claim_refusal::not_coordinator}));
    EXPECT_TRUE(it.answer_becomes("a", claim_granted{1}));
}

TEST(once_service, entry_crash_after_the_claim_leaves_the_outcome_unknown)
{
    two_nodes it;
    ASSERT_TRUE(is_granted(it.claim(1, "a")));
    it.start(1, 8);
    EXPECT_EQ(it.claim(1, "a"), claim_answer(claim_in_progress{}));
    it.nodes[0]->mark_claims_unknown({2}, {8});
    EXPECT_EQ(it.claim(1, "a"), claim_answer(claim_outcome_unknown{}));
}

TEST(once_service, next_lease_refuses_a_key_of_unknown_age)
{
    two_nodes it;
    ASSERT_TRUE(is_granted(it.claim(1, "a")));
    it.epoch = 2;
    EXPECT_EQ(it.claim(1, "a"),
              claim_answer(claim_refused{claim_refusal::predecessor_may_have_granted}));
}

TEST(once_request, reads_the_key_and_refuses_malformed_ones)
{
    const auto identity = [](const std::vector<std::string>& keys, const std::string& body = "") {
        message_head head{.method = "POST", .path = "/x"};
        for (const std::string& it : keys)
            head.fields.push_back({.name = "idempotency-key", .value = it});
        return read_keyed_request(head, {1}, body);
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
