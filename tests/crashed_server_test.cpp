// Backend servers whose process ends while it runs a request.

#include "gate_fixture.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

// Listens on a free port of a loopback address, which `address` receives.
int listen_on_loopback(endpoint& address)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in it{};
    it.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &it.sin_addr);
    socklen_t n = sizeof it;
    EXPECT_EQ(bind(sock, reinterpret_cast<const sockaddr*>(&it), sizeof it), 0);
    EXPECT_EQ(listen(sock, 8), 0);
    EXPECT_EQ(getsockname(sock, reinterpret_cast<sockaddr*>(&it), &n), 0);
    address = {.host = "127.0.0.1", .port = ntohs(it.sin_port)};
    return sock;
}

} // namespace

// Guards against a request that crashes servers and is not recognised, because a process that ends
// may close its connections before its listening socket.
TEST(crashed_server, is_recognised_although_it_still_accepts_connections_for_a_moment)
{
    endpoint address;
    const int listener = listen_on_loopback(address);
    gate_fixture gate{address, 4};
    std::thread server([listener] {
        const int connection = accept(listener, nullptr, nullptr);
        std::array<char, 4096> buf{};
        EXPECT_GT(recv(connection, buf.data(), buf.size(), 0), 0);
        close(connection);
    });
    EXPECT_EQ(gate.send("first"), "unknown; reason=backend_server_error");
    EXPECT_TRUE(gate.poison().victims().empty()) << "the server still listens";
    server.join();
    close(listener);
    const time_point end = boot_now() + 20s;
    while (gate.poison().victims().empty() && boot_now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_EQ(gate.poison().victims().size(), 1U);
}
