#include "link_hub.h"

#include "system_clock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;
using namespace std::string_literals;
using namespace std::string_view_literals;

namespace {

/// Upper bound of every wait; a test that reaches it has failed.
constexpr duration test_timeout = 20s;

time_point in(duration it)
{
    return boot_now() + it;
}

link_options options_of(const std::string& vm_name)
{
    return {.self = {.vm_name = vm_name, .run = {7}},
            .fleet_key = "fleet key of the tests",
            .connect_timeout = test_timeout,
            .ping_timeout = test_timeout};
}

using body_result = result<std::string, link_error>;

body_result read_all(link_stream& it, duration limit = test_timeout)
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

// Sends a complete request and reads the complete response.
body_result exchange(link_hub& hub, const endpoint& peer, std::string_view body)
{
    const auto it = hub.open(peer, {.method = "POST", .path = "/x"}, false);
    if (const auto rv = it->write(body, in(test_timeout)); failed(rv))
        return error_of(rv);
    it->finish();
    if (const auto rv = it->read_head(in(test_timeout)); failed(rv))
        return error_of(rv);
    return read_all(*it);
}

/// Runs a handler for each request on its own thread; the destructor joins all threads.
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

// Responds with the request's body, piece by piece as it arrives.
void echo(link_stream& it)
{
    if (failed(it.respond({.status = 200}, false)))
        return;
    std::array<char, 16384> buf{};
    for (;;) {
        const auto n = it.read(buf, in(test_timeout));
        if (failed(n))
            return;
        if (value_of(n) == 0)
            break;
        if (failed(it.write(std::span(buf).first(value_of(n)), in(test_timeout))))
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

// Sends a control message and waits for the response.
body_result call(link_hub& hub, const endpoint& peer, const std::string& payload,
                 duration timeout = test_timeout)
{
    std::promise<body_result> got;
    if (!hub.call(peer, "/control/x", payload, timeout,
                  [&](body_result it) { got.set_value(std::move(it)); }))
        return link_error{.reason = "not taken"};
    return got.get_future().get();
}

// A plain TCP connection to the hub, which sends arbitrary bytes.
class raw_connection {
public:
    explicit raw_connection(const endpoint& peer) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in it{};
        it.sin_family = AF_INET;
        it.sin_port = htons(peer.port);
        inet_pton(AF_INET, peer.host.c_str(), &it.sin_addr);
        EXPECT_EQ(connect(fd_, reinterpret_cast<const sockaddr*>(&it), sizeof it), 0);
        const timeval limit{.tv_sec = 20, .tv_usec = 0};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~raw_connection() { close(fd_); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(std::string_view bytes) { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    // True if the peer closes the connection before the receive timeout.
    bool is_closed_by_peer()
    {
        std::array<char, 4096> buf{};
        for (;;) {
            const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
            if (n == 0 || (n < 0 && errno == ECONNRESET))
                return true;
            if (n < 0)
                return false;
        }
    }

private:
    int fd_;
};

constexpr std::string_view client_preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
constexpr char headers_frame = 1;
constexpr char settings_frame = 4;
constexpr char end_of_headers = 4;
constexpr char end_of_stream = 1;

std::string frame(char type, int flags, char stream, std::string_view payload)
{
    std::string out{'\0',
                    static_cast<char>(payload.size() >> 8U),
                    static_cast<char>(payload.size()),
                    type,
                    static_cast<char>(flags),
                    '\0',
                    '\0',
                    '\0',
                    stream};
    return out.append(payload);
}

// One field in HPACK: literal, without indexing.
std::string field(std::string_view name, std::string_view value)
{
    std::string out{'\0', static_cast<char>(name.size())};
    out.append(name);
    out += static_cast<char>(value.size());
    return out.append(value);
}

std::string request_line(std::string_view scheme)
{
    return field(":method", "POST") + field(":scheme", scheme) + field(":authority", "link") +
           field(":path", "/x");
}

} // namespace

TEST(link_hub, request_body_is_echoed)
{
    fixture it(echo);
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_FALSE(failed(got)) << describe(error_of(got));
    EXPECT_EQ(value_of(got), "hello");
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
            ASSERT_FALSE(failed(stream->write(piece, in(test_timeout))));
        }
        stream->finish();
    });
    std::array<char, 50000> buf{};
    std::size_t got = 0;
    for (;;) {
        const auto n = stream->read(buf, in(test_timeout));
        if (failed(n) || value_of(n) == 0)
            break;
        got += value_of(n);
    }
    writer.join();
    EXPECT_EQ(got, total);
}

TEST(link_hub, thousand_concurrent_streams_share_one_link)
{
    constexpr int streams = 1000;
    fixture it(echo);
    std::vector<std::shared_ptr<link_stream>> open;
    for (int n = 0; n < streams; ++n) {
        open.push_back(it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false));
        ASSERT_FALSE(failed(open.back()->write(std::to_string(n), in(test_timeout))));
    }
    for (int n = 0; n < streams; ++n) {
        open[static_cast<std::size_t>(n)]->finish();
        const auto got = read_all(*open[static_cast<std::size_t>(n)]);
        ASSERT_FALSE(failed(got)) << n << describe(error_of(got));
        EXPECT_EQ(value_of(got), std::to_string(n));
    }
    EXPECT_EQ(it.a->counters().connects, 1U);
}

