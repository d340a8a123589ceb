#include "fake_store.h"
#include "store_client.h"
#include "store_watch.h"
#include "system_clock.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

static store_txn put_txn(const std::string& key, const std::string& value, lease_id lease = {})
{
    return {.compares = {}, .puts = {{.key = key, .value = value, .lease = lease}}, .deletes = {}};
}

static store_client_options options_for(const endpoint& at)
{
    return {.endpoints = {at}, .timeout = 5s};
}

// Waits until `holds` returns true, for at most ten seconds; returns its last result.
template <class Condition>
static bool eventually(Condition holds)
{
    const time_point end = boot_now() + 10s;
    while (!holds() && boot_now() < end)
        std::this_thread::sleep_for(5ms);
    return holds();
}

struct store_client_fixture : testing::Test {
    fake_store store;
    store_client_fixture() { EXPECT_TRUE(store.start()); }
    store_client client() const { return store_client(options_for(store.address())); }
};

using store_client_test = store_client_fixture;

TEST_F(store_client_test, value_of_one_mebibyte_of_arbitrary_bytes_is_read_back_unchanged)
{
    store_client it = client();
    std::string value(std::size_t{1} << 20, '\0');
    for (std::size_t i = 0; i < value.size(); ++i)
        value[i] = static_cast<char>(i * 31);
    const auto commit = it.commit(put_txn("a", value));
    ASSERT_FALSE(failed(commit));
    EXPECT_TRUE(value_of(commit).succeeded);
    const auto range = it.range("a");
    ASSERT_FALSE(failed(range));
    EXPECT_EQ(value_of(range).revision, value_of(commit).revision);
    ASSERT_EQ(value_of(range).entries.size(), 1U);
    EXPECT_EQ(value_of(range).entries[0].value, value);
    value += '+';
    EXPECT_EQ(error_of(it.commit(put_txn("a", value))).kind, store_error_kind::refused);
}

// Increments "count" and writes the key `change` in the same transaction. If the answer is lost,
// the presence of that key shows whether the transaction was applied.
static bool add_one(store_client& it, const std::string& change)
{
    const auto now = it.range("count");
    if (failed(now))
        return false;
    store_txn txn = put_txn(change, "done");
    const bool exists = !value_of(now).entries.empty();
    const store_entry count =
        exists ? value_of(now).entries[0] : store_entry{.value = "0", .lease = {}};
    txn.puts.push_back(
        {.key = "count", .value = std::to_string(std::stoi(count.value) + 1), .lease = {}});
    txn.compares = {unchanged_since("count", count.mod_revision), absent(change)};
    const auto commit = it.commit(txn);
    if (!failed(commit))
        return value_of(commit).succeeded;
    EXPECT_EQ(error_of(commit).kind, store_error_kind::outcome_unknown);
    const auto again = it.range(change);
    return !failed(again) && !value_of(again).entries.empty();
}

TEST_F(store_client_test, concurrent_transactions_lose_no_update_when_answers_are_lost)
{
    constexpr int changes = 50;
    const auto work = [&](const std::string& name) {
        store_client it = client();
        for (int i = 0; i < changes; ++i) {
            if (i % 10 == 0)
                store.set_faults({.lose_answers = 3});
            while (!add_one(it, name + std::to_string(i)))
                std::this_thread::yield();
        }
    };
    std::thread first(work, "first/");
    std::thread second(work, "second/");
    first.join();
    second.join();
    store_client it = client();
    EXPECT_EQ(value_of(it.range("count")).entries.at(0).value, std::to_string(2 * changes));
    EXPECT_GT(store.calls().lost, 0U);
}

TEST_F(store_client_test, commit_with_a_lost_answer_is_outcome_unknown_and_not_resent)
{
    const endpoint at = store.address();
    store_client it({.endpoints = {at, at}, .timeout = 5s});
    ASSERT_FALSE(failed(it.commit(put_txn("a", "1")))); // leaves a pooled connection open
    store.set_faults({.lose_answers = 1});
    EXPECT_EQ(error_of(it.commit(put_txn("a", "2"))).kind, store_error_kind::outcome_unknown);
    EXPECT_EQ(store.calls().txn, 2U);
    EXPECT_EQ(value_of(it.range("a")).entries.at(0).value, "2");
}

