#include "limit_entry.h"
#include "limit_holder.h"

#include <gtest/gtest.h>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr limit_peer entry_peer{.vm = {9}, .run = {1}};
constexpr vm_id holder_vm{1};
constexpr organisation_id lids = id_of<organisation_id>("lids");
constexpr time_point start{1000s};

limit_holder holder_with_full_bucket(time_point until)
{
    limit_holder it({.self = holder_vm}, start - 10s);
    const rate_contract contract = make_contract(lids, 100, 100);
    it.set_contracts({&contract, 1}, start - 10s);
    it.set_terms({.share = whole_share, .until = until}, start - 10s);
    return it;
}

grant request_grant(limit_holder& it, const grant_request& request, time_point now)
{
    limit_outbox out;
    it.receive(entry_peer, request, now, out);
    return out.empty() ? grant{} : std::get<grant>(out.front().body);
}

} // namespace

TEST(limit_holder, grant_expires_before_the_lease_despite_clock_drift)
{
    limit_holder it = holder_with_full_bucket(start + 200ms);
    const grant_request request{
        .number = 1, .organisation = lids, .need = 1, .prefetch = 4, .lifetime = 500ms};
    const grant given = request_grant(it, request, start);
    EXPECT_EQ(given.tokens, 5U);
    EXPECT_LT(given.lifetime + given.lifetime / 256, 200ms);
    const grant late =
        request_grant(it, {.number = 2, .organisation = lids, .need = 1}, start + 200ms);
    EXPECT_EQ(late.status, grant_status::not_holder);
}

TEST(limit_holder, repeated_messages_are_ignored)
{
    limit_holder it = holder_with_full_bucket(start + 1h);
    const grant_request request{.number = 1, .organisation = lids, .need = 10, .lifetime = 500ms};
    EXPECT_EQ(request_grant(it, request, start).tokens, 10U);
    EXPECT_EQ(request_grant(it, request, start).tokens, 0U);
    EXPECT_EQ(it.spendable(lids, start), 90 * one_token);
    it.receive(entry_peer, grant_return{.number = 1, .organisation = lids, .spent = 4}, start);
    it.receive(entry_peer, grant_return{.number = 1, .organisation = lids, .spent = 4}, start);
    EXPECT_EQ(it.spendable(lids, start), 96 * one_token);
}

// The lifetime of a loan is counted from its request; a loan that arrives after it is dropped.
TEST(limit_holder, loan_received_after_its_lifetime_is_dropped)
{
    for (const duration delay : {99ms, 100ms}) {
        limit_holder it({.self = holder_vm, .domains = 2}, start);
        const rate_contract contract = make_contract(lids, 1, 100);
        it.set_contracts({&contract, 1}, start);
        it.set_terms({.share = whole_share, .until = start + 1h}, start);
        it.set_lenders(std::array{vm_id{2}});
        limit_outbox out;
        it.receive(
            entry_peer,
            grant_request{.number = 1, .organisation = lids, .need = 5, .holder_wait = 500ms},
            start, out);
        const auto request = std::get<loan_request>(out.at(0).body);
        const loan answer{.number = request.number,
                          .organisation = lids,
                          .amount = request.wanted,
                          .lifetime = request.lifetime};
        it.receive({.vm = {2}, .run = {1}}, answer, start + delay, out);
        EXPECT_EQ(it.spendable(lids, start + delay) > one_token, delay < request.lifetime);
    }
}

