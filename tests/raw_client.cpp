#include "raw_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace jasminebank {

int connect_to(const endpoint& to)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(sock, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    return sock;
}

std::string exchange(const endpoint& to, const std::string& text, after_sending then)
{
    const int sock = connect_to(to);
    EXPECT_EQ(send(sock, text.data(), text.size(), MSG_NOSIGNAL), std::ssize(text));
    if (then == after_sending::half_close)
        shutdown(sock, SHUT_WR);
    std::string out;
    std::array<char, 4096> buf{};
    ssize_t n = 0;
    while ((n = recv(sock, buf.data(), buf.size(), 0)) > 0)
        out.append(buf.data(), static_cast<std::size_t>(n));
    close(sock);
    return out;
}

} // namespace jasminebank