TEST(link_hub, wrong_fleet_key_is_refused_as_not_sent)
{
    link_options wrong_key = options_of("a");
    wrong_key.fleet_key = "another key";
    fixture it(echo, wrong_key);
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent) << describe(error_of(got));
    EXPECT_EQ(it.pool.count(), 0);
}

TEST(link_hub, request_to_a_closed_port_is_not_sent)
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

TEST(link_hub, peer_stop_during_the_response_body_is_an_error)
{
    std::promise<void> half_sent;
    fixture it([&](link_stream& stream) {
        ASSERT_FALSE(failed(stream.respond({.status = 200}, false)));
        ASSERT_FALSE(failed(stream.write("half"sv, in(test_timeout))));
        half_sent.set_value();
        char c = 0;
        static_cast<void>(stream.read(std::span(&c, 1), in(test_timeout)));
    });
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    half_sent.get_future().wait();
    ASSERT_FALSE(failed(stream->read_head(in(test_timeout))));
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
        cancelled.get_future().wait_for(test_timeout);
        EXPECT_TRUE(stream.is_cancelled());
    });
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    started.get_future().wait();
    EXPECT_FALSE(stream->reset(reset_reason::cancelled));
}

TEST(link_hub, answer_without_body_is_whole_and_not_cancelled)
{
    std::promise<void> received;
    std::atomic<bool> is_cancelled{false};
    fixture it([&](link_stream& stream) {
        ASSERT_FALSE(failed(stream.respond({.status = 204}, true)));
        received.get_future().wait_for(test_timeout);
        is_cancelled = stream.is_cancelled();
    });
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_FALSE(failed(got)) << describe(error_of(got));
    received.set_value();
    it.a->stop();
    EXPECT_FALSE(is_cancelled);
}

TEST(link_hub, caller_stop_during_the_request_body_is_an_error)
{
    std::promise<void> begun;
    std::promise<bool> is_error;
    fixture it([&](link_stream& stream) {
        std::array<char, 4> buf{};
        static_cast<void>(stream.read(buf, in(test_timeout)));
        begun.set_value();
        is_error.set_value(failed(read_all(stream)) && stream.is_cancelled());
    });
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    ASSERT_FALSE(failed(stream->write("half"sv, in(test_timeout))));
    begun.get_future().wait();
    it.a->stop();
    EXPECT_TRUE(is_error.get_future().get());
}

TEST(link_hub, malformed_bytes_close_only_their_connection)
{
    fixture it(echo);
    for (const std::string& bytes :
         {std::string(100, '\xff'), std::string("GET / HTTP/1.1\r\n\r\n"),
          std::string(client_preface) + std::string(100, '\x7f')}) {
        raw_connection unauthenticated(it.b->local());
        unauthenticated.send(bytes);
        EXPECT_TRUE(unauthenticated.is_closed_by_peer());
    }
    EXPECT_FALSE(failed(exchange(*it.a, it.b->local(), "still there")));
}

