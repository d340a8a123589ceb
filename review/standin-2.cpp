// Stand-ins for the scripts in review/6 to review/10: the platform's store, an upstream and a
// client with kept connections, as PROTOCOL.md describes them. What they see goes to the record,
// one line for each event: seconds since the epoch, who, what.

#include "../src/base64.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

double wall_time()
{
    using namespace std::chrono;
    return duration<double>(system_clock::now().time_since_epoch()).count();
}

// ---- options and the record ------------------------------------------------------------------

std::map<std::string, std::string> options;

std::string option(const std::string& name, const std::string& fallback = "")
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

int number(const std::string& name, int fallback)
{
    return std::atoi(option(name, std::to_string(fallback)).c_str());
}

// Appends one line; a single write, so that lines of several processes do not mix.
void record(const std::string& text)
{
    static std::mutex mutex;
    static std::FILE* out = std::fopen(option("record").c_str(), "a");
    const std::lock_guard lock(mutex);
    if (out == nullptr)
        return;
    std::fprintf(out, "%.3f %s %s\n", wall_time(), option("name", "-").c_str(), text.c_str());
    std::fflush(out);
}

// ---- sockets ---------------------------------------------------------------------------------

std::optional<sockaddr_in> address_of(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    if (colon == std::string::npos ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1)
        return std::nullopt;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return out;
}

int connect_to(const std::string& address)
{
    const auto to = address_of(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (to && connect(fd, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) == 0)
        return fd;
    close(fd);
    return -1;
}

bool send_all(int fd, const std::string& bytes)
{
    for (std::size_t done = 0; done < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// One HTTP/1.1 message; field names in lower case.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body{};

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
    int status() const { return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str()); }
};

// Reads the messages of one connection.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}

    std::optional<std::string> read_line()
    {
        while (true) {
            const std::size_t end = buf_.find("\r\n");
            if (end != std::string::npos) {
                std::string out = buf_.substr(0, end);
                buf_.erase(0, end + 2);
                return out;
            }
            if (!receive())
                return std::nullopt;
        }
    }

    bool read_bytes(std::size_t n, std::string& out)
    {
        while (buf_.size() < n) {
            if (!receive())
                return false;
        }
        out += buf_.substr(0, n);
        buf_.erase(0, n);
        return true;
    }

    std::optional<message> read_head()
    {
        message out;
        const auto first = read_line();
        if (!first)
            return std::nullopt;
        out.first_line = *first;
        while (true) {
            const auto line = read_line();
            if (!line)
                return std::nullopt;
            if (line->empty())
                return out;
            const std::size_t colon = line->find(':');
            std::string name = line->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t from = line->find_first_not_of(' ', colon + 1);
            out.fields[name] = from == std::string::npos ? "" : line->substr(from);
        }
    }

    bool read_body(message& it)
    {
        if (it.field("transfer-encoding") != "chunked")
            return read_bytes(std::strtoul(it.field("content-length").c_str(), nullptr, 10),
                              it.body);
        while (true) {
            const auto size = read_line();
            const std::size_t n = size ? std::strtoul(size->c_str(), nullptr, 16) : 0;
            if (!size || (n > 0 && !read_bytes(n, it.body)))
                return false;
            if (!read_line())
                return false;
            if (n == 0)
                return true;
        }
    }

private:
    bool receive()
    {
        char part[16384];
        const ssize_t n = recv(fd_, part, sizeof part, 0);
        if (n > 0)
            buf_.append(part, static_cast<std::size_t>(n));
        return n > 0;
    }

    int fd_;
    std::string buf_;
};

// ---- the platform's store --------------------------------------------------------------------

struct store_item {
    std::string value; // base64
    long revision = 0;
    long created = 0;
    long lease = 0;
};

struct store_lease {
    double ttl = 0;
    double until = 0;
};

