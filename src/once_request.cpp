#include "once_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace jasminebank {

namespace {

constexpr duration coordinator_retry_after = std::chrono::seconds(1);

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// The body enters as a digest, which keeps the concatenation of fields unambiguous. Of a streamed
// body only the announced length counts.
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

refusal_answer refusal_for(claim_refusal it)
{
    switch (it) {
    case claim_refusal::not_coordinator:
    case claim_refusal::attempt_withdrawn:
        return {.reason = refusal::register_unavailable,
                .state = run_state::unknown,
                .retry_after = coordinator_retry_after};
    case claim_refusal::predecessor_may_have_granted:
        return {.reason = refusal::register_unavailable, .state = run_state::unknown};
    case claim_refusal::register_full:
        return {.reason = refusal::register_unavailable, .state = run_state::not_run};
    case claim_refusal::key_reused:
        return {.reason = refusal::duplicate, .state = run_state::unknown};
    case claim_refusal::key_time_in_future:
        return {.reason = refusal::bad_request, .state = run_state::not_run};
    }
    return {.reason = refusal::register_unavailable, .state = run_state::unknown};
}

} // namespace

result<std::optional<keyed_request>, refusal>
read_keyed_request(const message_head& head, organisation_id organisation, const std::string& body)
{
    std::optional<keyed_request> out;
    for (const header_field& it : head.fields) {
        if (it.name != idempotency_key_field)
            continue;
        const bool valid = !it.value.empty() && it.value.size() <= max_idempotency_key_bytes &&
                           is_visible_ascii(it.value);
        if (out || !valid)
            return refusal::bad_request;
        out = keyed_request{.key = {.organisation = organisation, .text = digest_of(it.value)},
                            .fingerprint = fingerprint_of(head, body),
                            .key_created = uuid_time(it.value)};
    }
    return out;
}

refusal_answer refusal_of(const claim_answer& it)
{
    if (const auto* refused = std::get_if<claim_refused>(&it))
        return refusal_for(refused->reason);
    const bool executed = std::holds_alternative<claim_executed>(it);
    return {.reason = refusal::duplicate, .state = executed ? run_state::ran : run_state::unknown};
}

granted_claim::granted_claim(idempotency_service& service, claim_result claim)
    : service_(service), claim_(std::move(claim))
{
}

granted_claim::~granted_claim()
{
    report_outcome(claim_outcome::unknown, 0);
}

void granted_claim::on_refused(run_state state)
{
    const bool proved_not_run = state == run_state::not_run;
    report_outcome(proved_not_run ? claim_outcome::not_run : claim_outcome::unknown, 0);
}

void granted_claim::report_outcome(claim_outcome outcome, int status)
{
    if (!std::exchange(reported_, true))
        service_.report_outcome(claim_, outcome, status);
}

} // namespace jasminebank
