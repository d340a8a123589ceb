// Faulty backend servers of a fleet of real nodes: they answer an upload before they have read it,
// or with a status that no HTTP answer may have. No such answer may reach the caller as whole.

#include "process_fleet.h"
#include "raw_client.h"
#include "raw_server.h"
#include "system_clock.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

using namespace jasminebank;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_bytes = 400'000;
constexpr duration quiet = 300ms; // longer than any pause of the fleet within an upload
// The caller goes on with its upload this long after the server has answered, so that the answer
// and the close have arrived at the node.
constexpr duration answer_time = 300ms;
const std::string answer_head = "HTTP/1.1 200 OK\r\n\r\n";

std::string service_of(std::size_t number)
{
    return fmt::format("raw{}", number);
}

// Each case has a service of its own, since a faulty backend server is ejected.
fleet_options options_for(std::size_t cases)
{
    fleet_options out{.services = {{.name = "lids"}},
                      .extra_node_settings = "announcement_ttl = 1min\n"};
    for (std::size_t n = 0; n < cases; ++n)
        out.extra_configuration += fmt::format("[service {0}]\ntimeout = 6s\n[route {0}]\n"
                                               "path = /{0}/\nmethods = POST\nservice = {0}\n",
                                               service_of(n));
    return out;
}

void announce(const process_fleet& fleet, const raw_server& server, std::size_t number)
{
    httplib::Client client(fleet.control(0).host, fleet.control(0).port);
    const nlohmann::json body{
        {"service", service_of(number)}, {"address", to_string(server.address())}, {"slots", 4}};
    const auto answer = client.Post("/announce", body.dump(), "application/json");
    ASSERT_TRUE(answer && answer->status == 200);
}

std::string head_of(std::size_t number, const std::string& framing)
{
    return fmt::format("POST /{}/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n"
                       "Connection: close\r\n{}\r\n\r\n",
                       service_of(number), honey_key, framing);
}

bool is_whole_success(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 ") &&
           (answer.ends_with("\r\n0\r\n\r\n") || answer.find("Content-Length: ") < answer.size());
}

void send_all(int sock, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t n = send(sock, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return; // the node may refuse the rest
        text.remove_prefix(static_cast<std::size_t>(n));
    }
}

// Sends half of an upload, the rest once `answered` holds, and returns the answer.
std::string upload(const endpoint& to, std::size_t number, bool is_chunked,
                   const std::atomic<bool>& answered)
{
    const std::string half(upload_bytes / 2, 'u');
    const std::string part = is_chunked ? fmt::format("{:x}\r\n{}\r\n", half.size(), half) : half;
    const int sock = connect_to(to);
    send_all(sock, head_of(number, is_chunked ? "Transfer-Encoding: chunked"
                                              : fmt::format("Content-Length: {}", upload_bytes)));
    send_all(sock, part);
    EXPECT_TRUE(wait_until([&] { return answered.load(); }));
    std::this_thread::sleep_for(answer_time);
    send_all(sock, part + (is_chunked ? "0\r\n\r\n" : ""));
    std::string out;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = recv(sock, buf.data(), buf.size(), 0)) > 0;)
        out.append(buf.data(), static_cast<std::size_t>(n));
    close(sock);
    return out;
}

enum class ending : std::uint8_t { close, reset, end_sending };

struct early_case {
    const char* name;
    std::size_t body_bytes;
    bool reads; ///< what has arrived, before the close; a reset follows a close with unread bytes
    ending end;
};