class store {
public:
    void serve()
    {
        server_.Get("/v1/kv-key", [this](const auto& req, auto& res) { get_key(req, res); });
        server_.Get("/v1/kv-range", [this](const auto& req, auto& res) { get_range(req, res); });
        server_.Post("/v1/kv-txn", [this](const auto& req, auto& res) { commit(req, res); });
        server_.Post("/v1/kv-lease", [this](const auto& req, auto& res) { grant(req, res); });
        server_.Post(R"(/v1/kv-keep/(\d+))", [this](const auto& req, auto& res) {
            renew(std::stol(req.matches[1].str()), res);
        });
        server_.Delete(R"(/v1/kv-lease-end/(\d+))", [this](const auto& req, auto& res) {
            end_lease(std::stol(req.matches[1].str()), res);
        });
        // The operator writes by this call of the stand-in.
        server_.Put("/operator/config", [this](const auto& req, auto& res) {
            const std::lock_guard lock(mutex_);
            put("op/config", jasminebank::to_base64(req.body), 0);
            record("config confirmed " + json::parse(req.body).at("version").dump());
            res.set_content("{}", "application/json");
        });
        server_.new_task_queue = [] { return new httplib::ThreadPool(64); };
        const std::string listen = option("listen");
        server_.listen(listen.substr(0, listen.find(':')),
                       std::atoi(listen.c_str() + listen.find(':') + 1));
    }

private:
    static void answer(httplib::Response& res, const json& body, int status = 200)
    {
        res.status = status;
        res.set_content(body.dump(), "application/json");
    }

    // Requires the mutex, like all that follow without a request.
    void put(const std::string& key, const std::string& value, long lease)
    {
        ++revision_;
        store_item& it = items_[key];
        it = {.value = value,
              .revision = revision_,
              .created = it.created == 0 ? revision_ : it.created,
              .lease = lease};
    }

    json item_json(const std::string& key) const
    {
        const store_item& it = items_.at(key);
        return {{"key", key},
                {"value", it.value},
                {"rev", it.revision},
                {"created_rev", it.created},
                {"lease", it.lease}};
    }

    void end_expired_leases()
    {
        std::erase_if(leases_, [](const auto& it) { return it.second.until < wall_time(); });
        const auto gone = [this](const auto& it) {
            return it.second.lease != 0 && !leases_.contains(it.second.lease);
        };
        revision_ += static_cast<long>(std::erase_if(items_, gone));
    }

    void get_key(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        end_expired_leases();
        const std::string key = req.get_param_value("key");
        json out = items_.contains(key) ? item_json(key) : json::object();
        out["as_of"] = revision_;
        answer(res, out, items_.contains(key) ? 200 : 404);
    }

    void get_range(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        end_expired_leases();
        json found = json::array();
        for (const auto& [key, it] : items_) {
            if (key.starts_with(req.get_param_value("prefix")) &&
                key > req.get_param_value("after"))
                found.push_back(item_json(key));
        }
        answer(res, {{"items", found}, {"truncated", false}, {"as_of", revision_}});
    }

    void commit(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        end_expired_leases();
        const json in = json::parse(req.body);
        json found = json::array();
        bool holds = true;
        for (const json& it : in.value("expected", json::array())) {
            const auto item = items_.find(it.at("key"));
            holds &= (item == items_.end() ? 0 : item->second.revision) == it.at("rev");
            if (item != items_.end())
                found.push_back(item_json(item->first));
        }
        if (!holds) {
            answer(res, {{"items", found}}, 412);
            return;
        }
        const json writes = in.value("writes", json::array());
        for (const json& it : writes) {
            if (const long lease = it.value("lease", 0L); lease != 0 && !leases_.contains(lease)) {
                answer(res, json::object(), 404);
                return;
            }
        }
        for (const json& it : writes)
            put(it.at("key"), it.at("value"), it.value("lease", 0L));
        for (const json& it : in.value("deletes", json::array()))
            revision_ += static_cast<long>(items_.erase(it.get<std::string>()));
        answer(res, {{"rev", revision_}});
    }

    void grant(const httplib::Request& req, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        const double ttl = json::parse(req.body).at("ttl_s_time");
        leases_[++last_lease_] = {.ttl = ttl, .until = wall_time() + ttl};
        answer(res, {{"lease", last_lease_}, {"ttl_s_time", ttl}});
    }

    void renew(long lease, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        end_expired_leases();
        const auto it = leases_.find(lease);
        if (it == leases_.end()) {
            answer(res, json::object(), 404);
            return;
        }
        it->second.until = wall_time() + it->second.ttl;
        answer(res, {{"ttl_s_time", it->second.ttl}});
    }

    void end_lease(long lease, httplib::Response& res)
    {
        const std::lock_guard lock(mutex_);
        answer(res, json::object(), leases_.erase(lease) > 0 ? 200 : 404);
        end_expired_leases();
    }

    httplib::Server server_;
    std::mutex mutex_;
    std::map<std::string, store_item> items_;
    std::map<long, store_lease> leases_;
    long revision_ = 10;
    long last_lease_ = 100;
};

// ---- an upstream -----------------------------------------------------------------------------

