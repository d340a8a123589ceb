#include "once_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace jasminebank {

namespace {

constexpr duration home_retry = std::chrono::seconds(1);

bool is_visible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// Digests keep apart what a plain concatenation would not. A body that is streamed counts by its
// announced length only.
std::uint64_t fingerprint_of(const message_head& head, const std::string& body)
{
    const std::string* length = find_field(head, "content-length");
    const digest whole =
        digest_of(fmt::format("{}\n{}\n{}\n{}", head.method, head.path,
                              length == nullptr ? "" : *length, to_hex(digest_of(body))));
    std::uint64_t out = 0;
    for (std::size_t n = 0; n < sizeof out; ++n)
        out = (out << 8U) | whole.bytes.at(n);
    return out;
}

refusal_answer refusal_for(once_refusal it)
{
    switch (it) {
    case once_refusal::not_home:
    case once_refusal::stale:
        return {.reason = refusal::register_unavailable,
                .state = run_state::unknown,
                .retry_after = home_retry};
    case once_refusal::home_lost:
        return {.reason = refusal::register_unavailable, .state = run_state::unknown};
    case once_refusal::register_full:
        return {.reason = refusal::register_unavailable, .state = run_state::not_run};
    case once_refusal::key_reused:
        return {.reason = refusal::duplicate, .state = run_state::unknown};
    case once_refusal::key_too_new:
        return {.reason = refusal::bad_request, .state = run_state::not_run};
    }
    return {.reason = refusal::register_unavailable, .state = run_state::unknown};
}

} // namespace

result<std::optional<once_request_identity>, refusal>
once_identity(const message_head& head, organisation_id organisation, const std::string& body)
{
    std::optional<once_request_identity> out;
    for (const header_field& it : head.fields) {
        if (it.name != idempotency_key_field)
            continue;
        const bool good =
            !it.value.empty() && it.value.size() <= longest_idempotency_key && is_visible(it.value);
        if (out || !good)
            return refusal::bad_request;
        out = once_request_identity{
            .key = {.organisation = organisation, .text = digest_of(it.value)},
            .fingerprint = fingerprint_of(head, body),
            .made = uuid_time(it.value)};
    }
    return out;
}

refusal_answer refusal_of(const once_answer& it)
{
    if (const auto* refused = std::get_if<once_refused>(&it))
        return refusal_for(refused->reason);
    const bool done = std::holds_alternative<once_done>(it);
    return {.reason = refusal::duplicate, .state = done ? run_state::ran : run_state::unknown};
}

once_hold::once_hold(once_service& service, once_ticket ticket)
    : service_(service), ticket_(std::move(ticket))
{
}

once_hold::~once_hold()
{
    settle(once_outcome::unknown, 0);
}

void once_hold::refused(run_state state)
{
    const bool proved = state == run_state::not_run;
    settle(proved ? once_outcome::not_run : once_outcome::unknown, 0);
}

void once_hold::settle(once_outcome outcome, int status)
{
    if (!std::exchange(settled_, true))
        service_.settle(ticket_, outcome, status);
}

} // namespace jasminebank
