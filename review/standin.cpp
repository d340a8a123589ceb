// Stand-ins for the cases under review/: the platform's store, an upstream and its clients. They
// speak the users' protocol. `standin VERB --name value ...`; see `main` for the verbs.

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using json = nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t max_message_bytes = 64UL * 1024 * 1024;

// Milliseconds of the monotonic clock, the same for all processes of a machine.
long long now_ms()
{
    const auto it = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

void sleep_ms(long long n)
{
    if (n > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

// ---- options and the record ------------------------------------------------------------------

std::map<std::string, std::string> options;

std::string text(const std::string& name, const std::string& fallback = {})
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

long long number(const std::string& name, long long fallback)
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : std::atoll(it->second.c_str());
}

// Appends a line with the time to the record, which several processes write to.
void record(const std::string& line)
{
    static std::mutex mutex;
    static std::FILE* const out = [] {
        const std::string path = text("record");
        return path.empty() ? stdout : std::fopen(path.c_str(), "a");
    }();
    const std::lock_guard lock(mutex);
    std::fprintf(out, "%lld %s\n", now_ms(), line.c_str());
    std::fflush(out);
}

// ---- sockets ---------------------------------------------------------------------------------

sockaddr_in address_of(const std::string& it)
{
    const std::size_t colon = it.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(it.c_str() + colon + 1)));
    inet_pton(AF_INET, it.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

int connect_to(const std::string& where)
{
    const sockaddr_in it = address_of(where);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&it), sizeof it) != 0) {
        close(fd);
        return -1;
    }
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

