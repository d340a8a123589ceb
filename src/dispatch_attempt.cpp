#include "dispatch_attempt.h"

#include "dispatch.h"
#include "reach_monitor.h"
#include "socket_server.h"
#include "system_clock.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <condition_variable>
#include <mutex>

namespace jasminebank {

namespace {

constexpr std::size_t chunk_bytes = 16UL * 1024;
constexpr int first_error_status = 500;
// How often a thread that waits for an answer looks whether its caller is still there, and whether
// the node is being stopped.
constexpr duration caller_check_interval = std::chrono::milliseconds(100);
// With two attempts open, each is looked at this often: short against a service time.
constexpr duration turn = std::chrono::milliseconds(8);

refusal_answer answer_of(const link_error& it, const answer_limit& limit)
{
    if (!may_have_run(it))
        return {.reason = refusal::no_backend_server};
    if (it.kind != link_failure::timed_out)
        return {.reason = refusal::backend_server_error, .state = run_state::unknown};
    return {.reason = limit.is_by_stop() ? refusal::stopping : refusal::deadline,
            .state = run_state::unknown};
}

std::optional<double> load_of(const message_head& answer)
{
    const std::string* text = find_field(answer, load_field);
    double out = 0;
    if (text == nullptr)
        return std::nullopt;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), out);
    return ec == std::errc{} ? std::optional(out) : std::nullopt;
}

void read_small_answer(dispatch_attempt& it, std::size_t ahead_bytes, const answer_limit& limit)
{
    std::array<char, chunk_bytes> buf{};
    while (it.body.size() < ahead_bytes) {
        const time_point step = std::min(limit.until(), boot_now() + caller_check_interval);
        const auto n = it.stream->read(buf, step);
        const bool is_late = failed(n) && error_of(n).kind == link_failure::timed_out;
        if (is_late && boot_now() < limit.until() && !socket_server::peer_left())
            continue;
        if (failed(n)) {
            it.refused = answer_of(error_of(n), limit);
            it.answer.reset();
            return;
        }
        if (value_of(n) == 0) {
            it.body_is_whole = true;
            return;
        }
        it.body.append(buf.data(), value_of(n));
    }
}

void take_head(dispatch_attempt& it, result<message_head, link_error> head,
               const answer_limit& limit)
{
    if (failed(head)) {
        it.refused = answer_of(error_of(head), limit);
        // A deadline that passes, or a caller that leaves, says nothing about the gate.
        it.gate_failed = error_of(head).kind == link_failure::not_sent ||
                         error_of(head).kind == link_failure::maybe_sent;
        return;
    }
    it.gate_heard = true;
    it.load = load_of(value_of(head));
    const std::string* outcome = find_field(value_of(head), outcome_field);
    if (outcome == nullptr || *outcome != name_of(run_state::ran)) {
        it.refused = outcome == nullptr ? std::nullopt : parse_outcome(*outcome);
        if (!it.refused)
            it.refused = {.reason = refusal::backend_server_error, .state = run_state::unknown};
        it.trial_due = find_field(value_of(head), trial_field) != nullptr;
        return;
    }
    it.ran_status = value_of(head).status;
    it.answer = std::move(value_of(head));
}

} // namespace

bool is_server_failure(const message_head& answer)
{
    return answer.status >= first_error_status;
}

bool is_good(const dispatch_attempt& it)
{
    return it.answer && !is_server_failure(*it.answer);
}

// A request that still waits for its link when the caller is looked for is withdrawn, so that it
// goes elsewhere.
wait_end wait_for_either(dispatch_attempt& own, dispatch_attempt* other, const answer_limit& limit,
                         time_point until)
{
    time_point next_check = boot_now() + caller_check_interval;
    while (true) {
        const time_point end = std::min(until, limit.until());
        const time_point step =
            std::min({end, next_check, other == nullptr ? time_point::max() : boot_now() + turn});
        if (own.stream->has_head(step))
            return wait_end::own;
        const time_point now = boot_now();
        if (other != nullptr && other->stream->has_head(now))
            return wait_end::other;
        if (now >= end)
            return wait_end::due;
        if (now < next_check)
            continue;
        next_check = now + caller_check_interval;
        if (own.stream->withdraw_unsent())
            return wait_end::own;
        if (socket_server::peer_left()) {
            own.caller_left = true;
            return wait_end::caller_left;
        }
    }
}

void settle_attempt(dispatch_attempt& it, std::size_t ahead_bytes, const answer_limit& limit)
{
    take_head(it, it.stream->read_head(boot_now()), limit);
    if (it.answer)
        read_small_answer(it, ahead_bytes, limit);
    // The gate was told of the limit, and may have come to it first.
    const bool is_over = it.refused && it.refused->reason == refusal::deadline;
    if (is_over && it.refused->state != run_state::not_run && limit.is_by_stop())
        it.refused->reason = refusal::stopping;
}

bool gate_answers(link_hub& links, const endpoint& link, duration patience)
{
    struct reply {
        std::mutex mutex;
        std::condition_variable came;
        std::optional<bool> answered;
    };
    const auto own = std::make_shared<reply>();
    const auto take = [own](const result<std::string, link_error>& it) {
        const std::lock_guard lock(own->mutex);
        own->answered = !failed(it);
        own->came.notify_one();
    };
    if (!links.call(link, std::string(probe_path), "-", patience, take))
        return false;
    std::unique_lock lock(own->mutex);
    own->came.wait_for(lock, patience, [&] { return own->answered.has_value(); });
    return own->answered.value_or(false);
}

bool write_body(link_stream& stream, std::span<const char> bytes, const answer_limit& limit)
{
    while (!bytes.empty()) {
        const time_point step = std::min(limit.until(), boot_now() + caller_check_interval);
        const auto n = stream.write_some(bytes, step);
        if (failed(n))
            return false;
        if (value_of(n) == 0 && (boot_now() >= limit.until() || socket_server::peer_left()))
            return false;
        bytes = bytes.subspan(value_of(n));
    }
    return true;
}

bool pump_body(const httplib::ContentReader& reader, link_stream& stream, duration timeout,
               const stop_clock& stop)
{
    bool gate_left = false;
    const bool whole = reader([&](const char* data, std::size_t n) {
        gate_left = !write_body(stream, {data, n}, answer_limit(boot_now() + timeout, stop));
        return !gate_left;
    });
    if (whole)
        stream.finish();
    else if (!gate_left)
        stream.reset(reset_reason::cancelled);
    return whole || gate_left;
}

} // namespace jasminebank