TEST_F(store_client_test, hanging_store_times_out_reads_and_leaves_commits_unknown)
{
    store_client it({.endpoints = {store.address()}, .timeout = 100ms});
    store.set_faults({.down = outage::hang});
    EXPECT_EQ(error_of(it.range("a")).kind, store_error_kind::timed_out);
    EXPECT_EQ(error_of(it.commit(put_txn("a", "1"))).kind, store_error_kind::outcome_unknown);
    store.set_faults({.slow = 10s});
    EXPECT_EQ(error_of(it.range("a")).kind, store_error_kind::timed_out);
}

TEST_F(store_client_test, stopped_store_is_unreachable_and_calls_use_the_next_endpoint)
{
    fake_store stopped_store;
    ASSERT_TRUE(stopped_store.start());
    store_client one(options_for(stopped_store.address()));
    stopped_store.stop();
    EXPECT_EQ(error_of(one.commit(put_txn("a", "1"))).kind, store_error_kind::unreachable);
    EXPECT_EQ(error_of(one.range("a")).kind, store_error_kind::unreachable);
    store_client two({.endpoints = {stopped_store.address(), store.address()}, .timeout = 5s});
    EXPECT_FALSE(failed(two.commit(put_txn("a", "1"))));
    ASSERT_TRUE(stopped_store.start());
    EXPECT_FALSE(failed(one.range("a")));
}

TEST_F(store_client_test, expired_lease_deletes_its_keys_and_is_reported_as_lost)
{
    store_client it = client();
    const lease_id lease = value_of(it.grant_lease(60s)).lease;
    ASSERT_FALSE(failed(it.commit(put_txn("a", "1", lease))));
    EXPECT_EQ(value_of(it.keep_lease_alive(lease)).ttl, 60s);
    EXPECT_EQ(value_of(it.range("a")).entries.at(0).lease, lease);
    store.expire_leases();
    EXPECT_TRUE(value_of(it.range("a")).entries.empty());
    EXPECT_EQ(error_of(it.keep_lease_alive(lease)).kind, store_error_kind::lease_lost);
    EXPECT_EQ(error_of(it.commit(put_txn("a", "2", lease))).kind, store_error_kind::lease_lost);
    EXPECT_EQ(error_of(it.revoke_lease(lease)).kind, store_error_kind::lease_lost);
}

TEST_F(store_client_test, lease_keys_are_deleted_on_expiry_and_on_revocation)
{
    store_client it = client();
    const lease_id lease = value_of(it.grant_lease(1s)).lease;
    const lease_id revoked = value_of(it.grant_lease(60s)).lease;
    std::atomic<int> deleted = 0;
    store_watch watch({.endpoints = {store.address()}, .keys = prefix_range("a"), .from = 1},
                      {.on_events =
                           [&](const store_event_batch& batch) {
                               for (const store_event& event : batch.events)
                                   deleted += event.deleted ? 1 : 0;
                           },
                       .on_status = [](const store_watch_status&) {}});
    ASSERT_FALSE(failed(it.commit(put_txn("a1", "1", lease))));
    ASSERT_FALSE(failed(it.commit(put_txn("a2", "1", revoked))));
    EXPECT_FALSE(failed(it.revoke_lease(revoked)));
    EXPECT_TRUE(eventually([&] { return deleted == 2; }));
}

TEST_F(store_client_test, stale_read_returns_an_older_revision)
{
    store_client it = client();
    ASSERT_FALSE(failed(it.commit(put_txn("a", "1"))));
    const store_revision newest = value_of(it.commit(put_txn("a", "2"))).revision;
    store.set_faults({.stale_revisions = 1});
    const auto stale = it.range("a");
    EXPECT_LT(value_of(stale).revision, newest);
    EXPECT_EQ(value_of(stale).entries.at(0).value, "1");
}

