#include "dispatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace jasminebank {

// Contains all numbers in one field, in hexadecimal and separated by spaces. The field is short
// since it crosses failure domains with every request, where traffic costs.
constexpr std::string_view dispatch_field = "jasmine-dispatch";
constexpr std::string_view organisation_field = "jasmine-organisation";
constexpr std::string_view caller_service_field = "jasmine-caller-service";
constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr std::size_t dispatch_number_count = 10;
constexpr std::uint64_t idempotent_flag = 1;
constexpr std::uint64_t may_queue_flag = 2;
constexpr std::uint64_t allow_suspected_flag = 4;
constexpr std::uint64_t nested_flag = 8;
constexpr std::uint64_t trial_flag = 16;
constexpr std::uint64_t returned_flag = 32;

static void add_field(message_head& head, std::string_view name, std::string value)
{
    head.fields.push_back({.name = std::string(name), .value = std::move(value)});
}

static std::uint64_t in_milliseconds(duration it)
{
    const auto out = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    return out > 0 ? static_cast<std::uint64_t>(out) : 0;
}

header_field wait_header(duration wait)
{
    return {.name = std::string(wait_field), .value = fmt::format("{}", in_milliseconds(wait))};
}

void write_dispatch(const dispatch& it, message_head& head)
{
    const std::uint64_t flags =
        (it.idempotent ? idempotent_flag : 0) | (it.may_queue ? may_queue_flag : 0) |
        (it.allow_suspected ? allow_suspected_flag : 0) | (it.is_nested ? nested_flag : 0) |
        (it.is_trial ? trial_flag : 0) | (it.is_returned ? returned_flag : 0);
    const std::array<std::uint64_t, dispatch_number_count> numbers{
        it.server.value,
        it.gate_run.value,
        it.route.value,
        it.service.value,
        it.priority,
        in_milliseconds(it.target_latency),
        in_milliseconds(it.time_left),
        flags,
        it.fingerprint.high,
        it.fingerprint.low};
    add_field(head, dispatch_field, fmt::format("{:x}", fmt::join(numbers, " ")));
    if (!it.organisation.empty())
        add_field(head, organisation_field, it.organisation);
    if (!it.caller_service.empty())
        add_field(head, caller_service_field, it.caller_service);
    if (it.notice)
        add_field(head, notice_field, encode_notice(*it.notice));
}

static std::optional<std::array<std::uint64_t, dispatch_number_count>>
read_numbers(const std::string& text)
{
    std::array<std::uint64_t, dispatch_number_count> out{};
    const char* at = text.data();
    const char* last = at + text.size();
    for (std::size_t n = 0; n < out.size(); ++n) {
        const auto [end, ec] = std::from_chars(at, last, out[n], 16);
        const bool is_last = n + 1 == out.size();
        if (ec != std::errc{} || (is_last ? end != last : end == last || *end != ' '))
            return std::nullopt;
        at = is_last ? end : end + 1;
    }
    return out;
}

std::optional<dispatch> read_dispatch(const message_head& head)
{
    const std::string* text = find_field(head, dispatch_field);
    const auto numbers = text == nullptr ? std::nullopt : read_numbers(*text);
    if (!numbers)
        return std::nullopt;
    const auto& [server, run, route, service, priority, target_latency, time_left, flags, high,
                 low] = *numbers;
    if (time_left > max_deadline_ms || target_latency > max_deadline_ms || priority > UINT32_MAX)
        return std::nullopt;
    const std::string* organisation = find_field(head, organisation_field);
    const std::string* caller_service = find_field(head, caller_service_field);
    const std::string* notice = find_field(head, notice_field);
    return dispatch{.server = {server},
                    .gate_run = {run},
                    .route = {route},
                    .service = {service},
                    .organisation = organisation == nullptr ? std::string() : *organisation,
                    .caller_service = caller_service == nullptr ? std::string() : *caller_service,
                    .priority = static_cast<std::uint32_t>(priority),
                    .is_nested = (flags & nested_flag) != 0,
                    .is_returned = (flags & returned_flag) != 0,
                    .target_latency = std::chrono::milliseconds(target_latency),
                    .time_left = std::chrono::milliseconds(time_left),
                    .idempotent = (flags & idempotent_flag) != 0,
                    .may_queue = (flags & may_queue_flag) != 0,
                    .allow_suspected = (flags & allow_suspected_flag) != 0,
                    .is_trial = (flags & trial_flag) != 0,
                    .fingerprint = {.high = high, .low = low},
                    .notice = notice == nullptr ? std::nullopt : decode_notice(*notice)};
}

// Under overload, a request that waits beyond its target latency takes the slot of one that could
// still be answered in time. A nested request may wait twice as long, since the request that
// depends on it is already running.
time_point latest_start(const dispatch& it, time_point now, time_point deadline)
{
    constexpr duration refusal_time = std::chrono::milliseconds(120);
    const time_point last = deadline - refusal_time;
    if (it.target_latency <= duration::zero())
        return last;
    return std::min(last, now + (it.is_nested ? 2 * it.target_latency : it.target_latency));
}

// Nested requests are served first: if they fail, the work already done by the requests that depend
// on them is lost.
std::uint32_t queue_rank(const dispatch& it)
{
    return it.is_nested ? 0 : 1 + it.priority;
}

message_head head_for_backend_server(const message_head& head, const dispatch& it,
                                     const header_names& names, const std::string& expected_server)
{
    message_head out = head;
    std::erase_if(out.fields,
                  [](const header_field& a) { return a.name.starts_with(internal_prefix); });
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(it.time_left);
    const auto add = [&out](const std::string& name, std::string value) {
        if (!name.empty() && !value.empty())
            add_field(out, name, std::move(value));
    };
    add(names.deadline, fmt::format("{}", std::max<std::int64_t>(left.count(), 1)));
    add(names.organisation, it.organisation);
    add(names.caller_service, it.caller_service);
    add(names.expected_server, expected_server);
    return out;
}

} // namespace jasminebank
