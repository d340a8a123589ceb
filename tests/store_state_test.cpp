#include "memory_store.h"
#include "store_codec.h"
#include "store_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace jasminebank;
using namespace std::chrono_literals;

static const store_key_range all_keys{.key = std::string(1, '\0'), .range_end = "\xff"};

static store_txn put_txn(const std::string& key, const std::string& value, lease_id lease = {})
{
    return {.compares = {}, .puts = {{.key = key, .value = value, .lease = lease}}, .deletes = {}};
}

static store_txn arbitrary_txn()
{
    const auto key = [] { return "k" + std::to_string(*rc::gen::inRange(0, 5)); };
    store_txn out;
    if (*rc::gen::arbitrary<bool>())
        out.compares.push_back(absent(key()));
    if (*rc::gen::arbitrary<bool>())
        out.puts.push_back(
            {.key = key(), .value = *rc::gen::arbitrary<std::string>(), .lease = {}});
    if (*rc::gen::arbitrary<bool>())
        out.deletes.push_back(
            {.key = key(), .range_end = *rc::gen::element<std::string>("", "k9")});
    return out;
}

// Applies the batch to `known`, the entries that a watcher has built from events alone.
static void apply(const store_event_batch& batch, std::map<std::string, store_entry>& known)
{
    for (const store_event& it : batch.events) {
        known.erase(it.entry.key);
        if (!it.deleted)
            known.emplace(it.entry.key, it.entry);
    }
}

RC_GTEST_PROP(store_state, history_reproduces_the_state_of_every_revision, ())
{
    store_state state;
    std::map<store_revision, std::vector<store_entry>> snapshots{{1, {}}};
    for (int i = *rc::gen::inRange(1, 40); i > 0; --i) {
        state.commit(arbitrary_txn());
        snapshots[state.revision()] = state.range(all_keys).entries;
    }
    for (const auto& [revision, entries] : snapshots) {
        const store_range then = state.range_before(all_keys, state.revision() - revision);
        RC_ASSERT(then.revision == revision);
        RC_ASSERT(then.entries == entries);
    }
    std::map<std::string, store_entry> known;
    for (store_revision next = 1; next <= state.revision();) {
        const store_event_batch batch = state.history(all_keys, next, 1).batch;
        RC_ASSERT(batch.revision >= next);
        apply(batch, known);
        next = batch.revision + 1;
        RC_ASSERT(known.size() == snapshots[batch.revision].size());
    }
    for (const store_entry& it : state.range(all_keys).entries)
        RC_ASSERT(known.at(it.key) == it);
}

TEST(store_state, failed_comparison_changes_nothing_and_returns_the_compared_keys)
{
    store_state state;
    const auto first = value_of(state.commit(put_txn("a", "1")));
    store_txn second = put_txn("a", "2");
    second.compares = {unchanged_since("a", first.revision), absent("b")};
    EXPECT_TRUE(value_of(state.commit(second)).succeeded);
    const auto repeated = value_of(state.commit(second));
    EXPECT_FALSE(repeated.succeeded);
    ASSERT_EQ(repeated.found.size(), 1U);
    EXPECT_EQ(repeated.found[0].value, "2");
    EXPECT_EQ(state.revision(), first.revision + 1);
}

TEST(store_state, expired_lease_deletes_its_keys_in_one_revision)
{
    store_state state;
    const time_point start{};
    const lease_id lease = state.grant_lease(1500ms, start).lease;
    state.commit(put_txn("a", "1", lease));
    state.commit(put_txn("b", "1", lease));
    state.commit(put_txn("b", "2")); // detaches the key from the lease
    state.commit(put_txn("c", "1", lease));
    ASSERT_FALSE(failed(state.keep_lease_alive(lease, start + 1s)));
    state.step(start + 3s - 1ns);
    EXPECT_EQ(state.range(all_keys).entries.size(), 3U);
    const store_revision before = state.revision();
    state.step(start + 3s);
    EXPECT_EQ(state.range(all_keys).entries.size(), 1U);
    EXPECT_EQ(state.revision(), before + 1);
    EXPECT_EQ(error_of(state.keep_lease_alive(lease, start + 3s)).kind,
              store_error_kind::lease_lost);
    EXPECT_EQ(error_of(state.commit(put_txn("a", "2", lease))).kind, store_error_kind::lease_lost);
    EXPECT_EQ(state.revision(), before + 1);
}

TEST(store_state, history_is_bounded_and_reports_the_compacted_revision)
{
    store_state state({.max_history_events = 10});
    for (int i = 0; i < 100; ++i)
        state.commit(put_txn("a", std::to_string(i)));
    const store_history compacted = state.history(all_keys, 5, 1000);
    EXPECT_EQ(compacted.compact_revision, state.revision() - 10);
    EXPECT_TRUE(compacted.batch.events.empty());
    const auto kept = state.history(all_keys, compacted.compact_revision + 1, 1000).batch.events;
    EXPECT_EQ(kept.size(), 10U);
}