TEST_F(store_client_test, rate_limited_commit_is_overloaded_and_has_no_effect)
{
    store_client it = client();
    store.set_faults({.writes_per_second = 1});
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
        const auto commit = it.commit(put_txn("a" + std::to_string(i), "1"));
        refused += failed(commit) ? 1 : 0;
        if (failed(commit)) {
            EXPECT_EQ(error_of(commit).kind, store_error_kind::overloaded);
        }
    }
    EXPECT_GE(refused, 1);
    const auto written = value_of(it.range("a", "b")).entries.size();
    EXPECT_EQ(written, static_cast<std::size_t>(5 - refused));
    EXPECT_EQ(store.calls().limited, static_cast<std::uint64_t>(refused));
}

// A server that answers every call with the same status and body.
struct fixed_answer_server {
    tracked_server server;
    endpoint at{.host = "127.0.0.1", .port = 0};
    fixed_answer_server(int status, const std::string& body, std::atomic<int>* calls = nullptr)
    {
        server.Post(".*", [=](const httplib::Request&, httplib::Response& response) {
            if (calls != nullptr)
                ++*calls;
            response.status = status;
            response.set_content(body, "application/json");
        });
        at.port = server.start(at);
    }
};

TEST(store_client_odd_server, invalid_or_oversized_answer_is_malformed_or_outcome_unknown)
{
    const std::string large =
        R"({"header":{"revision":"2"},"x":")" + std::string(5'000'000, 'x') + "\"}";
    for (const std::string& body :
         {std::string("<html>"), std::string("{}"), std::string(), large}) {
        fixed_answer_server server(200, body);
        store_client it({.endpoints = {server.at}, .timeout = 5s, .max_answer_bytes = 4 << 20});
        EXPECT_EQ(error_of(it.range("a")).kind, store_error_kind::malformed);
        EXPECT_EQ(error_of(it.grant_lease(1s)).kind, store_error_kind::malformed);
        EXPECT_EQ(error_of(it.keep_lease_alive(lease_id{1})).kind, store_error_kind::malformed);
        EXPECT_EQ(error_of(it.commit(put_txn("a", "1"))).kind, store_error_kind::outcome_unknown);
    }
}

TEST(store_client_odd_server, commit_is_known_without_effect_only_after_a_definite_refusal)
{
    struct expectation {
        int status;
        store_error_kind read;
        store_error_kind commit;
    };
    for (const expectation& it :
         {expectation{429, store_error_kind::overloaded, store_error_kind::overloaded},
          expectation{503, store_error_kind::overloaded, store_error_kind::outcome_unknown},
          expectation{500, store_error_kind::unreachable, store_error_kind::outcome_unknown},
          expectation{400, store_error_kind::refused, store_error_kind::refused},
          expectation{302, store_error_kind::malformed, store_error_kind::outcome_unknown}}) {
        fixed_answer_server server(it.status, "");
        store_client client(options_for(server.at));
        EXPECT_EQ(error_of(client.range("a")).kind, it.read) << it.status;
        EXPECT_EQ(error_of(client.commit(put_txn("a", "1"))).kind, it.commit) << it.status;
    }
}

// Guards against an endless answer, sent one byte at a time, that blocks a call beyond its timeout.
TEST(store_client_odd_server, trickling_answer_is_timed_out)
{
    tracked_server server;
    server.Post(".*", [](const httplib::Request&, httplib::Response& response) {
        response.set_chunked_content_provider("application/json",
                                              [](std::size_t, httplib::DataSink& sink) {
                                                  std::this_thread::sleep_for(5ms);
                                                  return sink.write(" ", 1);
                                              });
    });
    const endpoint at{.host = "127.0.0.1", .port = server.start({.host = "127.0.0.1", .port = 0})};
    store_client it({.endpoints = {at}, .timeout = 100ms});
    EXPECT_EQ(error_of(it.range("a")).kind, store_error_kind::timed_out);
    EXPECT_EQ(error_of(it.commit(put_txn("a", "1"))).kind, store_error_kind::outcome_unknown);
}