TEST(link_hub, silent_connection_is_closed_at_the_connect_timeout)
{
    link_options to = options_of("b");
    to.connect_timeout = 100ms;
    fixture it(echo, options_of("a"), to);
    raw_connection unauthenticated(it.b->local());
    EXPECT_TRUE(unauthenticated.is_closed_by_peer());
}

// Sends a valid first handshake message, then requests after an invalid, a missing or an empty
// proof.
TEST(link_hub, requests_without_a_valid_proof_do_not_run)
{
    link_options to = options_of("b");
    to.connect_timeout = 200ms;
    fixture it(echo, options_of("a"), to);
    const std::string introduction = request_line("http") + field("vm", "a") +
                                     field("incarnation", "1") +
                                     field("nonce", std::string(64, '1'));
    const std::string hello = std::string(client_preface) + frame(settings_frame, 0, 0, "") +
                              frame(headers_frame, end_of_headers, 1, introduction);
    const int whole = end_of_headers | end_of_stream;
    const std::string request = frame(headers_frame, whole, 3, request_line("http"));
    const std::string made_up = frame(0, end_of_stream, 1, std::string(64, '2'));
    const std::string empty = frame(0, end_of_stream, 1, "");
    for (const std::string& proof : {made_up, request, empty}) {
        raw_connection unauthenticated(it.b->local());
        unauthenticated.send(hello);
        unauthenticated.send(proof);
        unauthenticated.send(request);
        EXPECT_TRUE(unauthenticated.is_closed_by_peer());
    }
    EXPECT_EQ(it.pool.count(), 0);
}

TEST(link_hub, request_with_a_control_path_is_not_a_control_message)
{
    link_options to = options_of("b");
    std::atomic<int> control{0};
    to.on_control = [&](const control_request&) -> std::optional<std::string> {
        ++control;
        return "";
    };
    fixture it(echo, options_of("a"), to);
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/control/x"}, true);
    EXPECT_FALSE(failed(read_all(*stream)));
    EXPECT_EQ(control, 0);
    EXPECT_EQ(it.pool.count(), 1);
}

TEST(link_hub, unsendable_heads_fail_as_not_sent)
{
    fixture it(echo);
    const std::vector<message_head> heads{
        {.method = "POST", .path = "no slash"},
        {.method = "POST", .path = "/a b"},
        {.method = "CONNECT", .path = "/"},
        {.method = "GET", .path = "/", .fields = {{":path", "/other"}}},
        {.method = "GET", .path = "/", .fields = {{"x", "a\r\nb: c"}}},
        {.method = "GET", .path = "/", .fields = {{"x y", "a"}}},
        {.method = "GET", .path = "/", .fields = {{"x", std::string(40000, 'a')}}},
    };
    for (const message_head& head : heads) {
        const auto got = it.a->open(it.b->local(), head, true)->read_head(in(test_timeout));
        ASSERT_TRUE(failed(got)) << head.path;
        EXPECT_EQ(error_of(got).kind, link_failure::not_sent);
    }
    EXPECT_EQ(it.pool.count(), 0);
}

// Links forward all fields unchanged and in order in both directions, except hop-by-hop fields.
RC_GTEST_PROP(link_hub, fields_arrive_unchanged_and_in_order, ())
{
    const auto name = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::elementOf("abcdefghijklmnopqrstuvwxyz0123-"s)));
    const auto value = rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange('!', '~')),
                                    [](const std::string& it) { return it + "\xc3\xa9"; });
    std::vector<header_field> fields{{"host", "x"}, {"empty", ""}};
    for (const std::string& it : *rc::gen::container<std::vector<std::string>>(name))
        fields.push_back({"x-" + it, *value});
    std::vector<header_field> sent = fields;
    sent.push_back({"connection", "close"});
    sent.push_back({"transfer-encoding", "chunked"});
    fixture it([](link_stream& stream) {
        static_cast<void>(stream.respond({.status = 200, .fields = stream.head().fields}, true));
    });
    const auto stream =
        it.a->open(it.b->local(), {.method = "GET", .path = "/x", .fields = sent}, true);
    const auto head = stream->read_head(in(test_timeout));
    RC_ASSERT(!failed(head));
    RC_ASSERT(value_of(head).fields == fields);
}

