#include "dispatch_attempt.h"

#include "dispatch.h"
#include "reach_monitor.h"
#include "socket_server.h"
#include "system_clock.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <concepts>
#include <condition_variable>
#include <mutex>

namespace jasminebank {

namespace {

constexpr std::size_t chunk_bytes = 16UL * 1024;
constexpr int min_server_error_status = 500;
// How often a thread that waits for an answer checks for the caller's disconnection and for a
// planned stop of this node.
constexpr duration caller_check_interval = std::chrono::milliseconds(100);
// Polling interval while two attempts are open; short compared with a service time.
constexpr duration poll_interval = std::chrono::milliseconds(8);

refusal_answer refusal_for(const link_error& it, const answer_limit& limit)
{
    if (!may_have_run(it))
        return {.reason = refusal::no_backend_server};
    if (it.kind != link_failure::timed_out)
        return {.reason = refusal::backend_server_error, .state = run_state::unknown};
    return {.reason = limit.is_due_to_stop() ? refusal::stopping : refusal::deadline,
            .state = run_state::unknown};
}

std::optional<double> parse_load(std::string_view text)
{
    double out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc{} && std::isfinite(out) ? std::optional(out) : std::nullopt;
}

std::optional<double> load_of(const message_head& answer)
{
    const std::string* text = find_field(answer, load_field);
    return text == nullptr ? std::nullopt : parse_load(*text);
}

// A longer wait is longer than any deadline.
constexpr std::uint64_t max_wait_ms = 3'600'000;

std::optional<duration> wait_of(const message_head& answer)
{
    const std::string* text = find_field(answer, wait_field);
    std::uint64_t out = 0;
    if (text == nullptr)
        return std::nullopt;
    const char* const last = text->data() + text->size();
    const auto [end, ec] = std::from_chars(text->data(), last, out);
    if (ec != std::errc{} || end != last || out > max_wait_ms)
        return std::nullopt;
    return std::chrono::milliseconds(out);
}

// Reads until `limit`, in steps after which `caller_left` is asked.
template <std::predicate CallerLeft>
result<std::size_t, link_error> read_until(link_stream& stream, std::span<char> buf,
                                           const answer_limit& limit, CallerLeft caller_left)
{
    while (true) {
        const auto n =
            stream.read(buf, std::min(limit.until(), boot_now() + caller_check_interval));
        const bool is_late = failed(n) && error_of(n).kind == link_failure::timed_out;
        if (!is_late || boot_now() >= limit.until() || caller_left())
            return n;
    }
}

void prefetch_body(dispatch_attempt& it, std::size_t prefetch_bytes, const answer_limit& limit)
{
    std::array<char, chunk_bytes> buf{};
    while (it.body.size() < prefetch_bytes) {
        const auto n = read_until(*it.stream, buf, limit, socket_server::peer_disconnected);
        if (failed(n)) {
            it.refused = refusal_for(error_of(n), limit);
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

void store_head(dispatch_attempt& it, result<message_head, link_error> head,
                const answer_limit& limit)
{
    if (failed(head)) {
        it.refused = refusal_for(error_of(head), limit);
        // An expired deadline or a caller's cancellation is no failure of the gate.
        it.gate_failed = error_of(head).kind == link_failure::not_sent ||
                         error_of(head).kind == link_failure::maybe_sent;
        return;
    }
    it.gate_responded = true;
    it.load = load_of(value_of(head));
    it.wait = wait_of(value_of(head));
    const std::string* outcome = find_field(value_of(head), outcome_field);
    if (outcome == nullptr || *outcome != name_of(run_state::ran)) {
        it.refused = outcome == nullptr ? std::nullopt : parse_outcome(*outcome);
        if (!it.refused)
            it.refused = {.reason = refusal::backend_server_error, .state = run_state::unknown};
        it.trial_requested = find_field(value_of(head), trial_field) != nullptr;
        return;
    }
    const std::string* notice = find_field(value_of(head), notice_field);
    it.notice = notice == nullptr ? std::nullopt : decode_notice(*notice);
    it.answer_status = value_of(head).status;
    it.answer = std::move(value_of(head));
}

} // namespace

bool is_server_error(const message_head& answer)
{
    return answer.status >= min_server_error_status;
}

bool is_successful(const dispatch_attempt& it)
{
    return it.answer && !is_server_error(*it.answer);
}

// An attempt that is still queued for its link at a periodic check is withdrawn, so that the
// request can be sent to another gate. Its stream then ends, so the attempt counts as ready.
wait_result wait_for_either(dispatch_attempt& own, dispatch_attempt* other,
                            const answer_limit& limit, time_point until)
{
    time_point next_check = boot_now() + caller_check_interval;
    while (true) {
        const time_point end = std::min(until, limit.until());
        const time_point step = std::min(
            {end, next_check, other == nullptr ? time_point::max() : boot_now() + poll_interval});
        if (own.stream->has_head(step))
            return wait_result::own_ready;
        const time_point now = boot_now();
        if (other != nullptr && other->stream->has_head(now))
            return wait_result::other_ready;
        if (now >= end)
            return wait_result::timed_out;
        if (now < next_check)
            continue;
        next_check = now + caller_check_interval;
        if (own.stream->withdraw_unsent())
            return wait_result::own_ready;
        if (socket_server::peer_disconnected()) {
            own.caller_left = true;
            return wait_result::caller_left;
        }
    }
}

void receive_answer(dispatch_attempt& it, std::size_t prefetch_bytes,
                    const std::shared_ptr<buffer_budget>& buffers, const answer_limit& limit)
{
    store_head(it, it.stream->read_head(boot_now()), limit);
    if (it.answer) {
        const std::size_t wanted =
            std::min(length_of(*it.answer).value_or(prefetch_bytes), prefetch_bytes);
        it.body_memory = buffer_reservation(buffers, wanted);
        if (it.body_memory.bytes() == wanted)
            prefetch_body(it, prefetch_bytes, limit);
    }
    // The gate received the same limit, but not whether the request's deadline or a stop of this
    // node sets it. It reports either as a deadline; a stop is corrected here.
    const bool is_over = it.refused && it.refused->reason == refusal::deadline;
    if (is_over && it.refused->state != run_state::not_run && limit.is_due_to_stop())
        it.refused->reason = refusal::stopping;
}

std::optional<gate_probe> probe_gate(link_hub& links, const endpoint& link, duration timeout,
                                     std::optional<backend_server_id> server)
{
    struct reply {
        std::mutex mutex;
        std::condition_variable arrived;
        std::optional<result<std::string, link_error>> answer;
    };
    const auto pending = std::make_shared<reply>();
    const auto take = [pending](const result<std::string, link_error>& it) {
        const std::lock_guard lock(pending->mutex);
        pending->answer = it;
        pending->arrived.notify_one();
    };
    const std::string payload = server ? fmt::format("{:016x}", server->value) : std::string("-");
    if (!links.call(link, std::string(probe_path), payload, timeout, take))
        return std::nullopt;
    std::unique_lock lock(pending->mutex);
    pending->arrived.wait_for(lock, timeout, [&] { return pending->answer.has_value(); });
    if (!pending->answer || failed(*pending->answer))
        return std::nullopt;
    return gate_probe{.load = parse_load(value_of(*pending->answer))};
}

bool write_body(link_stream& stream, std::span<const char> bytes, const answer_limit& limit)
{
    while (!bytes.empty()) {
        const time_point step = std::min(limit.until(), boot_now() + caller_check_interval);
        const auto n = stream.write_some(bytes, step);
        if (failed(n))
            return false;
        if (value_of(n) == 0 && (boot_now() >= limit.until() || socket_server::peer_disconnected()))
            return false;
        bytes = bytes.subspan(value_of(n));
    }
    return true;
}

bool stream_body(const httplib::ContentReader& reader, link_stream& stream,
                 const answer_limit& limit)
{
    bool write_failed = false;
    const bool whole = reader([&](const char* data, std::size_t n) {
        write_failed = !write_body(stream, {data, n}, limit);
        return !write_failed;
    });
    if (whole)
        stream.finish();
    else if (!write_failed)
        stream.reset(reset_reason::cancelled);
    return whole || write_failed;
}

result<std::size_t, link_error> read_answer_part(link_stream& stream, std::span<char> buf,
                                                 const answer_limit& limit)
{
    return read_until(stream, buf, limit, socket_server::peer_reset);
}

} // namespace jasminebank
