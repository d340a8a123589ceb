// The guarantee that a request runs at most once depends on this: when the peer closes a reused
// connection without an answer, cpp-httplib's client returns an error and does not resend the
// request.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace {

// When the server closes the connection during a request to /cut.
enum class cut_point : std::uint8_t {
    after_head,
    after_body,
    with_reset,
    inside_answer,
    inside_body
};

std::ostream& operator<<(std::ostream& out, cut_point it)
{
    constexpr std::array names{"after_head", "after_body", "with_reset", "inside_answer",
                               "inside_body"};
    return out << names[static_cast<std::size_t>(it)];
}

// A server on raw sockets that counts requests to /cut and never answers them completely. It
// answers all other requests with status 200.
class counting_server {
public:
    explicit counting_server(cut_point how) : how_(how)
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(0, bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address));
        listen(listener_, 16);
        socklen_t n = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    ~counting_server()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    int port() const { return port_; }
    int cut_requests() const { return cut_requests_; }
    int connections() const { return connections_; }

private:
    void serve()
    {
        for (int sock = 0; (sock = accept(listener_, nullptr, nullptr)) >= 0;) {
            ++connections_;
            while (serve_one(sock)) {
            }
            close(sock);
        }
    }

    // Reads until the received text contains `end`; false when the connection ended before.
    static bool read_until(int sock, std::string& text, const std::string& end)
    {
        char buf[4096];
        while (text.find(end) == std::string::npos) {
            const ssize_t n = recv(sock, buf, sizeof buf, 0);
            if (n <= 0)
                return false;
            text.append(buf, static_cast<std::size_t>(n));
        }
        return true;
    }

    static void write(int sock, const std::string& text)
    {
        send(sock, text.data(), text.size(), MSG_NOSIGNAL);
    }

    bool serve_one(int sock)
    {
        std::string text;
        if (!read_until(sock, text, "\r\n\r\n"))
            return false;
        if (text.find(" /cut ") == std::string::npos) {
            write(sock, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }
        ++cut_requests_;
        if (how_ != cut_point::after_head && text.find("GET") != 0)
            read_until(sock, text, "end of body");
        if (how_ == cut_point::with_reset) {
            const linger at_once{.l_onoff = 1, .l_linger = 0};
            setsockopt(sock, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        if (how_ == cut_point::inside_answer)
            write(sock, "HTTP/1.1 200 OK\r\nContent-");
        if (how_ == cut_point::inside_body)
            write(sock, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut");
        return false;
    }

    cut_point how_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<int> cut_requests_ = 0;
    std::atomic<int> connections_ = 0;
    std::thread thread_;
};

const std::string body = std::string(200'000, 'x') + "end of body";

bool provide_body(std::size_t offset, std::size_t /*length*/, httplib::DataSink& sink)
{
    return sink.write(body.data() + offset, body.size() - offset);
}

bool provide_chunks(std::size_t offset, httplib::DataSink& sink)
{
    if (offset >= body.size()) {
        sink.done();
        return true;
    }
    const std::size_t n = std::min<std::size_t>(body.size() - offset, 8192);
    return sink.write(body.data() + offset, n);
}

// One way to send a request.
struct send_method {
    std::string name;
    std::function<httplib::Result(httplib::Client&)> send;
};

const std::vector<send_method> send_methods{
    {"GET", [](auto& it) { return it.Get("/cut"); }},
    {"POST", [](auto& it) { return it.Post("/cut", body, "text/plain"); }},
    {"PUT", [](auto& it) { return it.Put("/cut", body, "text/plain"); }},
    {"PATCH", [](auto& it) { return it.Patch("/cut", body, "text/plain"); }},
    {"DELETE", [](auto& it) { return it.Delete("/cut", body, "text/plain"); }},
    {"POST streamed",
     [](auto& it) { return it.Post("/cut", body.size(), provide_body, "text/plain"); }},
    {"POST chunked", [](auto& it) { return it.Post("/cut", provide_chunks, "text/plain"); }},
    {"PUT chunked", [](auto& it) { return it.Put("/cut", provide_chunks, "text/plain"); }},
};

class cut_request : public testing::TestWithParam<cut_point> {};

} // namespace

TEST_P(cut_request, fails_without_a_resend_on_a_reused_connection)
{
    for (const send_method& it : send_methods) {
        SCOPED_TRACE(it.name);
        counting_server fake(GetParam());
        {
            httplib::Client client("127.0.0.1", fake.port());
            client.set_keep_alive(true);
            client.set_connection_timeout(5);
            client.set_read_timeout(5);
            for (int n = 0; n < 2; ++n)
                ASSERT_TRUE(client.Get("/whole"));
            ASSERT_EQ(fake.connections(), 1); // the connection is reused
            EXPECT_FALSE(it.send(client));
            EXPECT_EQ(fake.cut_requests(), 1);
            EXPECT_EQ(fake.connections(), 1);
            EXPECT_TRUE(client.Get("/whole")); // the next request opens a new connection
            EXPECT_EQ(fake.connections(), 2);
        }
        EXPECT_EQ(fake.cut_requests(), 1);
    }
}

INSTANTIATE_TEST_SUITE_P(resend, cut_request,
                         testing::Values(cut_point::after_head, cut_point::after_body,
                                         cut_point::with_reset, cut_point::inside_answer,
                                         cut_point::inside_body));