TEST(link_hub, body_that_differs_from_its_length_is_not_whole)
{
    std::promise<bool> is_error;
    fixture it([&](link_stream& stream) { is_error.set_value(failed(read_all(stream))); });
    const auto stream =
        it.a->open(it.b->local(),
                   {.method = "POST", .path = "/x", .fields = {{"content-length", "10"}}}, false);
    ASSERT_FALSE(failed(stream->write("short"sv, in(test_timeout))));
    stream->finish();
    EXPECT_TRUE(is_error.get_future().get());
    EXPECT_TRUE(failed(stream->read_head(in(test_timeout))));
}

TEST(link_hub, refusal_is_not_sent_and_a_failure_may_have_run)
{
    for (const reset_reason reason : {reset_reason::refused, reset_reason::internal_error}) {
        fixture it([&](link_stream& stream) { stream.reset(reason); });
        const auto got = exchange(*it.a, it.b->local(), "hello");
        ASSERT_TRUE(failed(got));
        EXPECT_EQ(error_of(got).kind, reason == reset_reason::refused ? link_failure::not_sent
                                                                      : link_failure::peer_reset);
    }
}

TEST(link_hub, refusal_after_the_response_head_is_a_peer_reset)
{
    fixture it([](link_stream& stream) {
        ASSERT_FALSE(failed(stream.respond({.status = 200}, false)));
        stream.reset(reset_reason::refused);
    });
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::peer_reset) << describe(error_of(got));
}

TEST(link_hub, streams_above_the_limit_are_not_sent)
{
    link_options from = options_of("a");
    from.max_streams = 2;
    fixture it(echo, from);
    std::vector<std::shared_ptr<link_stream>> open;
    open.reserve(3);
    for (int n = 0; n < 3; ++n)
        open.push_back(it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false));
    const auto got = open.back()->read_head(in(test_timeout));
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent);
    EXPECT_FALSE(failed(open.front()->read_head(in(test_timeout))));
}

// When the link breaks, the second request waits because of the peer's limit on concurrent streams,
// and no byte of it has been sent.
TEST(link_hub, request_that_waits_for_a_stream_is_not_sent)
{
    link_options to = options_of("b");
    to.max_streams = 1;
    to.max_control_streams = 0;
    fixture it(echo, options_of("a"), to);
    const message_head head{.method = "POST", .path = "/x"};
    const auto first = it.a->open(it.b->local(), head, false);
    ASSERT_FALSE(failed(first->read_head(in(test_timeout))));
    const auto second = it.a->open(it.b->local(), head, false);
    EXPECT_TRUE(failed(second->read_head(in(100ms))));
    it.b->stop();
    const auto ran = read_all(*first);
    const auto waited = second->read_head(in(test_timeout));
    ASSERT_TRUE(failed(ran) && failed(waited));
    EXPECT_EQ(error_of(ran).kind, link_failure::maybe_sent);
    EXPECT_EQ(error_of(waited).kind, link_failure::not_sent) << describe(error_of(waited));
}

namespace {

// Detects a silent peer within less than a second.
link_options fast_ping_options(const std::string& vm_name)
{
    link_options out = options_of(vm_name);
    out.ping_after = 50ms;
    out.ping_timeout = 700ms;
    return out;
}

} // namespace

TEST(link_hub, request_to_a_cut_endpoint_is_not_sent)
{
    link_options from = options_of("a");
    from.connect_timeout = 200ms;
    fixture it(echo, from);
    it.a->set_cut(to_string(it.b->local()), cut_direction::inbound);
    const auto got = exchange(*it.a, it.b->local(), "hello");
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent) << describe(error_of(got));
}

TEST(link_hub, deadline_before_the_link_is_ready_is_not_sent)
{
    fixture it(echo);
    it.a->set_cut(to_string(it.b->local()), cut_direction::both);
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, true);
    const auto got = stream->read_head(in(50ms));
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent);
    it.a->set_cut(to_string(it.b->local()), cut_direction::none);
    EXPECT_FALSE(failed(exchange(*it.a, it.b->local(), "after")));
    EXPECT_EQ(it.pool.count(), 1) << "the withdrawn request ran";
}

