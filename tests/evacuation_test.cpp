// The load addressed: requests that go on to a failure domain that the operators empty, because a
// node has an older set of evacuated domains than the store, or takes an older set for the newest.

#include "evacuation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

using namespace jasminebank;

namespace {

using names = std::vector<std::string>;

evacuation_read read_at(std::uint64_t era, std::uint64_t revision, names domains,
                        bool is_settled = true)
{
    return {.stamp = {era, revision}, .domains = std::move(domains), .is_settled = is_settled};
}

// Sends sets in both directions until nothing changes any more, as heartbeats do.
template <class Records>
void exchange_all(Records& records)
{
    for (std::size_t n = 0; n < 2 * records.size() * records.size() * records.size(); ++n) {
        const evacuation_state sent = records.at(n % records.size()).state();
        records.at(n / records.size() % records.size()).merge(sent);
    }
}

} // namespace

// Guards against a late response of the store that ends an evacuation, or starts one again.
TEST(evacuation, late_reads_change_nothing)
{
    evacuation_record it;
    EXPECT_TRUE(it.read(read_at(1, 10, {"west", "east"})));
    EXPECT_EQ(it.state().domains, (names{"east", "west"}));
    EXPECT_FALSE(it.read(read_at(1, 20, {"east", "west"})));
    EXPECT_EQ(it.state().stamp.revision, 10U) << "the set is known, so nothing is sent";
    EXPECT_FALSE(it.read(read_at(1, 15, {}))) << "older than the last read of the set";
    EXPECT_TRUE(it.read(read_at(1, 21, {})));
    EXPECT_FALSE(it.read(read_at(1, 20, {"east"})));
}

// Guards against the end of a first evacuation that cancels a second one of the same domain: one
// reader saw the time between them, the other did not.
TEST(evacuation, two_consecutive_evacuations_of_one_domain)
{
    std::array<evacuation_record, 3> nodes;
    nodes[0].read(read_at(1, 21, {"east"}));
    nodes[2].merge(nodes[0].state());
    nodes[0].read(read_at(1, 45, {"east"}));
    nodes[1].read(read_at(1, 35, {}));
    exchange_all(nodes);
    for (const evacuation_record& it : nodes)
        EXPECT_EQ(it.state(), (evacuation_state{.stamp = {1, 45}, .domains = {"east"}}));
}

// Guards against an evacuation that ends because the store came back from an older copy, and
// against one that never ends because the store counts its revisions from a lower one again.
TEST(evacuation, restored_store_adds_at_once_and_removes_when_settled)
{
    std::array<evacuation_record, 2> nodes;
    for (evacuation_record& it : nodes)
        it.read(read_at(1, 50, {"east"}));
    EXPECT_FALSE(nodes[0].read(read_at(2, 20, {}, false)));
    EXPECT_TRUE(nodes[0].read(read_at(2, 21, {"west"}, false)));
    exchange_all(nodes);
    for (const evacuation_record& it : nodes)
        EXPECT_EQ(it.state().domains, (names{"east", "west"}));
    EXPECT_TRUE(nodes[0].read(read_at(2, 21, {"west"})));
    exchange_all(nodes);
    for (const evacuation_record& it : nodes)
        EXPECT_EQ(it.state(), (evacuation_state{.stamp = {2, 21}, .domains = {"west"}}));
    EXPECT_TRUE(nodes[1].read(read_at(2, 22, {}, false))) << "the era is known to be settled";
    EXPECT_FALSE(nodes[1].read(read_at(1, 60, {"east"}))) << "a response of the era before";
}

// Guards against nodes that keep different sets for good. A store is written, restored and read by
// some nodes, late and in any order, while others only hear of it.
RC_GTEST_PROP(evacuation, all_nodes_end_with_the_set_of_the_store, ())
{
    constexpr std::size_t readers = 3;
    std::array<evacuation_record, 5> nodes;
    evacuation_read stored = read_at(1, 5, {});
    std::vector<evacuation_read> late{stored};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<std::uint32_t>()));
    for (const auto& [kind, random] : steps) {
        const std::size_t node = random % nodes.size();
        stored.is_settled = random % 3 != 0;
        if (kind == 0)
            stored = read_at(stored.stamp.era, stored.stamp.revision + 1,
                             random % 4 == 0 ? names{} : names{random % 2 == 0 ? "a" : "b", "c"});
        else if (kind == 1)
            late.push_back(stored);
        else if (kind == 2)
            nodes.at(node % readers).read(late.at(random % late.size()));
        else if (kind == 3 && random % 8 == 0)
            stored = read_at(stored.stamp.era + 1, 5, {});
        else if (kind == 4)
            nodes.at(node % readers).read(stored);
        else
            nodes.at(node).merge(nodes.at(random / 8 % nodes.size()).state());
    }
    stored.is_settled = true;
    for (int n = 0; n < 2; ++n) {
        for (std::size_t reader = 0; reader < readers; ++reader)
            nodes.at(reader).read(stored);
        exchange_all(nodes);
    }
    for (const evacuation_record& it : nodes)
        RC_ASSERT(it.state().domains == stored.domains);
}

// Guards against a datagram that is too large to be sent because of what somebody wrote into the
// store, against an evacuation that is lost among wrong names, and against a flooded log.
TEST(evacuation, wrong_names_are_refused_and_warned_of_once)
{
    names wrong{"", "a b", "say\"so", std::string(65, 'a'), "line\nbreak", "east", "zulu"};
    const checked_names few = check_domain_names(wrong, {});
    EXPECT_EQ(few.accepted, (names{"east", "zulu"}));
    EXPECT_EQ(few.refused.size(), 5U);
    for (int n = 0; n < 100; ++n)
        wrong.push_back("a" + std::to_string(n));
    const checked_names many = check_domain_names(wrong, {id_of<failure_domain_id>("zulu")});
    EXPECT_EQ(many.accepted.size(), max_evacuated_domains);
    EXPECT_EQ(many.accepted.back(), "zulu");
    name_warnings it;
    EXPECT_EQ(it.take_new({"y", "x"}), (names{"x", "y"}));
    EXPECT_EQ(it.take_new({"x", "z"}), (names{"z"}));
    EXPECT_EQ(it.take_new({"y"}), (names{"y"})) << "written again after its removal";
}