// Records all events and statuses that a watch reports.
struct watch_record {
    std::mutex mutex;
    std::vector<store_event> events;
    std::vector<store_watch_status> statuses;

    store_watch_handlers handlers()
    {
        return {.on_events =
                    [this](const store_event_batch& batch) {
                        const std::lock_guard lock(mutex);
                        events.insert(events.end(), batch.events.begin(), batch.events.end());
                    },
                .on_status =
                    [this](const store_watch_status& it) {
                        const std::lock_guard lock(mutex);
                        statuses.push_back(it);
                    }};
    }

    std::size_t event_count()
    {
        const std::lock_guard lock(mutex);
        return events.size();
    }

    int count(watch_status_kind kind)
    {
        const std::lock_guard lock(mutex);
        return static_cast<int>(
            std::count_if(statuses.begin(), statuses.end(),
                          [&](const store_watch_status& it) { return it.kind == kind; }));
    }
};

static store_watch_options watch_options(const endpoint& at, store_revision from)
{
    return {.endpoints = {at},
            .keys = prefix_range("w/"),
            .from = from,
            .idle_timeout = 1s,
            .backoff = {.first = 10ms, .limit = 100ms, .seed = 1}};
}

// Each round breaks the watch by an outage or a stop of the store, and writes while the watch
// reconnects.
TEST_F(store_client_test, watch_delivers_every_change_across_broken_connections_and_outages)
{
    constexpr int rounds = 6;
    constexpr int writes = 20;
    watch_record record;
    store_watch watch(watch_options(store.address(), 1), record.handlers());
    store_client it = client();
    int written = 0;
    const auto write = [&] {
        for (int i = 0; i < writes; ++i, ++written) {
            const std::string key = "w/" + std::to_string(i % 7);
            ASSERT_FALSE(failed(it.commit(put_txn(key, std::to_string(written)))));
            ASSERT_FALSE(failed(it.commit(put_txn("other", "x"))));
        }
    };
    for (int round = 1; round <= rounds; ++round) {
        ASSERT_TRUE(
            eventually([&] { return record.count(watch_status_kind::connected) == round; }));
        write();
        if (round % 2 == 0)
            store.stop();
        else
            store.set_faults({.down = outage::refuse});
        EXPECT_TRUE(failed(it.commit(put_txn("w/none", "none"))));
        ASSERT_TRUE(
            eventually([&] { return record.count(watch_status_kind::disconnected) == round; }));
        store.set_faults({});
        store.start();
        write();
    }
    ASSERT_TRUE(eventually([&] { return record.event_count() == std::size_t(written); }));
    for (int i = 0; i < written; ++i)
        EXPECT_EQ(record.events[i].entry.value, std::to_string(i));
}

TEST_F(store_client_test, watch_reports_a_disconnect_when_the_store_goes_silent)
{
    watch_record record;
    store_watch watch(watch_options(store.address(), 0), record.handlers());
    ASSERT_TRUE(eventually([&] { return record.count(watch_status_kind::connected) == 1; }));
    store.set_faults({.down = outage::hang});
    EXPECT_TRUE(eventually([&] { return record.count(watch_status_kind::disconnected) == 1; }));
    const time_point before = boot_now();
    watch.stop();
    EXPECT_LT(boot_now() - before, 2s);
}

TEST(store_watch, reports_lost_history_and_continues_after_it)
{
    fake_store store({.state = {.max_history_events = 5}});
    ASSERT_TRUE(store.start());
    store_client it(options_for(store.address()));
    for (int i = 0; i < 50; ++i)
        ASSERT_FALSE(failed(it.commit(put_txn("w/a", std::to_string(i)))));
    watch_record record;
    store_watch watch(watch_options(store.address(), 3), record.handlers());
    ASSERT_TRUE(eventually([&] { return record.event_count() == 5; }));
    EXPECT_EQ(record.count(watch_status_kind::history_lost), 1);
    EXPECT_EQ(record.events[4].entry.value, "49");
}

