#include "http_pool.h"

#include "system_clock.h"

#include <algorithm>
#include <chrono>

namespace jasminebank {

using namespace std::chrono_literals;

constexpr int first_success_status = 200;
constexpr int first_redirect_status = 300;

http_pool::http_pool(const http_pool_options& options) : options_(options) {}

// "identity" requests an uncompressed answer, so that its size on the wire is its real size.
httplib::Request json_post(const std::string& path, const std::string& body,
                           httplib::ContentReceiverWithProgress receiver)
{
    httplib::Request out;
    out.method = "POST";
    out.path = path;
    out.headers = {{"Content-Type", "application/json"}, {"Accept-Encoding", "identity"}};
    out.body = body;
    out.content_receiver = std::move(receiver);
    return out;
}

std::unique_ptr<bounded_client> http_pool::acquire_client()
{
    {
        const std::lock_guard lock(mutex_);
        while (!idle_.empty()) {
            auto client = std::move(idle_.back());
            idle_.pop_back();
            if (!client->has_unread_bytes())
                return client;
        }
    }
    return std::make_unique<bounded_client>(options_.server);
}

void http_pool::release_client(std::unique_ptr<bounded_client> client)
{
    const std::lock_guard lock(mutex_);
    if (idle_.size() < options_.max_idle_connections)
        idle_.push_back(std::move(client));
}

static http_failure classify_failure(httplib::Error error, bool too_large, bool past_deadline)
{
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout)
        return http_failure::not_sent;
    if (too_large)
        return http_failure::too_large;
    return past_deadline ? http_failure::deadline_exceeded : http_failure::interrupted;
}

result<http_answer, http_failure> http_pool::post(const std::string& path, const std::string& body,
                                                  time_point deadline)
{
    return send("POST", path, body, deadline);
}

result<http_answer, http_failure> http_pool::send(const char* method, const std::string& path,
                                                  const std::string& body, time_point deadline)
{
    return send(method, path, body, deadline, deadline);
}

result<http_answer, http_failure> http_pool::send(const char* method, const std::string& path,
                                                  const std::string& body, time_point deadline,
                                                  time_point last_deadline)
{
    const auto left = std::max(std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_now()),
                               std::chrono::milliseconds(1));
    auto client = acquire_client();
    client->set_connection_timeout(std::min<duration>(left, options_.connect_timeout));

    http_answer answer;
    bool too_large = false;
    httplib::Request request =
        json_post(path, body, [&](const char* data, size_t n, uint64_t, uint64_t) {
            too_large = answer.body.size() + n > options_.max_answer_bytes;
            if (!too_large)
                answer.body.append(data, n);
            deadline = std::max(deadline, std::min(boot_now() + left, last_deadline));
            client->set_deadline(deadline);
            return !too_large;
        });
    request.method = method;
    if (body.empty())
        request.headers.erase("Content-Type");
    // After a failure the client is destroyed and its connection closed, since the answer may not
    // have been read to its end.
    const httplib::Result sent = client->send_until(std::move(request), deadline);
    if (!sent)
        return classify_failure(sent.error(), too_large || client->exceeded_size_limit(),
                                boot_now() >= deadline);
    answer.status = sent->status;
    answer.headers = sent->headers;
    // A late copy of a refusal would be taken for the answer to a later request, which may have
    // been executed.
    const bool is_success =
        answer.status >= first_success_status && answer.status < first_redirect_status;
    if (is_success && !client->has_discarded_bytes())
        release_client(std::move(client));
    return answer;
}

} // namespace jasminebank