TEST(store_state, refuses_ambiguous_and_oversized_transactions)
{
    store_state state({.max_value_bytes = 4, .max_txn_operations = 2});
    store_txn twice = put_txn("a", "1");
    twice.puts.push_back(twice.puts[0]);
    store_txn put_and_delete = put_txn("a", "1");
    put_and_delete.deletes = {prefix_range("a")};
    store_txn many;
    for (const char* key : {"a", "b", "c"})
        many.puts.push_back({.key = key, .value = {}, .lease = {}});
    for (const store_txn& it :
         {twice, put_and_delete, many, put_txn("a", "12345"), put_txn("", "")})
        EXPECT_EQ(error_of(state.commit(it)).kind, store_error_kind::refused);
    EXPECT_EQ(state.revision(), 1);
}

TEST(memory_store, configured_faults_fail_the_calls)
{
    memory_store store;
    const lease_id lease = value_of(store.grant_lease(1s)).lease;
    ASSERT_FALSE(failed(store.commit(put_txn("a", "1", lease))));
    store.set_faults({.down = outage::refuse});
    EXPECT_EQ(error_of(store.commit(put_txn("a", "2"))).kind, store_error_kind::unreachable);
    store.set_faults({.down = outage::hang});
    EXPECT_EQ(error_of(store.commit(put_txn("a", "2"))).kind, store_error_kind::outcome_unknown);
    EXPECT_EQ(error_of(store.range(all_keys)).kind, store_error_kind::timed_out);
    store.set_faults({.lose_answers = 1});
    EXPECT_EQ(error_of(store.commit(put_txn("b", "1"))).kind, store_error_kind::outcome_unknown);
    EXPECT_EQ(value_of(store.range(all_keys)).entries.size(), 2U);
    store.set_faults({.stale_revisions = 1});
    EXPECT_EQ(value_of(store.range(all_keys)).entries.size(), 1U);
    store.set_faults({.writes_per_second = 10});
    store.advance(1s);
    EXPECT_EQ(store.state().range(all_keys).entries.size(), 1U);
    EXPECT_FALSE(failed(store.grant_lease(1s)));
    EXPECT_EQ(error_of(store.grant_lease(1s)).kind, store_error_kind::overloaded);
}

RC_GTEST_PROP(store_codec, arbitrary_bytes_survive_a_round_trip, (const std::string& value))
{
    const std::string key = "k" + value;
    const store_entry entry{.key = key,
                            .value = value,
                            .create_revision = 3,
                            .mod_revision = std::int64_t{1} << 60,
                            .version = 2,
                            .lease = lease_id{7}};
    const auto range = decode_range(encode_range({.revision = 9, .entries = {entry}}));
    RC_ASSERT(range.has_value());
    RC_ASSERT(range->revision == 9);
    RC_ASSERT(range->entries == std::vector{entry});
    const store_txn txn{
        .compares = {unchanged_since(key, 5),
                     absent("b"),
                     {.key = "c", .target = compare_target::value, .expected_value = value}},
        .puts = {{.key = key, .value = value, .lease = lease_id{7}}},
        .deletes = {prefix_range("d")}};
    const auto round_trip = decode_txn_request(encode_txn_request(txn));
    RC_ASSERT(round_trip.has_value());
    RC_ASSERT(encode_txn_request(*round_trip) == encode_txn_request(txn));
}

// Truncated and corrupted messages are decoded or rejected, without a crash.
RC_GTEST_PROP(store_codec, decoders_do_not_crash_on_damaged_text, ())
{
    const store_entry entry{.key = "k", .value = "v", .mod_revision = 4, .version = 1, .lease = {}};
    const store_event_batch batch{.revision = 4, .events = {{.deleted = false, .entry = entry}}};
    const std::string intact = *rc::gen::element(
        encode_range({.revision = 4, .entries = {entry}}), encode_watch_message({.batch = batch}),
        encode_keepalive_response({.lease = lease_id{1}, .ttl = 5s}, 4));
    std::string text = intact.substr(0, *rc::gen::inRange<std::size_t>(0, intact.size() + 1));
    for (int i = *rc::gen::inRange(0, 4); i > 0 && !text.empty(); --i)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    decode_range(text);
    decode_commit(text);
    decode_lease(text);
    decode_keepalive_response(text);
    decode_watch_message(text);
    decode_txn_request(text);
    decode_watch_request(text);
    decode_refusal(text);
}

TEST(store_codec, rejects_malformed_range_answers)
{
    const std::string deep(1'000'000, '[');
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("{}"), std::string("[1]"), deep,
          std::string(R"({"header":{"revision":"x"}})"), std::string(R"({"header":7})"),
          std::string(R"({"header":{"revision":"2"},"kvs":[{"key":"*"}]})"),
          std::string(R"({"header":{"revision":"2"},"kvs":[3]})")})
        EXPECT_FALSE(decode_range(text).has_value()) << text.substr(0, 50);
}