TEST(store_watch, changes_after_a_restore_from_an_older_copy_are_not_skipped)
{
    fake_store store;
    ASSERT_TRUE(store.start());
    store_client it(options_for(store.address()));
    watch_record record;
    store_watch watch(watch_options(store.address(), 1), record.handlers());
    ASSERT_TRUE(eventually([&] { return record.count(watch_status_kind::connected) > 0; }));
    store.copy();
    for (int i = 0; i < 5; ++i)
        ASSERT_FALSE(failed(it.commit(put_txn("w/a", "before"))));
    ASSERT_TRUE(eventually([&] { return record.event_count() == 5; }));
    store.restore();
    EXPECT_TRUE(eventually([&] { return record.count(watch_status_kind::history_lost) == 1; }));
    ASSERT_TRUE(eventually([&] { return store.calls().watching == 1; }));
    ASSERT_FALSE(failed(it.commit(put_txn("w/a", "after"))));
    EXPECT_TRUE(eventually([&] { return record.event_count() == 6; }));
}

TEST(store_watch, invalid_or_truncated_lines_break_the_connection)
{
    const store_entry entry{.key = "w/a", .value = "1", .mod_revision = 2, .version = 1};
    const store_event_batch batch{.revision = 2, .events = {{.deleted = false, .entry = entry}}};
    const std::string line = encode_watch_message({.batch = batch});
    for (const std::string& body : {std::string("{\"result\":7}\n"), std::string("\n"),
                                    line.substr(0, line.size() - 2), std::string("{}\n") + line}) {
        std::atomic<int> calls = 0;
        fixed_answer_server server(200, body, &calls);
        watch_record record;
        store_watch watch(watch_options(server.at, 1), record.handlers());
        EXPECT_TRUE(eventually([&] { return calls >= 2; }));
        watch.stop();
        EXPECT_EQ(record.event_count(), 0U);
        EXPECT_EQ(record.count(watch_status_kind::connected), 0);
    }
}

TEST_F(store_client_test, hundreds_of_idle_watches_delay_no_call)
{
    constexpr std::size_t watches = 300;
    std::atomic<std::size_t> notified = 0;
    std::vector<std::unique_ptr<store_watch>> all;
    for (std::size_t i = 0; i < watches; ++i)
        all.push_back(std::make_unique<store_watch>(
            store_watch_options{.endpoints = {store.address()}, .keys = prefix_range("w/")},
            store_watch_handlers{.on_events = [&](const store_event_batch&) { ++notified; },
                                 .on_status = [](const store_watch_status&) {}}));
    ASSERT_TRUE(eventually([&] { return store.calls().watching == watches; }));
    store_client it = client();
    ASSERT_FALSE(failed(it.commit(put_txn("w/a", "1"))));
    EXPECT_TRUE(eventually([&] { return notified == watches; }));
    EXPECT_EQ(store.calls().watch, watches);
}

// The control endpoints work while the store is down and reject unknown members and values.
TEST_F(store_client_test, control_endpoints_set_faults_and_return_counts_while_the_store_is_down)
{
    httplib::Client page("127.0.0.1", store.address().port);
    const auto post = [&](const char* body) {
        return page.Post("/fault", body, "application/json");
    };
    EXPECT_EQ(post(R"({"down":"refuse"})")->status, 200);
    store_client it = client();
    EXPECT_EQ(error_of(it.range("a")).kind, store_error_kind::unreachable);
    EXPECT_EQ(post(R"({"down":"maybe"})")->status, 400);
    EXPECT_EQ(post(R"({"colour":1})")->status, 400);
    EXPECT_EQ(post(R"({"slow_ms":-1})")->status, 400);
    EXPECT_EQ(post("nonsense")->status, 400);
    EXPECT_EQ(post(R"({"down":"none","lapse_leases":true})")->status, 200);
    EXPECT_FALSE(failed(it.range("a")));
    EXPECT_NE(page.Get("/calls")->body.find(R"("range":2)"), std::string::npos);
}