// Whichever direction of an established link fails: reads time out at their deadline, then the ping
// timeout closes the link. The requests may have run, and the accepting side stops waiting too.
TEST(link_hub, streams_of_a_cut_link_fail_on_both_sides)
{
    for (const cut_direction cut :
         {cut_direction::inbound, cut_direction::outbound, cut_direction::both}) {
        fixture it(echo, fast_ping_options("a"), fast_ping_options("b"));
        const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
        ASSERT_FALSE(failed(stream->read_head(in(test_timeout))));
        it.a->set_cut("b", cut);
        const auto late = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, true);
        std::array<char, 8> buf{};
        const auto soon = stream->read(buf, in(1ms));
        ASSERT_TRUE(failed(soon));
        EXPECT_EQ(error_of(soon).kind, link_failure::timed_out);
        const auto end = stream->read(buf, in(test_timeout));
        ASSERT_TRUE(failed(end));
        EXPECT_EQ(error_of(end).kind, link_failure::maybe_sent);
        const auto second = late->read_head(in(test_timeout));
        ASSERT_TRUE(failed(second));
        EXPECT_EQ(error_of(second).kind, link_failure::maybe_sent);
    }
}

TEST(link_hub, cut_shorter_than_the_ping_timeout_loses_no_bytes)
{
    fixture it(echo);
    ASSERT_FALSE(failed(exchange(*it.a, it.b->local(), "before")));
    it.a->set_cut("b", cut_direction::both);
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    ASSERT_FALSE(failed(stream->write("through"sv, in(test_timeout))));
    stream->finish();
    EXPECT_TRUE(failed(stream->read_head(in(100ms))));
    it.a->set_cut("b", cut_direction::none);
    const auto got = read_all(*stream);
    ASSERT_FALSE(failed(got)) << describe(error_of(got));
    EXPECT_EQ(value_of(got), "through");
}

// The bytes buffered for a reader that does not read are limited, and other streams continue.
TEST(link_hub, slow_reader_blocks_only_its_own_writer)
{
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    fixture it([&](link_stream& stream) {
        if (stream.head().path == "/slow") {
            released.wait_for(test_timeout);
            return;
        }
        echo(stream);
    });
    const auto slow = it.a->open(it.b->local(), {.method = "POST", .path = "/slow"}, false);
    const std::string piece(10000, 'x');
    std::size_t taken = 0;
    while (!failed(slow->write(piece, in(200ms))))
        taken += piece.size();
    const link_options defaults;
    EXPECT_LE(taken, defaults.stream_buffer_bytes + defaults.first_window_bytes);
    EXPECT_FALSE(failed(exchange(*it.a, it.b->local(), std::string(200000, 'y'))));
    release.set_value();
}

TEST(link_hub, many_cancels_do_not_close_the_link)
{
    fixture it([](link_stream& stream) {
        if (stream.head().path == "/x")
            echo(stream);
    });
    for (int n = 0; n < 3000; ++n) {
        const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/wait"}, false);
        while (stream->peer().vm_name.empty())
            std::this_thread::yield();
        stream->reset(reset_reason::cancelled);
    }
    EXPECT_FALSE(failed(exchange(*it.a, it.b->local(), "hello")));
    EXPECT_EQ(it.a->counters().connects, 1U);
}

// Requests are sent while the accepting side drains: those that it accepts get their complete
// response, and the others fail as not sent.
TEST(link_hub, drain_cuts_nothing)
{
    link_options to = options_of("b");
    to.drain_notice = 50ms;
    fixture it(echo, options_of("a"), to);
    std::atomic<int> answered{0};
    std::atomic<int> not_sent{0};
    std::atomic<int> other{0};
    std::vector<std::thread> callers;
    callers.reserve(8);
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back([&] {
            const std::string body(50000, 'x');
            for (;;) {
                const auto got = exchange(*it.a, it.b->local(), body);
                if (!failed(got) && value_of(got) == body) {
                    ++answered;
                    continue;
                }
                ++(failed(got) && !may_have_run(error_of(got)) ? not_sent : other);
                return;
            }
        });
    }
    while (answered < 20)
        std::this_thread::yield();
    it.b->drain();
    for (std::thread& caller : callers)
        caller.join();
    EXPECT_TRUE(it.b->wait_idle(in(test_timeout)));
    EXPECT_EQ(it.b->counters().links, 0U);
    EXPECT_EQ(not_sent, 8);
    EXPECT_EQ(other, 0);
    EXPECT_EQ(it.pool.count(), answered);
}

