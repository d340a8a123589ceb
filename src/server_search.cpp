#include "server_search.h"

#include <algorithm>

namespace jasminebank {

// After this many refusals, the request waits for a slot instead of trying another server for a
// free one.
constexpr std::size_t max_free_slot_refusals = 5;
// Delay before servers that were all suspected are tried again; about two round trips between
// failure domains.
constexpr duration suspected_retry_delay = std::chrono::milliseconds(40);
// The delays for suspected servers end within this fraction of the target latency, so that the
// caller still has time to retry after a refusal.
constexpr int pause_budget_divisor = 8;
constexpr duration pause_budget_without_target = std::chrono::milliseconds(100);

server_search::server_search(const server_search_options& options)
    : options_(options), allows_suspected_(options.is_streamed)
{
    if (options.is_streamed)
        stage_ = search_stage::waiting;
}

// An idempotent request needs no delay: if a suspected server fails, the request can be sent to
// another one.
bool server_search::may_pause(time_point now) const
{
    const duration pause_budget = options_.target_latency > duration::zero()
                                      ? options_.target_latency / pause_budget_divisor
                                      : pause_budget_without_target;
    return !options_.idempotent && !allows_suspected_ && !suspected_.empty() &&
           now + suspected_retry_delay - options_.start <= pause_budget;
}

search_step server_search::step(time_point now)
{
    if (stage_ == search_stage::free_slots && refusals_ >= max_free_slot_refusals)
        stage_ = search_stage::waiting;
    search_step out;
    if (stage_ == search_stage::suspected) {
        if (may_pause(now)) {
            suspected_.clear();
            without_free_slot_.clear();
            out.pause = suspected_retry_delay;
            stage_ = search_stage::waiting;
        }
        else {
            allows_suspected_ = true;
            out.consider_all_servers = true;
        }
    }
    out.excluded = reached_;
    if (stage_ == search_stage::free_slots || stage_ == search_stage::waiting)
        out.excluded.insert(out.excluded.end(), suspected_.begin(), suspected_.end());
    if (stage_ == search_stage::free_slots) {
        out.excluded.insert(out.excluded.end(), without_free_slot_.begin(),
                            without_free_slot_.end());
        out.full = without_free_slot_;
    }
    return out;
}

bool server_search::advance_stage()
{
    switch (stage_) {
    case search_stage::free_slots:
        stage_ = search_stage::waiting;
        break;
    case search_stage::waiting:
        stage_ = search_stage::suspected;
        break;
    case search_stage::suspected:
    case search_stage::over:
        stage_ = search_stage::over;
        break;
    }
    return stage_ != search_stage::over;
}

// A request refused after its target latency would be answered late at best, and take the slot of
// one that could still be answered in time.
bool server_search::may_continue(time_point now) const
{
    return options_.is_nested || options_.target_latency <= duration::zero() ||
           now < options_.start + options_.target_latency;
}

void server_search::on_refused(backend_server_id server, refusal reason)
{
    ++refusals_;
    if (reason == refusal::overloaded && !may_queue())
        without_free_slot_.push_back(server);
    else if (reason == refusal::suspect && !allows_suspected_)
        suspected_.push_back(server);
    else
        reached_.push_back(server);
}

void server_search::on_reached(backend_server_id server)
{
    if (std::find(reached_.begin(), reached_.end(), server) == reached_.end())
        reached_.push_back(server);
}

} // namespace jasminebank
