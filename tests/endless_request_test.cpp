// Callers that send an endless request, or send it too slowly to ever complete it.

#include "process_fleet.h"
#include "socket_server.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

struct caller_result {
    std::string answer; ///< first bytes of the answer; empty if the connection was only closed
    std::size_t sent = 0;
    bool has_ended = false;
};

// Sends `first`, then `repeated` with a `pause` in between, until the server answers or closes the
// connection.
caller_result send_without_end(const endpoint& to, const std::string& first,
                               const std::string& repeated, duration pause, duration timeout)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    caller_result out;
    if (connect(sock, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(sock);
        return out;
    }
    constexpr std::size_t most_bytes = std::size_t{64} << 20;
    const std::string* text = &first;
    for (const time_point end = boot_now() + timeout; !out.has_ended && boot_now() < end;) {
        pollfd it{.fd = sock, .events = POLLIN, .revents = 0};
        if (poll(&it, 1, 0) > 0) {
            std::array<char, 1024> buf{};
            const ssize_t n = recv(sock, buf.data(), buf.size(), 0);
            out.answer.assign(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            out.has_ended = true;
        }
        else {
            const ssize_t n = send(sock, text->data(), text->size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            out.sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
            std::this_thread::sleep_for(n > 0 && out.sent < most_bytes ? pause : 20ms);
            text = &repeated;
        }
    }
    close(sock);
    return out;
}

} // namespace

TEST(endless_request, body_without_end_is_read_until_the_deadline)
{
    process_fleet fleet({.services = {{.name = "orders", .method = "POST", .timeout = "1s"}}});
    const std::string head =
        "POST /orders/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + honey_key + "\r\n";
    struct body {
        std::string name;
        std::string head;
        std::string repeated;
    };
    for (const body& it : {body{"of a small length", "Content-Length: 1000\r\n\r\n", "x"},
                           body{"of a large length", "Content-Length: 100000000\r\n\r\n", "x"},
                           body{"in chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}}) {
        SCOPED_TRACE(it.name);
        const caller_result result =
            send_without_end(fleet.callers(0), head + it.head, it.repeated, 50ms, 12s);
        EXPECT_TRUE(result.has_ended);
        EXPECT_TRUE(result.answer.empty() || result.answer.starts_with("HTTP/1.1 504"))
            << result.answer;
    }
}

TEST(endless_request, chunk_header_size_is_bounded)
{
    socket_server server({.listen = {.host = "127.0.0.1", .port = 0}});
    server.Post("/", [](const httplib::Request&, httplib::Response& res,
                        const httplib::ContentReader& reader) {
        const bool whole = reader([](const char*, std::size_t) { return true; });
        res.status = whole ? 200 : 400;
        socket_server::close_after_answer(res);
    });
    ASSERT_TRUE(server.start());
    const caller_result result = send_without_end(
        server.address(), "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        std::string(16384, 'x'), 0ms, 12s);
    EXPECT_TRUE(result.has_ended);
    EXPECT_LT(result.sent, std::size_t{32} << 20);
}

// The regular expressions of the standard library, which match paths, recurse once per byte.
TEST(endless_request, a_long_path_does_not_overflow_the_stack)
{
    socket_server server({.listen = {.host = "127.0.0.1", .port = 0}});
    server.Get("/a/([^/]+)", [](const httplib::Request&, httplib::Response& res) {
        res.set_content("a", "text/plain");
    });
    ASSERT_TRUE(server.start());
    httplib::Client client(server.address().host, server.address().port);
    const auto answer = client.Get("/a/" + std::string(8000, 'x'));
    EXPECT_TRUE(answer && answer->status == 404);
    const auto next = client.Get("/a/x");
    EXPECT_TRUE(next && next->status == 200);
}
