// Many callers that stop reading or sending at one node. Guards against a process that buffers for
// all of them what it may buffer for one, and is ended because its memory is used up.

#include "process_fleet.h"
#include "system_clock.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t callers = 400;
// Memory of the smallest VM.
constexpr std::size_t max_memory = std::size_t{160} << 20;

// Connections that have sent `request` and do nothing more.
class stalled_callers {
public:
    stalled_callers(const endpoint& to, const std::string& request)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
        for (std::size_t n = 0; n < callers; ++n) {
            const int sock = socket(AF_INET, SOCK_STREAM, 0);
            socks_.push_back(sock);
            const bool is_sent =
                connect(sock, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                send(sock, request.data(), request.size(), MSG_NOSIGNAL) ==
                    static_cast<ssize_t>(request.size());
            EXPECT_TRUE(is_sent);
        }
    }
    ~stalled_callers()
    {
        for (const int it : socks_)
            close(it);
    }
    stalled_callers(const stalled_callers&) = delete;
    stalled_callers& operator=(const stalled_callers&) = delete;

private:
    std::vector<int> socks_;
};

std::string head(const std::string& method, const std::string& path, const std::string& fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + honey_key +
           "\r\n" + fields + "\r\n";
}

// The greatest memory of any node once it has not grown for a while.
std::size_t settled_peak(process_fleet& fleet)
{
    std::size_t peak = 0;
    int unchanged = 0;
    for (int n = 0; n < 150 && unchanged < 15; ++n) {
        std::this_thread::sleep_for(200ms);
        std::size_t now = 0;
        for (std::size_t node = 0; node < fleet_nodes; ++node)
            now = std::max(now, fleet.node(node).peak_memory());
        unchanged = now > peak ? 0 : unchanged + 1;
        peak = now;
    }
    return peak;
}

} // namespace

TEST(stalled_callers, of_long_answers_share_the_memory_of_the_process)
{
    process_fleet fleet({.services = {{.name = "lids", .timeout = "60s"}}, .slots = callers});
    const stalled_callers all(fleet.callers(0), head("GET", "/lids/1?size=60000000", ""));
    const std::size_t peak = settled_peak(fleet);
    EXPECT_LT(peak, max_memory);
    EXPECT_GT(peak, std::size_t{30} << 20) << "the answers arrived";
}

TEST(stalled_callers, of_uploads_share_the_memory_of_the_process)
{
    process_fleet fleet({.services = {{.name = "orders", .method = "POST", .timeout = "60s"}},
                         .extra_node_settings = "buffered_body_bytes = 524288\n",
                         .slots = callers});
    constexpr std::size_t length = 500'000;
    const stalled_callers all(
        fleet.callers(0),
        head("POST", "/orders/1", "Content-Length: " + std::to_string(length) + "\r\n") +
            std::string(length - 1, 'x'));
    const std::size_t peak = settled_peak(fleet);
    EXPECT_LT(peak, max_memory);
    EXPECT_GT(peak, std::size_t{30} << 20) << "the bodies arrived";
}