// The clock of the receiver may run faster or slower than that of the holder by the drift margin.
TEST(limit_holder, drift_margin_covers_clock_drift)
{
    for (const duration lifetime : {1ms, 60ms, 500ms, 10'000ms}) {
        EXPECT_GE(with_drift_margin(lifetime), lifetime + lifetime / 256);
        EXPECT_LE(with_drift_margin(max_lifetime_within(lifetime)), lifetime);
    }
}

// After an answer without tokens, the entry node refuses requests without messages until
// retry_after has passed.
TEST(limit_entry, refuses_locally_until_retry_after_has_passed)
{
    limit_entry it({.shards = 1});
    it.set_holders(0, std::array{holder_vm});
    limit_outbox out;
    limit_outcomes ended;
    EXPECT_TRUE(
        std::holds_alternative<limit_waiting>(it.admit(make_contract(lids, 1, 1), start, out)));
    const auto request = std::get<grant_request>(out.at(0).body);
    const grant empty{
        .number = request.number, .status = grant_status::empty, .retry_after = 300ms};
    it.receive({.vm = holder_vm, .run = {1}}, empty, start + 1ms, out, ended);
    EXPECT_EQ(std::get<limit_refused>(ended.at(0).verdict).retry_after, 300ms);
    out.clear();
    const auto verdict = it.admit(make_contract(lids, 1, 1), start + 100ms, out);
    EXPECT_EQ(std::get<limit_refused>(verdict).retry_after, 201ms);
    EXPECT_TRUE(out.empty());
}

// The lifetime of a grant is counted from its request, and its end is checked for each caller.
TEST(limit_entry, does_not_spend_an_expired_grant)
{
    for (const duration delay : {duration(300ms) - 1ns, duration(300ms)}) {
        limit_entry it({.shards = 1});
        it.set_holders(0, std::array{holder_vm});
        limit_outbox out;
        limit_outcomes ended;
        const rate_contract contract = make_contract(lids, 100, 100);
        for (int n = 0; n < 8; ++n)
            it.admit(contract, start, out);
        std::uint32_t prefetch = 0;
        for (const limit_outgoing& sent : limit_outbox(out)) {
            const auto request = std::get<grant_request>(sent.body);
            prefetch += request.prefetch;
            const grant given{.number = request.number,
                              .tokens = request.need + request.prefetch,
                              .lifetime = 300ms};
            it.receive({.vm = holder_vm, .run = {1}}, given, start + 1ms, out, ended);
        }
        ASSERT_GT(prefetch, 2U);
        ASSERT_EQ(ended.size(), 8U);
        const auto verdict = it.admit(contract, start + delay, out);
        EXPECT_EQ(std::holds_alternative<limit_admitted>(verdict), delay < 300ms);
    }
}

// A holder that doesn't answer delays a request by the timeout once; then the holder of the next
// domain is used.
TEST(limit_entry, requests_from_the_next_holder_after_a_timeout)
{
    limit_entry it({.shards = 1});
    it.set_holders(0, std::array{holder_vm, vm_id{2}});
    limit_outbox out;
    limit_outcomes ended;
    it.admit(make_contract(lids, 1, 1), start, out);
    it.tick(start + 34ms, out, ended);
    ASSERT_EQ(out.size(), 2U);
    EXPECT_EQ(out.at(1).to, vm_id{2});
    it.admit(make_contract(lids, 1, 1), start + 40ms, out);
    EXPECT_EQ(out.back().to, vm_id{2});
    it.tick(start + 100ms, out, ended);
    EXPECT_EQ(ended.size(), 2U);
}

// The node uses the report to send messages to the holder over another path.
TEST(limit_entry, reports_unresponsive_holders_once)
{
    limit_entry it({.shards = 1});
    it.set_holders(0, std::array{holder_vm});
    limit_outbox out;
    limit_outcomes ended;
    it.admit(make_contract(lids, 1, 1), start, out);
    it.tick(start + 33ms, out, ended);
    EXPECT_TRUE(it.take_unresponsive_holders().empty());
    it.tick(start + 34ms, out, ended);
    EXPECT_EQ(it.take_unresponsive_holders(), std::vector{holder_vm});
    EXPECT_TRUE(it.take_unresponsive_holders().empty());
    // The token for the waiting caller is requested once more.
    EXPECT_EQ(out.size(), 2U);
}

// Guards against an exception, which ends the process, when an organisation without a holder was
// removed from the full table and the node then looks for its deadlines.
TEST(limit_entry, organisation_whose_caller_was_refused_may_be_removed)
{
    limit_entry it({.shards = 1, .max_organisations = 1});
    limit_outbox out;
    limit_outcomes ended;
    const auto first = it.admit(make_contract(lids, 1, 1), start, out);
    EXPECT_TRUE(std::get<limit_refused>(first).no_holder);
    const auto second = it.admit(make_contract({lids.value + 1}, 1, 1), start, out);
    EXPECT_TRUE(std::get<limit_refused>(second).no_holder) << "the first one has been removed";
    EXPECT_EQ(it.next_deadline(), time_point::max());
    it.tick(start + 1s, out, ended);
    EXPECT_TRUE(ended.empty());
}
