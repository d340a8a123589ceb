#include "socket_server.h"

#include "raw_client.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

// The second request arrives before the stop and is read after idle connections were closed.
// Closing them by a shutdown of the socket would make its handler see a disconnect.
TEST(socket_server, a_graceful_stop_is_not_reported_as_a_peer_disconnect)
{
    socket_server server({.listen = {.host = "127.0.0.1", .port = 0}});
    std::atomic<bool> runs = false;
    server.Get("/first", [&](const httplib::Request&, httplib::Response&) {
        runs = true;
        while (!server.is_stopping())
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(100ms);
    });
    server.Get("/second", [](const httplib::Request&, httplib::Response& res) {
        res.set_content(socket_server::peer_disconnected() ? "caller left" : "caller waits",
                        "text/plain");
    });
    ASSERT_TRUE(server.start());
    std::thread stop([&] {
        while (!runs)
            std::this_thread::sleep_for(1ms);
        server.stop_gracefully();
    });
    const std::string answers = exchange(server.address(),
                                         "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                                         "GET /second HTTP/1.1\r\nHost: a\r\n\r\n",
                                         after_sending::keep_open);
    stop.join();
    EXPECT_NE(answers.find("caller waits"), std::string::npos) << answers;
    // No FIN was received, so the server sent no probe.
    EXPECT_EQ(answers.find("102 Processing"), std::string::npos) << answers;
}

// The caller would send its next request into the close.
TEST(socket_server, an_answer_during_a_stop_to_a_request_from_before_it_announces_the_close)
{
    socket_server server({.listen = {.host = "127.0.0.1", .port = 0}});
    server.Get("/long", [&](const httplib::Request&, httplib::Response&) {
        while (!server.is_stopping())
            std::this_thread::sleep_for(1ms);
    });
    server.Get("/short", [&](const httplib::Request&, httplib::Response&) {});
    ASSERT_TRUE(server.start());
    auto answer = std::async(std::launch::async, [&] {
        return exchange(server.address(),
                        "GET /short HTTP/1.1\r\nHost: a\r\n\r\n"
                        "GET /long HTTP/1.1\r\nHost: a\r\n\r\n",
                        after_sending::keep_open);
    });
    while (server.open_connections() == 0)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(50ms);
    server.stop_gracefully();
    const std::string answers = answer.get();
    const std::size_t second = answers.rfind("HTTP/1.1 200");
    EXPECT_NE(second, 0U) << answers;
    EXPECT_LT(answers.find("Keep-Alive"), second) << answers;
    EXPECT_GT(answers.find("Connection: close\r\n"), second) << answers;
    EXPECT_NE(answers.find("Connection: close\r\n"), std::string::npos) << answers;
}

namespace {

// Whether the server detects within some checks that the peer of a long request has disconnected.
// The peer half-closes after its request; `after_half_close` gets the socket after the first probe.
bool detects_disconnect(const std::function<void(int)>& after_half_close)
{
    constexpr int checks = 20;
    socket_server server({.listen = {.host = "127.0.0.1", .port = 0}});
    std::promise<bool> detected;
    server.Get("/long", [&](const httplib::Request&, httplib::Response&) {
        bool disconnected = false;
        for (int n = 0; n < checks && !disconnected; ++n) {
            std::this_thread::sleep_for(20ms);
            disconnected = socket_server::peer_disconnected();
        }
        detected.set_value(disconnected);
    });
    EXPECT_TRUE(server.start());
    const int sock = connect_to(server.address());
    const std::string text = "GET /long HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ(send(sock, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    shutdown(sock, SHUT_WR);
    std::array<char, 256> buf{};
    EXPECT_GT(recv(sock, buf.data(), buf.size(), 0), 0);
    after_half_close(sock);
    const bool out = detected.get_future().get();
    server.stop_gracefully();
    return out;
}

} // namespace

TEST(socket_server, a_peer_that_closes_after_a_half_close_has_disconnected)
{
    EXPECT_TRUE(detects_disconnect([](int sock) { close(sock); }));
}

TEST(socket_server, a_half_closed_peer_that_still_reads_is_connected)
{
    int kept = -1;
    EXPECT_FALSE(detects_disconnect([&](int sock) { kept = sock; }));
    close(kept);
}