class upstream {
public:
    void serve()
    {
        const auto at = address_of(option("listen"));
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (!at || bind(listener, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0 ||
            listen(listener, 256) != 0)
            std::exit(2);
        std::thread([this] { check_in(); }).detach();
        while (true) {
            const int fd = accept(listener, nullptr, nullptr);
            if (fd >= 0)
                std::thread([this, fd] { serve_connection(fd); }).detach();
        }
    }

private:
    // Until the upstream leaves, if `leave_s` is set. It then deregisters first, as some do, and
    // serves for `stay_s`. Its last two check-ins before that arrive `late_ms` and `later_ms` after
    // it has left; 0: in time.
    void check_in()
    {
        const double leaves_at = number("leave_s", 0) > 0 ? wall_time() + number("leave_s", 0) : 0;
        while (leaves_at == 0 || wall_time() + 1.6 < leaves_at) {
            const bool is_confirmed = send_check_in(next_check_in());
            if (is_confirmed != was_confirmed_)
                record(is_confirmed ? "check-in confirmed" : "check-in not confirmed");
            was_confirmed_ = is_confirmed;
            std::this_thread::sleep_for(
                milliseconds(is_confirmed || number("patient", 0) != 0 ? 1500 : 200));
        }
        const std::string last = next_check_in();
        const std::string later = next_check_in();
        if (number("late_ms", 0) == 0) {
            send_check_in(last);
            send_check_in(later);
        }
        sleep_until(leaves_at);
        const bool is_confirmed = post("/v1/Instances.Deregister/" + option("id"), "");
        record(is_confirmed ? "leaving confirmed" : "leaving not confirmed");
        if (number("late_ms", 0) != 0) {
            sleep_until(leaves_at + number("late_ms", 0) / 1000.0);
            record(std::string("late check-in ") + (send_check_in(last) ? "" : "not ") + "taken");
            sleep_until(leaves_at + number("later_ms", 0) / 1000.0);
            record(std::string("late check-in ") + (send_check_in(later) ? "" : "not ") + "taken");
        }
        sleep_until(leaves_at + number("stay_s", 15));
        record("ends");
        std::exit(0);
    }

    static void sleep_until(double at)
    {
        const double left = at - wall_time();
        if (left > 0)
            std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }

    std::string next_check_in()
    {
        const json body{
            {"address", option("listen")},
            {"born", born_},
            {"info",
             {{"service", option("service")},
              {"version", "v1"},
              {"zone", option("zone")},
              {"slots", number("slots", 4)}}},
            {"status", {{"state", "ready"}, {"sequence", ++sequence_}, {"warmup_left_s", 0}}}};
        return body.dump();
    }

    static bool send_check_in(const std::string& body)
    {
        return post("/v1/Instances.Heartbeat/" + option("id"), body);
    }

    static bool post(const std::string& path, const std::string& body)
    {
        httplib::Client client("http://" + option("control"));
        client.set_connection_timeout(1);
        client.set_read_timeout(1);
        const auto answer = client.Post(path, body, "application/json");
        return answer && answer->status == 200;
    }

    void serve_connection(int fd)
    {
        reader in(fd);
        while (auto it = in.read_head()) {
            if (!in.read_body(*it))
                break;
            const std::string expected = it->field("jasminebank-expected-instance");
            const std::string answer = !expected.empty() && expected != option("id")
                                           ? "HTTP/1.1 421 Misdirected Request\r\n"
                                             "Jasminebank-Instance-Id: " +
                                                 option("id") + "\r\nContent-Length: 0\r\n\r\n"
                                           : run(*it);
            if (!send_all(fd, answer))
                break;
        }
        close(fd);
    }

    // A request whose If-None-Match names the entity tag of the representation is answered with
    // 304, without a body and with the length that a 200 has (RFC 9110, 15.4.5 and 8.6). With
    // `faulty`, a request for a path with "/faulty/" gets that too, though it asked for no such
    // thing.
    std::string run(const message& it)
    {
        const std::string id = it.field("jasminebank-request-id");
        const std::string body = "answer to " + id + "\n";
        record("ran " + id + " " + it.first_line + " from " +
               it.field("jasminebank-caller-service"));
        if (number("restart_s", 0) != 0 && it.first_line.find("/crash/") != std::string::npos) {
            record("crashes " + id);
            std::_Exit(1);
        }
        std::this_thread::sleep_for(milliseconds(number("work_ms", 50)));
        const std::string fields =
            "Jasminebank-Request-Id: " + id + "\r\nJasminebank-Server-Signature: signed." + id +
            "\r\nETag: \"v1\"\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        const bool is_faulty =
            number("faulty", 0) != 0 && it.first_line.find("/faulty/") != std::string::npos;
        if (is_faulty || it.field("if-none-match") == "\"v1\"") {
            record("answered " + id + " 304");
            return "HTTP/1.1 304 Not Modified\r\n" + fields;
        }
        record("answered " + id + " 200");
        return "HTTP/1.1 200 OK\r\n" + fields + body;
    }

    const std::uint64_t born_ = static_cast<std::uint64_t>(wall_time() * 1000);
    std::uint64_t sequence_ = 0;
    bool was_confirmed_ = false;
};

// Starts the upstream again, `restart_s` after it has crashed, as a new boot with a new id.
void supervise_upstream()
{
    const std::string id = option("id");
    for (int boot = 0;; ++boot) {
        options["id"] = id + "-" + std::to_string(boot);
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            upstream().serve();
        }
        waitpid(child, nullptr, 0);
        std::this_thread::sleep_for(std::chrono::seconds(number("restart_s", 0)));
    }
}

