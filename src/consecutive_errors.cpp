#include "consecutive_errors.h"

#include <algorithm>

namespace jasminebank {

constexpr std::size_t max_servers = 64;
constexpr std::size_t max_open_requests = 256;

consecutive_errors::consecutive_errors(const consecutive_errors_options& options)
    : options_(options)
{
}

bool consecutive_errors::add_server(service_id service, backend_server_id server, time_point now,
                                    bool /*cold*/)
{
    std::erase_if(servers_, [&](const server_state& it) { return it.server == server; });
    if (servers_.size() == max_servers)
        return false;
    if (next_evaluation_ == time_point{})
        next_evaluation_ = now + options_.interval;
    servers_.push_back({.service = service, .server = server, .open = {}});
    return true;
}

void consecutive_errors::record_result(server_state& it, bool error)
{
    it.errors_in_a_row = error ? it.errors_in_a_row + 1 : 0;
    if (it.errors_in_a_row >= options_.errors)
        it.ejection_due = true;
}

detector_actions consecutive_errors::step(const request_started& event, time_point now)
{
    for (server_state& it : servers_) {
        if (it.server == event.server && it.open.size() < max_open_requests)
            it.open.push_back({event.request, now});
    }
    return {};
}

detector_actions consecutive_errors::step(const request_finished& event, time_point /*now*/)
{
    for (server_state& it : servers_) {
        const auto found = std::find_if(it.open.begin(), it.open.end(), [&](const auto& request) {
            return request.request == event.request;
        });
        if (found == it.open.end())
            continue;
        it.open.erase(found);
        const bool error = event.outcome == request_outcome::error_status ||
                           event.outcome == request_outcome::bad_length ||
                           event.outcome == request_outcome::hung ||
                           event.outcome == request_outcome::connection_refused;
        if (error || event.outcome == request_outcome::ok)
            record_result(it, error);
    }
    return {};
}

// Open requests past the timeout count as errors at once; an ejection waits for the next
// evaluation.
detector_actions consecutive_errors::tick(time_point now)
{
    detector_actions out;
    for (server_state& it : servers_) {
        const auto timed_out = std::erase_if(it.open, [&](const open_request& request) {
            return now - request.started > options_.request_timeout;
        });
        for (std::size_t n = 0; n < timed_out; ++n)
            record_result(it, true);
    }
    if (now < next_evaluation_)
        return out;
    next_evaluation_ = now + options_.interval;
    for (server_state& it : servers_) {
        if (it.ejection_due && !it.ejected)
            out.emplace_back(
                verdict_changed{it.service,
                                it.server,
                                {.state = verdict::failing, .reason = failure_reason::errors}});
        it.ejected = it.ejected || it.ejection_due;
        it.ejection_due = false;
    }
    return out;
}

} // namespace jasminebank
