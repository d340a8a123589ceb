#include "link_hub.h"

#include "system_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

/// Upper bound of every wait; a test that meets it has failed.
constexpr duration long_time = 20s;

time_point in(duration it)
{
    return boot_now() + it;
}

link_options options_of(const std::string& vm_name)
{
    return {.self = {.vm_name = vm_name, .run = {7}}, .fleet_key = "fleet key of the tests"};
}

using body_result = result<std::string, link_error>;

body_result read_all(link_stream& it, duration limit = long_time)
{
    const time_point deadline = in(limit);
    std::array<char, 16384> buf{};
    std::string out;
    for (;;) {
        const auto n = it.read(buf, deadline);
        if (failed(n))
            return error_of(n);
        if (value_of(n) == 0)
            return out;
        out.append(buf.data(), value_of(n));
    }
}

// Sends a whole request and reads the whole answer.
body_result exchange(link_hub& hub, const endpoint& peer, std::string_view body)
{
    const auto it = hub.open(peer, {.method = "POST", .path = "/x"}, false);
    if (const auto rv = it->write(body, in(long_time)); failed(rv))
        return error_of(rv);
    it->finish();
    if (const auto rv = it->read_head(in(long_time)); failed(rv))
        return error_of(rv);
    return read_all(*it);
}

/// Runs a handler for each request on a thread of its own, and joins them all.
class workers {
public:
    using body = std::function<void(link_stream&)>;
    explicit workers(body it) : body_(std::move(it)) {}
    ~workers()
    {
        for (std::thread& it : threads_)
            it.join();
    }
    stream_handler handler()
    {
        return [this](std::shared_ptr<link_stream> it) {
            ++count_;
            threads_.emplace_back([this, it = std::move(it)]() mutable {
                body_(*it);
                it.reset();
            });
        };
    }
    /// Requests that reached the handler.
    int count() const { return count_; }

private:
    body body_;
    std::vector<std::thread> threads_;
    std::atomic<int> count_{0};
};

// Sends back the body as it comes.
void echo(link_stream& it)
{
    if (failed(it.respond({.status = 200}, false)))
        return;
    std::array<char, 16384> buf{};
    for (;;) {
        const auto n = it.read(buf, in(long_time));
        if (failed(n))
            return;
        if (value_of(n) == 0)
            break;
        if (failed(it.write(std::span(buf).first(value_of(n)), in(long_time))))
            return;
    }
    it.finish();
}

struct fixture {
    explicit fixture(workers::body body, const link_options& from = options_of("a"),
                     link_options to = options_of("b"))
        : pool(std::move(body))
    {
        if (!to.on_stream)
            to.on_stream = pool.handler();
        b = link_hub::start(to);
        a = link_hub::start(from);
    }
    ~fixture()
    {
        a->stop();
        b->stop();
    }
    workers pool;
    std::unique_ptr<link_hub> b;
    std::unique_ptr<link_hub> a;
};

} // namespace

TEST(link_hub, echoes)
{
    fixture it(echo);
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_FALSE(failed(got)) << describe(error_of(got));
    EXPECT_EQ(value_of(got), "hello");
}

TEST(link_hub, control_round_trip)
{
    link_options accepting = options_of("b");
    accepting.on_control = [](const control_request& it) -> std::optional<std::string> {
        return it.peer.vm_name + it.path + it.payload;
    };
    const auto a = link_hub::start(options_of("a"));
    const auto b = link_hub::start(accepting);
    std::promise<result<std::string, link_error>> got;
    ASSERT_TRUE(a->call(b->local(), "/control/x", "!", 5s, [&](auto it) { got.set_value(it); }));
    const auto answer = got.get_future().get();
    ASSERT_FALSE(failed(answer)) << describe(error_of(answer));
    EXPECT_EQ(value_of(answer), "a/control/x!");
}

TEST(link_hub, large_body_passes_a_small_window)
{
    constexpr std::size_t total = 64UL * 1024 * 1024;
    fixture it(echo);
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    std::thread writer([&] {
        std::string piece(100000, 'x');
        for (std::size_t sent = 0; sent < total; sent += piece.size()) {
            piece.resize(std::min(piece.size(), total - sent));
            ASSERT_FALSE(failed(stream->write(piece, in(long_time))));
        }
        stream->finish();
    });
    std::array<char, 50000> buf{};
    std::size_t got = 0;
    for (;;) {
        const auto n = stream->read(buf, in(long_time));
        if (failed(n) || value_of(n) == 0)
            break;
        got += value_of(n);
    }
    writer.join();
    EXPECT_EQ(got, total);
}

TEST(link_hub, thousand_streams_at_once)
{
    constexpr int streams = 1000;
    fixture it(echo);
    std::vector<std::shared_ptr<link_stream>> open;
    for (int n = 0; n < streams; ++n) {
        open.push_back(it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false));
        ASSERT_FALSE(failed(open.back()->write(std::to_string(n), in(long_time))));
    }
    for (int n = 0; n < streams; ++n) {
        open[static_cast<std::size_t>(n)]->finish();
        const auto got = read_all(*open[static_cast<std::size_t>(n)]);
        ASSERT_FALSE(failed(got)) << n << describe(error_of(got));
        EXPECT_EQ(value_of(got), std::to_string(n));
    }
    EXPECT_EQ(it.a->counters().connects, 1U);
}

TEST(link_hub, wrong_fleet_key_is_refused_and_nothing_runs)
{
    link_options stranger = options_of("a");
    stranger.fleet_key = "another key";
    fixture it(echo, stranger);
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent) << describe(error_of(got));
    EXPECT_EQ(it.pool.count(), 0);
}

TEST(link_hub, nobody_listens_is_not_sent)
{
    fixture it(echo);
    const endpoint gone = it.b->local();
    it.b->stop();
    it.b.reset();
    const auto got = exchange(*it.a, gone, "hello");
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent);
    it.b = link_hub::start(options_of("b"));
}

TEST(link_hub, peer_killed_in_the_body_gives_an_error)
{
    std::promise<void> half_sent;
    fixture it([&](link_stream& stream) {
        ASSERT_FALSE(failed(stream.respond({.status = 200}, false)));
        ASSERT_FALSE(failed(stream.write("half", in(long_time))));
        half_sent.set_value();
        char c = 0;
        static_cast<void>(stream.read(std::span(&c, 1), in(long_time)));
    });
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    half_sent.get_future().wait();
    ASSERT_FALSE(failed(stream->read_head(in(long_time))));
    it.b->stop();
    const auto got = read_all(*stream);
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::maybe_sent);
}

TEST(link_hub, cancel_reaches_the_accepting_side)
{
    std::promise<void> started;
    std::promise<void> cancelled;
    fixture it([&](link_stream& stream) {
        stream.on_cancel([&] { cancelled.set_value(); });
        started.set_value();
        cancelled.get_future().wait_for(long_time);
        EXPECT_TRUE(stream.is_cancelled());
    });
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    started.get_future().wait();
    EXPECT_FALSE(stream->reset(reset_reason::cancelled));
}