TEST(link_hub, idle_link_is_closed_and_opened_again)
{
    link_options from = options_of("a");
    from.idle_timeout = 1ms;
    fixture it(echo, from);
    ASSERT_FALSE(failed(exchange(*it.a, it.b->local(), "one")));
    const time_point deadline = in(test_timeout);
    while (it.b->counters().links > 0 && boot_now() < deadline)
        std::this_thread::sleep_for(5ms);
    ASSERT_EQ(it.b->counters().links, 0U);
    EXPECT_FALSE(failed(exchange(*it.a, it.b->local(), "two")));
    EXPECT_EQ(it.a->counters().connects, 2U);
}

// Many concurrent requests with bodies of random sizes, answered in any order: each gets its own
// response.
RC_GTEST_PROP(link_hub, answers_never_cross, ())
{
    const auto sizes =
        *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 60000U));
    fixture it(echo);
    std::vector<std::future<bool>> results;
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        results.push_back(std::async(std::launch::async, [&, n] {
            std::string body = std::to_string(n) + ":";
            body.resize(body.size() + sizes[n], static_cast<char>('a' + n % 26));
            const auto got = exchange(*it.a, it.b->local(), body);
            return !failed(got) && value_of(got) == body;
        }));
    }
    for (std::future<bool>& result : results)
        RC_ASSERT(result.get());
    RC_ASSERT(it.pool.count() == static_cast<int>(sizes.size()));
}

TEST(link_hub, control_handler_may_answer_defer_drop_or_refuse)
{
    link_options to = options_of("b");
    std::vector<std::shared_ptr<control_reply>> kept;
    to.on_control = [&](const control_request& it) -> std::optional<std::string> {
        if (it.payload == "now")
            return it.peer.vm_name + it.path;
        if (it.payload == "later")
            std::thread([reply = it.defer()] { reply->answer("late answer"); }).detach();
        else if (it.payload == "never")
            kept.push_back(it.defer());
        else if (it.payload == "dropped")
            std::thread([reply = it.defer()] {}).detach();
        return std::nullopt;
    };
    fixture it(echo, options_of("a"), to);
    const endpoint peer = it.b->local();
    const auto now = call(*it.a, peer, "now");
    ASSERT_FALSE(failed(now)) << describe(error_of(now));
    EXPECT_EQ(value_of(now), "a/control/x");
    for (int n = 0; n < 300; ++n) {
        const auto later = call(*it.a, peer, "later");
        ASSERT_FALSE(failed(later)) << describe(error_of(later));
        EXPECT_EQ(value_of(later), "late answer");
    }
    const auto never = call(*it.a, peer, "never", 100ms);
    ASSERT_TRUE(failed(never));
    EXPECT_EQ(error_of(never).kind, link_failure::timed_out);
    const auto dropped = call(*it.a, peer, "dropped");
    ASSERT_TRUE(failed(dropped));
    EXPECT_EQ(error_of(dropped).kind, link_failure::peer_reset);
    const auto refused = call(*it.a, peer, "unknown");
    ASSERT_TRUE(failed(refused));
    EXPECT_EQ(error_of(refused).kind, link_failure::not_sent);
}