int listen_at(const std::string& where)
{
    const sockaddr_in it = address_of(where);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&it), sizeof it) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool send_all(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads one HTTP message after another from a socket.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::vector<std::string> lines;
    std::string body;
    bool is_whole = false;

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

class message_reader {
public:
    explicit message_reader(int fd) : fd_(fd) {}

    // False if the connection ends before a whole head.
    bool read_head(message& out)
    {
        while (in_.find("\r\n\r\n") == std::string::npos) {
            if (!fill())
                return false;
        }
        const std::size_t end = in_.find("\r\n\r\n");
        std::istringstream head(in_.substr(0, end));
        in_.erase(0, end + 4);
        std::string line;
        out = {};
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (out.first_line.empty()) {
                out.first_line = line;
                continue;
            }
            out.lines.push_back(line);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t from = line.find_first_not_of(" \t", colon + 1);
            out.fields[name] = from == std::string::npos ? "" : line.substr(from);
        }
        return true;
    }

    // Reads the body by its length or in chunks; without either, to the end if `until_end`.
    bool read_body(message& out, bool until_end = false)
    {
        if (out.field("transfer-encoding") == "chunked")
            return out.is_whole = read_chunks(out.body);
        const std::string length = out.field("content-length");
        if (!length.empty())
            return out.is_whole = take(std::strtoull(length.c_str(), nullptr, 10), out.body);
        while (until_end && fill()) {
        }
        if (until_end)
            out.body = std::exchange(in_, {});
        return out.is_whole = true;
    }

    std::size_t buffered() const { return in_.size(); }

private:
    bool fill()
    {
        char buf[16384];
        const ssize_t n = in_.size() > max_message_bytes ? 0 : recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        in_.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    bool take(std::size_t n, std::string& out)
    {
        while (in_.size() < n && fill()) {
        }
        out += in_.substr(0, n);
        const bool whole = in_.size() >= n;
        in_.erase(0, n);
        return whole;
    }

    bool read_chunks(std::string& out)
    {
        while (true) {
            while (in_.find("\r\n") == std::string::npos) {
                if (!fill())
                    return false;
            }
            const std::size_t end = in_.find("\r\n");
            const std::size_t n = std::strtoull(in_.substr(0, end).c_str(), nullptr, 16);
            in_.erase(0, end + 2);
            std::string line_end;
            if (!take(n, out) || !take(2, line_end))
                return false;
            if (n == 0)
                return true;
        }
    }

    int fd_;
    std::string in_;
};

// ---- the platform's store --------------------------------------------------------------------

std::string base64(const std::string& in)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (n + k < in.size() ? static_cast<unsigned char>(in[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k <= in.size() ? digits[bits >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

struct item {
    std::string value; // base64
    long long rev = 0;
    long long created = 0;
    unsigned long long lease = 0;
};

class store {
public:
    void run()
    {
        server_.new_task_queue = [] { return new httplib::ThreadPool(64); };
        server_.set_tcp_nodelay(true);
        server_.Get("/v1/kv-key", [this](const auto& req, auto& res) { read_key(req, res); });
        server_.Get("/v1/kv-range", [this](const auto& req, auto& res) { read_range(req, res); });
        server_.Post("/v1/kv-txn", [this](const auto& req, auto& res) { transact(req, res); });
        server_.Post("/v1/kv-lease", [this](const auto& req, auto& res) { grant(req, res); });
        server_.Post(R"(/v1/kv-keep/(\d+))",
                     [this](const auto& req, auto& res) { keep(req, res); });
        server_.Delete(R"(/v1/kv-lease-end/(\d+))",
                       [this](const auto& req, auto& res) { end(req, res); });
        // For the script: the operator's write, which answers with the time of the confirmation.
        server_.Post("/test/config", [this](const auto& req, auto& res) {
            const std::lock_guard lock(mutex_);
            put("op/config", base64(req.body), 0);
            record("store confirmed version=" + json::parse(req.body).at("version").dump());
            res.set_content("{}", "application/json");
        });
        server_.Post("/test/delay", [this](const auto& req, auto& res) {
            delay_ms_ = std::atoll(req.body.c_str());
            res.set_content("{}", "application/json");
        });
        server_.set_pre_routing_handler([this](const auto& req, auto&) {
            if (req.path.rfind("/v1/", 0) == 0)
                sleep_ms(4 + delay_ms_);
            return httplib::Server::HandlerResponse::Unhandled;
        });
        server_.listen("127.0.0.1", static_cast<int>(number("port", 0)));
    }

private:
    static json shown(const std::string& key, const item& it)
    {
        return {{"key", key},
                {"value", it.value},
                {"rev", it.rev},
                {"created_rev", it.created},
                {"lease", it.lease}};
    }
    void put(const std::string& key, const std::string& value, unsigned long long lease)
    {
        ++rev_;
        item& it = items_[key];
        it = {value, rev_, it.created == 0 ? rev_ : it.created, lease};
    }
    // Requires the lock. Removes the keys of leases that have ended.
    void expire()
    {
        for (auto it = leases_.begin(); it != leases_.end();)
            it = it->second.first <= now_ms() ? drop(it) : std::next(it);
    }
    std::map<unsigned long long, std::pair<long long, double>>::iterator
    drop(std::map<unsigned long long, std::pair<long long, double>>::iterator lease)
    {
        const auto n =
            std::erase_if(items_, [&](const auto& it) { return it.second.lease == lease->first; });
        rev_ += n > 0 ? 1 : 0;
        return leases_.erase(lease);
    }
    void read_key(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        expire();
        const auto it = items_.find(req.get_param_value("key"));
        if (it == items_.end()) {
            res.status = 404;
            return;
        }
        json out = shown(it->first, it->second);
        out["as_of"] = rev_;
        res.set_content(out.dump(), "application/json");
    }
    void read_range(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        expire();
        const std::string prefix = req.get_param_value("prefix");
        json found = json::array();
        for (const auto& [key, it] : items_) {
            if (key.rfind(prefix, 0) == 0 && key > req.get_param_value("after"))
                found.push_back(shown(key, it));
        }
        res.set_content(json{{"items", found}, {"truncated", false}, {"as_of", rev_}}.dump(),
                        "application/json");
    }
    void transact(const httplib::Request& req, httplib::Response& res)
    {
        const json in = json::parse(req.body);
        const std::lock_guard lock(mutex_);
        expire();
        bool good = true;
        json found = json::array();
        for (const json& it : in.value("expected", json::array())) {
            const auto at = items_.find(it.at("key"));
            good &= (at == items_.end() ? 0 : at->second.rev) == it.at("rev").get<long long>();
            found.push_back(at == items_.end() ? json{{"key", it.at("key")}, {"rev", 0}}
                                               : shown(at->first, at->second));
        }
        if (!good) {
            res.status = 412;
            res.set_content(json{{"items", found}}.dump(), "application/json");
            return;
        }
        for (const json& it : in.value("writes", json::array())) {
            const auto lease = it.value("lease", 0ULL);
            if (lease != 0 && leases_.count(lease) == 0) {
                res.status = 404;
                return;
            }
        }
        for (const json& it : in.value("writes", json::array()))
            put(it.at("key"), it.at("value"), it.value("lease", 0ULL));
        for (const json& it : in.value("deletes", json::array()))
            rev_ += items_.erase(it) > 0 ? 1 : 0;
        res.set_content(json{{"rev", rev_}}.dump(), "application/json");
    }
    void grant(const httplib::Request& req, httplib::Response& res)
    {
        const double ttl = json::parse(req.body).at("ttl_s_time");
        const std::lock_guard lock(mutex_);
        const unsigned long long id = ++next_lease_;
        leases_[id] = {now_ms() + static_cast<long long>(ttl * 1000), ttl};
        res.set_content(json{{"lease", id}, {"ttl_s_time", ttl}}.dump(), "application/json");
    }
    void keep(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        expire();
        const auto it = leases_.find(std::strtoull(req.matches[1].str().c_str(), nullptr, 10));
        if (it == leases_.end()) {
            res.status = 404;
            return;
        }
        it->second.first = now_ms() + static_cast<long long>(it->second.second * 1000);
        res.set_content(json{{"ttl_s_time", it->second.second}}.dump(), "application/json");
    }
    void end(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        const auto it = leases_.find(std::strtoull(req.matches[1].str().c_str(), nullptr, 10));
        if (it == leases_.end())
            res.status = 404;
        else
            drop(it);
    }

    httplib::Server server_;
    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::map<unsigned long long, std::pair<long long, double>> leases_; // end, seconds
    unsigned long long next_lease_ = 77000;
    long long rev_ = 1;
    std::atomic<long long> delay_ms_{0};
};

// ---- an upstream -----------------------------------------------------------------------------

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const std::size_t at = target.find('?');
    std::istringstream in(at == std::string::npos ? "" : target.substr(at + 1));
    std::string part;
    while (std::getline(in, part, '&')) {
        const std::size_t equals = part.find('=');
        out[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return out;
}

std::size_t hash_of(const std::string& it)
{
    return std::hash<std::string>()(it);
}

// The body of the answer to a request: its id again and again.
std::string body_for(const std::string& id, std::size_t size)
{
    std::string out;
    while (out.size() < size)
        out += id + ",";
    return out.substr(0, size);
}

// Serves one connection. The query of a request tells what it does: `work` milliseconds, `size`
// bytes of body, of which `part` come `pause` milliseconds before the rest. With `short`, that many
// bytes of the answer are missing, and a copy of the last answer on the connection follows. With
// `crash`, the upstream ends at once.
class upstream {
public:
    void run()
    {
        const int listener = listen_at(text("listen"));
        if (listener < 0) {
            std::cerr << "cannot listen at " << text("listen") << '\n';
            std::exit(2);
        }
        std::thread([this] { announce(); }).detach();
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    std::atomic<bool> draining{false};
    std::atomic<bool> withdrawn{false};

private:
    void serve(int fd)
    {
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        message_reader in(fd);
        message it;
        std::string last_answer;
        while (in.read_head(it) && answer(fd, in, it, last_answer)) {
        }
        close(fd);
    }

    bool answer(int fd, message_reader& in, message& it, std::string& last_answer)
    {
        std::istringstream line(it.first_line);
        std::string method;
        std::string target;
        line >> method >> target;
        const std::string id = it.field("jasminebank-request-id");
        const std::string expected = it.field("jasminebank-expected-instance");
        auto query = query_of(target);
        if (target == "/healthz")
            return send_all(fd, "HTTP/1.1 200 OK\r\nJasminebank-Instance-Id: " + text("id") +
                                    "\r\nContent-Length: 0\r\n\r\n");
        if (!expected.empty() && expected != text("id")) {
            in.read_body(it);
            record("upstream " + text("id") + " misdirected request=" + id);
            return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nJasminebank-Request-Id: " +
                                    id + "\r\nJasminebank-Instance-Id: " + text("id") +
                                    "\r\nContent-Length: 0\r\n\r\n");
        }
        record("upstream " + text("id") + " reached request=" + id + " " + method + " " + target +
               " tenant=" + it.field("jasminebank-tenant-id") +
               " caller=" + it.field("jasminebank-caller-service") + " expected=" + expected +
               " deadline=" + it.field("jasminebank-deadline-ms"));
        if (!in.read_body(it)) {
            record("upstream " + text("id") + " cut request=" + id +
                   " after_body_bytes=" + std::to_string(it.body.size()));
            return false;
        }
        record("upstream " + text("id") + " begins request=" + id + " " + target +
               " body=" + std::to_string(it.body.size()) + "/" + std::to_string(hash_of(it.body)));
        if (query.count("crash") > 0) {
            record("upstream " + text("id") + " crashes request=" + id);
            _exit(70);
        }
        if (!work(fd, std::atoll(query["work"].c_str()))) {
            record("upstream " + text("id") + " dropped request=" + id);
            return false;
        }
        const std::string body = body_for(id, std::strtoull(query["size"].c_str(), nullptr, 10));
        const std::size_t part =
            query.count("part") ? std::strtoull(query["part"].c_str(), nullptr, 10) : body.size();
        const std::string whole =
            "HTTP/1.1 200 OK\r\nJasminebank-Request-Id: " + id +
            "\r\nJasminebank-Server-Signature: 3e1b." + id +
            "\r\nJasminebank-Server-Load: 1,0,4\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        const std::size_t missing = std::strtoull(query["short"].c_str(), nullptr, 10);
        if (missing > 0) {
            send_all(fd, whole.substr(0, whole.size() - missing));
            sleep_ms(std::atoll(query["pause"].c_str()));
            send_all(fd, last_answer);
            record("upstream " + text("id") + " truncated request=" + id + " by " +
                   std::to_string(missing) + " bytes, then sent " +
                   std::to_string(last_answer.size()) + " bytes of its last answer again");
            sleep_ms(100);
            return false;
        }
        last_answer = whole;
        bool good = send_all(fd, whole.substr(0, whole.size() - body.size() + part));
        sleep_ms(part < body.size() ? std::atoll(query["pause"].c_str()) : 0);
        good = good && send_all(fd, body.substr(part));
        record("upstream " + text("id") + (good ? " answered" : " lost_caller") + " request=" + id +
               " answer_bytes=" + std::to_string(body.size()));
        return good;
    }

    // False if the connection is closed meanwhile: most upstreams then drop the request.
    static bool work(int fd, long long n)
    {
        const long long end = now_ms() + n;
        while (now_ms() < end) {
            pollfd it{.fd = fd, .events = POLLRDHUP, .revents = 0};
            if (poll(&it, 1, static_cast<int>(std::max<long long>(end - now_ms(), 0))) > 0)
                return false;
        }
        return true;
    }

    static int post(const std::string& path, const std::string& body)
    {
        const std::string to = text("control");
        const std::size_t colon = to.rfind(':');
        httplib::Client client(to.substr(0, colon), std::atoi(to.c_str() + colon + 1));
        client.set_read_timeout(1s);
        client.set_connection_timeout(1s);
        const auto res = client.Post(path, body, "application/json");
        return res ? res->status : 0;
    }

    std::string check_in(bool drains)
    {
        return json{{"address", text("address", text("listen"))},
                    {"born", born_},
                    {"info",
                     {{"service", text("service")},
                      {"version", "v1"},
                      {"zone", text("zone")},
                      {"slots", number("slots", 4)}}},
                    {"status",
                     {{"state", drains ? "draining" : "ready"},
                      {"sequence", ++sequence_},
                      {"warmup_left_s", 0}}}}
            .dump();
    }

    // Checks in every 1.5 s. After SIGUSR1 it says that it drains; after SIGUSR2 it leaves by a
    // call to Deregister, which it repeats until it is confirmed. With `late`, the check-in that is
    // on its way at SIGUSR2 arrives that many milliseconds later, on a connection of its own.
    void announce()
    {
        const std::string beat = "/v1/Instances.Heartbeat/" + text("id");
        long long next = 0;
        bool was_ready = false;
        for (;; sleep_ms(20)) {
            if (withdrawn && number("late", 0) > 0 && !is_late_sent_) {
                is_late_sent_ = true;
                std::thread([this, beat, body = check_in(false)] {
                    record("upstream " + text("id") + " sends the late check-in");
                    sleep_ms(number("late", 0));
                    record("upstream " + text("id") +
                           " late check-in status=" + std::to_string(post(beat, body)));
                }).detach();
                next = 0;
            }
            if (now_ms() < next)
                continue;
            next = now_ms() + 1500;
            if (withdrawn) {
                const int status =
                    post("/v1/Instances.Deregister/" + text("id"), json{{"born", born_}}.dump());
                record("upstream " + text("id") + " deregister status=" + std::to_string(status));
                if (status == 200)
                    return;
                continue;
            }
            const bool drains = draining;
            const int status = post(beat, check_in(drains));
            if (drains || !was_ready)
                record("upstream " + text("id") + (drains ? " draining" : " ready") +
                       " status=" + std::to_string(status));
            was_ready = !drains && status == 200;
        }
    }

    const long long born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    long long sequence_ = 0;
    bool is_late_sent_ = false;
};

// ---- clients ---------------------------------------------------------------------------------

struct request_plan {
    std::string id;
    long long body_bytes = 0;
};

std::string head_of(const request_plan& it, bool chunked)
{
    std::string out = text("method", "GET") + " " + text("target", "/") +
                      " HTTP/1.1\r\nHost: " + text("host") +
                      "\r\nJasminebank-Request-Id: " + it.id +
                      "\r\nJasminebank-Deadline-Ms: " + text("deadline", "8000") + "\r\n";
    if (!text("key").empty())
        out += "Authorization: Bearer " + text("key") + "\r\n";
    if (chunked)
        out += "Transfer-Encoding: chunked\r\n";
    else if (text("method", "GET") != "GET")
        out += "Content-Length: " + std::to_string(it.body_bytes) + "\r\n";
    return out + "\r\n";
}

bool send_body(int fd, const request_plan& it, bool chunked)
{
    const std::string body(static_cast<std::size_t>(it.body_bytes), 'a');
    const std::size_t step = 16384;
    for (std::size_t n = 0; n < body.size(); n += step) {
        const std::string part = body.substr(n, step);
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        if (!send_all(fd, chunked ? size + part + "\r\n" : part))
            return false;
        sleep_ms(number("body-gap", 0));
    }
    return !chunked || send_all(fd, "0\r\n\r\n");
}

// Sends `count` requests one after another; with `keep`, on one connection. The pause between them
// is `gap` milliseconds, a half less or more.
void run_client(const std::string& name)
{
    std::minstd_rand random(static_cast<unsigned>(hash_of(name)));
    const auto pause = [&] {
        const long long gap = number("gap", 0);
        sleep_ms(gap / 2 + (gap > 0 ? static_cast<long long>(random()) % gap : 0));
    };
    const bool chunked = text("chunked") == "1";
    int fd = -1;
    std::optional<message_reader> in;
    for (long long n = 0; n < number("count", 1); ++n) {
        const request_plan it{name + "-" + std::to_string(n), number("body", 0)};
        if (fd < 0) {
            fd = connect_to(text("to"));
            if (fd < 0) {
                record("client no_connection request=" + it.id);
                pause();
                continue;
            }
            in.emplace(fd);
        }
        timeval limit{.tv_sec = number("deadline", 8000) / 1000 + 1, .tv_usec = 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        const long long start = now_ms();
        record("client sends request=" + it.id);
        const bool sent = send_all(fd, head_of(it, chunked)) && send_body(fd, it, chunked);
        message answer;
        bool has_head = in->read_head(answer);
        while (has_head && answer.first_line.rfind("HTTP/1.1 1", 0) == 0)
            has_head = in->read_head(answer);
        const bool whole = has_head && in->read_body(answer);
        record("client " +
               std::string(!has_head ? "no_answer"
                           : whole   ? "answer"
                                     : "cut_answer") +
               " request=" + it.id + " sent=" + (sent ? "whole" : "part") + " line=\"" +
               answer.first_line + "\" bytes=" + std::to_string(answer.body.size()) + "/" +
               answer.field("content-length") +
               " signed=" + (answer.field("jasminebank-server-signature").empty() ? "no" : "yes") +
               " body=" + (answer.body == body_for(it.id, answer.body.size()) ? "own" : "other") +
               " note=\"" + answer.field("jasmine-outcome") + "\"" +
               " ms=" + std::to_string(now_ms() - start));
        if (!whole || text("keep") != "1" || answer.field("connection") == "close") {
            close(fd);
            fd = -1;
        }
        pause();
    }
    if (fd >= 0)
        close(fd);
}

// ---- a proxy before an upstream --------------------------------------------------------------

// Forwards connections to the address in the file `to-file`. After SIGUSR1 the machine behind it is
// dark: what is open stays open, but nothing passes any more, and what connects gets no answer.
// After SIGUSR2 new connections go to the address that the file holds then; the old ones stay
// silent.
class proxy {
public:
    void run()
    {
        const int listener = listen_at(text("listen"));
        if (listener < 0)
            std::exit(2);
        while (true) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { forward(fd, epoch); }).detach();
        }
    }

    std::atomic<int> epoch{0}; // odd while the machine is dark

private:
    void forward(int fd, int born)
    {
        std::ifstream in(text("to-file"));
        std::string to;
        in >> to;
        const int other = born % 2 == 0 ? connect_to(to) : -1;
        std::array<pollfd, 2> it{pollfd{.fd = fd, .events = POLLIN, .revents = 0},
                                 pollfd{.fd = other, .events = POLLIN, .revents = 0}};
        const bool refused = born % 2 == 0 && other < 0;
        bool open = !refused;
        while (open) {
            if (epoch != born) {
                sleep_ms(20); // silent for good: whatever comes is lost
                continue;
            }
            if (poll(it.data(), it.size(), 20) <= 0 || epoch != born)
                continue;
            open =
                (it[0].revents == 0 || pass(fd, other)) && (it[1].revents == 0 || pass(other, fd));
        }
        close(fd);
        if (other >= 0)
            close(other);
    }

    static bool pass(int from, int to)
    {
        char buf[65536];
        const ssize_t n = recv(from, buf, sizeof buf, 0);
        return n > 0 && send_all(to, std::string(buf, static_cast<std::size_t>(n)));
    }
};

// Prints free ports of the loopback interface.
void print_ports()
{
    std::vector<int> fds;
    for (long long n = 0; n < number("count", 1); ++n) {
        const int fd = listen_at("127.0.0.1:0");
        sockaddr_in it{};
        socklen_t size = sizeof it;
        getsockname(fd, reinterpret_cast<sockaddr*>(&it), &size);
        std::printf("%d\n", ntohs(it.sin_port));
        fds.push_back(fd);
    }
    for (const int fd : fds)
        close(fd);
}

// Sends one call and prints its status and body; for scripts. Exits with 1 if there is no answer.
int call()
{
    std::string body = text("body");
    if (!text("body-file").empty()) {
        std::ifstream in(text("body-file"));
        body.assign(std::istreambuf_iterator<char>(in), {});
    }
    const std::string to = text("to");
    const std::size_t colon = to.rfind(':');
    httplib::Client client(to.substr(0, colon), std::atoi(to.c_str() + colon + 1));
    client.set_connection_timeout(std::chrono::milliseconds(number("wait", 1000)));
    client.set_read_timeout(std::chrono::milliseconds(number("wait", 1000)));
    const auto res = text("method", "GET") == "GET"
                         ? client.Get(text("target"))
                         : client.Post(text("target"), body, "application/json");
    if (!res)
        return 1;
    std::printf("%d %s\n", res->status, res->body.c_str());
    return 0;
}

upstream* the_upstream = nullptr;
proxy* the_proxy = nullptr;

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (int n = 2; n + 1 < argc; n += 2)
        options[std::string(argv[n]).substr(2)] = argv[n + 1];
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "store") {
        store().run();
    }
    else if (verb == "upstream") {
        the_upstream = new upstream;
        std::signal(SIGUSR1, [](int) { the_upstream->draining = true; });
        std::signal(SIGUSR2, [](int) { the_upstream->withdrawn = true; });
        the_upstream->run();
    }
    else if (verb == "proxy") {
        the_proxy = new proxy;
        std::signal(SIGUSR1, [](int) { the_proxy->epoch = 1; });
        std::signal(SIGUSR2, [](int) { the_proxy->epoch = 2; });
        the_proxy->run();
    }
    else if (verb == "client") {
        std::vector<std::thread> threads;
        for (long long n = 0; n < number("parallel", 1); ++n)
            threads.emplace_back(run_client, text("name", "r") + std::to_string(n));
        for (std::thread& it : threads)
            it.join();
    }
    else if (verb == "ports") {
        print_ports();
    }
    else if (verb == "note") {
        record("script " + text("text"));
    }
    else if (verb == "call") {
        return call();
    }
    else {
        std::cerr
            << "usage: standin store|upstream|proxy|client|ports|call|note [--NAME VALUE]...\n";
        return 2;
    }
    return 0;
}