// ---- a client --------------------------------------------------------------------------------

struct outgoing_request {
    std::string method;
    std::string path;
    std::string id;
    std::string field{}; ///< one more header line
    std::string body{};
};

// Sends the request on the connection and records how it ended; false if the connection is over.
bool exchange(int fd, reader& in, const outgoing_request& it)
{
    std::string head = it.method + " " + it.path + " HTTP/1.1\r\nHost: " + option("host") +
                       "\r\nJasminebank-Request-Id: " + it.id +
                       "\r\nJasminebank-Deadline-Ms: 8000\r\nAuthorization: Bearer " +
                       option("key") + "\r\n" + it.field;
    if (it.method == "POST")
        head += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    record("sent " + it.id + " " + it.method + " " + it.path);
    std::optional<message> answer;
    if (send_all(fd, head + "\r\n" + it.body))
        answer = in.read_head();
    while (answer && answer->status() < 200)
        answer = in.read_head();
    if (!answer) {
        record("closed " + it.id + " without an answer");
        return false;
    }
    const int status = answer->status();
    if (status != 304 && status != 204 && !in.read_body(*answer)) {
        record("closed " + it.id + " within the answer");
        return false;
    }
    record("got " + it.id + " " + std::to_string(status));
    return answer->field("connection") != "close";
}

// Sends the request once, or with `for_s` again and again for this time, each with an id of its
// own.
void send_repeatedly(int fd, reader& in, outgoing_request it)
{
    const double end = wall_time() + number("for_s", 0);
    const std::string id = it.id;
    for (int n = 0; exchange(fd, in, it) && wall_time() < end; ++n) {
        it.id = id + "-" + std::to_string(n);
        std::this_thread::sleep_for(milliseconds(number("pause_ms", 200)));
    }
}

// On each of its connections one request to keep the connection for, then the one in question.
int run_client()
{
    std::vector<std::thread> threads;
    for (int n = 0; n < number("connections", 1); ++n) {
        threads.emplace_back([n] {
            const std::string id = option("name") + "-" + std::to_string(n);
            const int fd = connect_to(option("to"));
            if (fd < 0) {
                record("no connection for " + id);
                return;
            }
            reader in(fd);
            const outgoing_request first{
                .method = "GET", .path = option("first"), .id = id + "-first"};
            std::string field = option("field");
            if (!field.empty())
                field += "\r\n";
            const outgoing_request second{.method = option("method", "GET"),
                                          .path = option("path"),
                                          .id = id,
                                          .field = field,
                                          .body = option("body")};
            if (exchange(fd, in, first)) {
                std::this_thread::sleep_for(milliseconds(number("pause_ms", 200)));
                send_repeatedly(fd, in, second);
            }
            close(fd);
        });
    }
    for (std::thread& it : threads)
        it.join();
    return 0;
}

} // namespace

// standin store|upstream|client NAME=VALUE...
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string role = argc > 1 ? argv[1] : "";
    for (int n = 2; n < argc; ++n) {
        const std::string text = argv[n];
        const std::size_t sign = text.find('=');
        options[text.substr(0, sign)] = sign == std::string::npos ? "" : text.substr(sign + 1);
    }
    if (role == "store")
        store().serve();
    else if (role == "upstream" && number("restart_s", 0) == 0)
        upstream().serve();
    else if (role == "upstream")
        supervise_upstream();
    else if (role == "client")
        return run_client();
    std::fprintf(stderr, "standin: cannot run as '%s'\n", role.c_str());
    return 2;
}
