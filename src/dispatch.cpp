#include "dispatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace jasminebank {

constexpr std::string_view server_field = "jasmine-server";
constexpr std::string_view gate_run_field = "jasmine-gate-run";
constexpr std::string_view route_field = "jasmine-route";
constexpr std::string_view service_field = "jasmine-service";
constexpr std::string_view organisation_field = "jasmine-organisation";
constexpr std::string_view caller_service_field = "jasmine-caller-service";
constexpr std::string_view priority_field = "jasmine-priority";
constexpr std::string_view target_field = "jasmine-target-ms";
constexpr std::string_view deadline_field = "jasmine-deadline-ms";
constexpr std::string_view idempotent_field = "jasmine-idempotent";
constexpr std::string_view may_wait_field = "jasmine-may-wait";
constexpr std::string_view insists_field = "jasmine-insists";
constexpr std::string_view fingerprint_high_field = "jasmine-fingerprint-high";
constexpr std::string_view fingerprint_low_field = "jasmine-fingerprint-low";
constexpr std::uint64_t longest_deadline_ms = 3'600'000;

static void add_field(message_head& head, std::string_view name, std::string value)
{
    head.fields.push_back({.name = std::string(name), .value = std::move(value)});
}

void write_dispatch(const dispatch& it, message_head& head)
{
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(it.time_left);
    add_field(head, server_field, fmt::format("{}", it.server.value));
    add_field(head, gate_run_field, fmt::format("{}", it.gate_run.value));
    const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(it.target);
    add_field(head, route_field, fmt::format("{}", it.route.value));
    add_field(head, service_field, fmt::format("{}", it.service.value));
    add_field(head, organisation_field, it.organisation);
    if (!it.caller_service.empty())
        add_field(head, caller_service_field, it.caller_service);
    add_field(head, priority_field, fmt::format("{}", it.priority));
    add_field(head, target_field, fmt::format("{}", target.count()));
    add_field(head, deadline_field, fmt::format("{}", time_left.count()));
    add_field(head, idempotent_field, it.idempotent ? "1" : "0");
    add_field(head, may_wait_field, it.may_wait ? "1" : "0");
    add_field(head, insists_field, it.insists ? "1" : "0");
    add_field(head, fingerprint_high_field, fmt::format("{}", it.fingerprint.high));
    add_field(head, fingerprint_low_field, fmt::format("{}", it.fingerprint.low));
}

static std::optional<std::uint64_t> read_number(const message_head& head, std::string_view name)
{
    const std::string* text = find_field(head, name);
    std::uint64_t out = 0;
    if (text == nullptr)
        return std::nullopt;
    const char* last = text->data() + text->size();
    const auto [end, ec] = std::from_chars(text->data(), last, out);
    if (ec != std::errc{} || end != last)
        return std::nullopt;
    return out;
}

std::optional<dispatch> read_dispatch(const message_head& head)
{
    const auto server = read_number(head, server_field);
    const auto run = read_number(head, gate_run_field);
    const auto time_left = read_number(head, deadline_field);
    const auto idempotent = read_number(head, idempotent_field);
    const auto high = read_number(head, fingerprint_high_field);
    const auto low = read_number(head, fingerprint_low_field);
    const auto service = read_number(head, service_field);
    const auto priority = read_number(head, priority_field);
    const auto target = read_number(head, target_field);
    const std::string* organisation = find_field(head, organisation_field);
    const std::string* caller_service = find_field(head, caller_service_field);
    const auto route = read_number(head, route_field);
    const auto may_wait = read_number(head, may_wait_field);
    const auto insists = read_number(head, insists_field);
    if (!route || !may_wait || !insists)
        return std::nullopt;
    if (!service || !priority || !target || *target > longest_deadline_ms)
        return std::nullopt;
    if (!server || !run || !time_left || !idempotent || !high || !low || organisation == nullptr)
        return std::nullopt;
    if (*time_left > longest_deadline_ms)
        return std::nullopt;
    return dispatch{.server = {*server},
                    .gate_run = {*run},
                    .route = {*route},
                    .service = {*service},
                    .organisation = *organisation,
                    .caller_service = caller_service == nullptr ? std::string() : *caller_service,
                    .priority = static_cast<std::uint32_t>(*priority),
                    .target = std::chrono::milliseconds(*target),
                    .time_left = std::chrono::milliseconds(*time_left),
                    .idempotent = *idempotent != 0,
                    .may_wait = *may_wait != 0,
                    .insists = *insists != 0,
                    .fingerprint = {.high = *high, .low = *low}};
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