// The long body exceeds the receive window, so that its end does not arrive during the upload, and
// what the entry receives before it forwards the head: the caller's answer breaks off. The server
// that never reads ends its answer once the node has written the whole upload to its socket.
constexpr std::array early_cases{
    early_case{"closes with unread bytes", 14, false, ending::close},
    early_case{"resets", 14, false, ending::reset},
    early_case{"closes without unread bytes", 14, true, ending::close},
    early_case{"ends its answer and reads on", 14, true, ending::end_sending},
    early_case{"ends a long answer and reads on", 150'014, true, ending::end_sending},
    early_case{"ends its answer and never reads", 14, false, ending::end_sending},
};

void answer_early(raw_connection& to, const early_case& it, std::atomic<bool>& answered)
{
    const bool never_reads = !it.reads && it.end == ending::end_sending;
    answered = never_reads;
    if (never_reads)
        std::this_thread::sleep_for(3 * answer_time);
    to.send(answer_head + std::string(it.body_bytes, 'a'));
    if (it.end == ending::reset)
        to.reset_on_close();
    if (it.end == ending::end_sending)
        to.end_sending();
    if (it.reads)
        to.discard_until_quiet(quiet);
    answered = true;
    if (never_reads)
        std::this_thread::sleep_for(2 * answer_time);
    else if (it.end == ending::end_sending)
        to.discard_until_quiet(2 * answer_time + quiet);
}

} // namespace

// Guards against an answer that was cut by a failing server and reaches the caller as complete:
// without a length, only the close marks its end.
TEST(early_answer, does_not_reach_the_caller_as_whole)
{
    const process_fleet fleet(options_for(2 * early_cases.size()));
    for (std::size_t n = 0; n < 2 * early_cases.size(); ++n) {
        const early_case& it = early_cases.at(n / 2);
        const bool is_chunked = n % 2 == 1;
        std::atomic<bool> answered = false;
        const raw_server server("127.0.0.1", 10s,
                                [&](raw_connection& to) { answer_early(to, it, answered); });
        announce(fleet, server, n);
        const std::string answer = upload(fleet.callers(0), n, is_chunked, answered);
        EXPECT_FALSE(is_whole_success(answer))
            << it.name << (is_chunked ? ", chunks: " : ", length: ") << answer;
        EXPECT_NE(answer, "");
    }
}

// Guards against a sound answer without a length that is taken for a cut one: it begins before or
// after the upload, and ends after it.
TEST(early_answer, is_whole_from_a_server_that_read_the_upload)
{
    const process_fleet fleet(options_for(4));
    for (std::size_t n = 0; n < 4; ++n) {
        std::atomic<bool> answered = false;
        const raw_server server("127.0.0.1", 10s, [&](raw_connection& it) {
            if (n >= 2)
                it.send(answer_head + "begin");
            std::size_t received = it.discard_until_quiet(quiet);
            answered = true;
            received += it.discard_until_quiet(2 * answer_time + quiet);
            EXPECT_GE(received, upload_bytes - 4096); // some came along with the head
            it.send(n >= 2 ? "end" : answer_head + "whole");
        });
        announce(fleet, server, n);
        const std::string answer = upload(fleet.callers(0), n, n % 2 == 1, answered);
        EXPECT_TRUE(is_whole_success(answer)) << n << answer;
    }
}

// Guards against a status outside 100 to 599, which the caller's program may not expect, and
// against an interim answer that is passed on as the final one.
TEST(impossible_status, is_answered_with_502)
{
    const std::vector<std::string> statuses{"000", "007", "099", "100",  "199",
                                            "600", "999", "20",  "2000", "2x0"};
    const process_fleet fleet(options_for(statuses.size()));
    for (std::size_t n = 0; n < statuses.size(); ++n) {
        const raw_server server("127.0.0.1", 10s, [&](raw_connection& it) {
            it.send(fmt::format("HTTP/1.1 {} Odd\r\nContent-Length: 2\r\n\r\nok", statuses[n]));
        });
        announce(fleet, server, n);
        const std::string answer =
            exchange(fleet.callers(0), head_of(n, "Content-Length: 0"), after_sending::keep_open);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << statuses[n] << ": " << answer;
        EXPECT_NE(answer.find("unknown; reason="), std::string::npos) << answer;
    }
}