TEST(link_hub, control_messages_are_bounded)
{
    link_options to = options_of("b");
    to.on_control = [](const control_request& it) -> std::optional<std::string> {
        return it.payload + it.payload;
    };
    fixture it(echo, options_of("a"), to);
    const std::size_t limit = to.max_control_bytes;
    const auto half = call(*it.a, it.b->local(), std::string(limit / 2, 'x'));
    ASSERT_FALSE(failed(half)) << describe(error_of(half));
    EXPECT_EQ(value_of(half).size(), limit);
    const auto whole = call(*it.a, it.b->local(), std::string(limit, 'x'));
    ASSERT_TRUE(failed(whole));
    EXPECT_EQ(error_of(whole).kind, link_failure::peer_reset);
    EXPECT_FALSE(it.a->call(it.b->local(), "/control/x", std::string(limit + 1, 'x'), 1s,
                            [](const body_result&) {}));
}

TEST(link_hub, stop_ends_every_call_and_stream)
{
    link_options to = options_of("b");
    std::vector<std::shared_ptr<control_reply>> kept;
    to.on_control = [&](const control_request& it) -> std::optional<std::string> {
        kept.push_back(it.defer());
        return std::nullopt;
    };
    std::atomic<int> ended{0};
    fixture it(echo, options_of("a"), to);
    const auto stream = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, false);
    for (int n = 0; n < 100; ++n)
        ASSERT_TRUE(it.a->call(it.b->local(), "/control/x", "x", test_timeout,
                               [&](const body_result&) { ++ended; }));
    it.a->stop();
    EXPECT_EQ(ended, 100);
    EXPECT_TRUE(failed(stream->read_head(in(test_timeout))));
    EXPECT_FALSE(it.a->call(it.b->local(), "/control/x", "", 1s, [](const body_result&) {}));
    const auto after = it.a->open(it.b->local(), {.method = "POST", .path = "/x"}, true);
    const auto got = after->read_head(in(test_timeout));
    ASSERT_TRUE(failed(got));
    EXPECT_EQ(error_of(got).kind, link_failure::not_sent);
}

// Guards against bytes that are counted for the wrong cause or receiver, or not at all.
TEST(link_hub, sent_bytes_are_counted_by_cause_and_scope)
{
    constexpr std::size_t frame_head = 9;
    const std::string body(1000, 'x');
    link_options from = options_of("a");
    from.traffic = std::make_shared<traffic_account>();
    from.cause_of_path = [](std::string_view path) {
        return path == "/control/x" ? traffic_cause::limit : traffic_cause::other_control;
    };
    link_options to = options_of("b");
    to.traffic = std::make_shared<traffic_account>();
    to.on_control = [](const control_request&) { return std::string(300, 'y'); };
    fixture it(echo, from, to);
    member_directory directory;
    directory.merge(
        {.vm = id_of<vm_id>("b"), .name = "b", .run = {7}, .version = 1, .link = {}, .domain = {}});
    from.traffic->set_peers(directory, {}, {});

    ASSERT_FALSE(failed(exchange(*it.a, it.b->local(), body)));
    ASSERT_FALSE(failed(call(*it.a, it.b->local(), std::string(200, 'z'))));
    it.a->stop();
    it.b->stop();

    const auto same = traffic_scope::same_domain;
    const auto unknown = traffic_scope::unknown;
    const traffic_account& sent = *from.traffic;
    EXPECT_GE(sent.bytes(traffic_cause::request_body, same), body.size() + frame_head);
    EXPECT_LT(sent.bytes(traffic_cause::request_body, same), body.size() + 4 * frame_head);
    EXPECT_GT(sent.bytes(traffic_cause::request_head, same), frame_head);
    EXPECT_GT(sent.bytes(traffic_cause::limit, same), 200 + 2 * frame_head);
    EXPECT_EQ(sent.bytes(traffic_cause::response_body, same), 0U);
    EXPECT_EQ(sent.bytes(traffic_cause::other_control, same), 0U);
    EXPECT_GT(sent.bytes(traffic_cause::other_frame, unknown), 0U); // the handshake
    const traffic_account& answered = *to.traffic;
    EXPECT_GE(answered.bytes(traffic_cause::response_body, unknown), body.size() + frame_head);
    EXPECT_GT(answered.bytes(traffic_cause::response_head, unknown), frame_head);
    EXPECT_GT(answered.bytes(traffic_cause::other_control, unknown), 300 + 2 * frame_head);
    EXPECT_EQ(answered.bytes(traffic_cause::request_body, unknown), 0U);
}
