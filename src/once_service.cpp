#include "once_service.h"

#include "log.h"
#include "system_clock.h"

#include <algorithm>
#include <cassert>
#include <future>
#include <vector>

namespace jasminebank {

namespace {

// Time allowed beyond the timeout of a call for its callback to run.
constexpr duration callback_slack = std::chrono::milliseconds(500);
// Answer to every completion; the receiver ignores its content.
constexpr std::string_view completion_acknowledgement = "ok";

wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// The wall clock is read first: if the process is paused between the two readings, keys are judged
// by the earlier wall time, which refuses more of them, and the lease by the later boot time.
clock_reading read_clocks()
{
    const wall_time wall = wall_now();
    return {.boot = boot_now(), .wall = wall};
}

// Both clocks at the time `at`, given both at `now`.
clock_reading reading_at(time_point at, clock_reading now)
{
    const auto age = std::chrono::floor<std::chrono::milliseconds>(now.boot - at);
    return {.boot = at, .wall = now.wall - age};
}

claim_completion completion_of(const idempotency_claim& it, std::uint64_t epoch,
                               claim_outcome outcome, int status)
{
    return {.key = it.key,
            .fingerprint = it.fingerprint,
            .attempt = it.attempt,
            .epoch = epoch,
            .outcome = outcome,
            .status = status};
}

} // namespace

idempotency_service::idempotency_service(idempotency_service_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
    assert(options_.grant_lifetime < options_.register_options.retention);
}

// The register of the key's shard; nullptr if this node is not its coordinator. The lease is looked
// up at each use. Registers are kept for the life of the process, because an expired lease may be
// renewed under the same epoch.
idempotency_register*
idempotency_service::own_register(const std::optional<key_coordinator>& coordinator,
                                  clock_reading now)
{
    if (!coordinator || !coordinator->is_self)
        return nullptr;
    idempotency_register& out =
        registers_.try_emplace(coordinator->shard, options_.register_options).first->second;
    if (coordinator->epoch < out.epoch())
        return nullptr;
    if (out.epoch() != coordinator->epoch) {
        out.begin_lease(coordinator->epoch, coordinator->lease_until,
                        reading_at(coordinator->lease_began, now));
        log_event(event::once_home_began, "shard {} epoch {}", coordinator->shard,
                  coordinator->epoch);
    }
    out.extend_lease(coordinator->lease_until);
    return &out;
}

claim_answer idempotency_service::handle_claim(const idempotency_claim& it)
{
    const std::lock_guard lock(mutex_);
    const clock_reading now = read_clocks();
    const auto coordinator = options_.find_coordinator(it.key);
    idempotency_register* keys = own_register(coordinator, now);
    if (keys == nullptr)
        return claim_refused{claim_refusal::not_coordinator};
    if (!coordinator->placed)
        return keys->claim(it, now);
    return keys->claim(it, now, reading_at(*coordinator->placed, now));
}

void idempotency_service::handle_completion(const claim_completion& it)
{
    const std::lock_guard lock(mutex_);
    const clock_reading now = read_clocks();
    idempotency_register* keys = own_register(options_.find_coordinator(it.key), now);
    if (keys != nullptr)
        keys->complete(it, now.boot);
}

std::optional<std::string> idempotency_service::handle_message(const std::string& payload)
{
    const auto request = decode_claim_message(payload);
    if (!request)
        return std::nullopt;
    if (const auto* claim = std::get_if<idempotency_claim>(&*request))
        return encode_claim_message(handle_claim(*claim));
    handle_completion(std::get<claim_completion>(*request));
    return std::string(completion_acknowledgement);
}

// Sends a claim once; nullopt if no answer arrived.
std::optional<claim_answer> idempotency_service::send_claim(const key_coordinator& coordinator,
                                                            const idempotency_claim& it,
                                                            duration timeout)
{
    if (coordinator.is_self)
        return handle_claim(it);
    using reply_promise = std::promise<result<std::string, link_error>>;
    const auto received = std::make_shared<reply_promise>();
    auto reply_future = received->get_future();
    const bool queued = links_.call(coordinator.link, std::string(idempotency_path),
                                    encode_claim_message(claim_message(it)), timeout,
                                    [received](result<std::string, link_error> answer) {
                                        received->set_value(std::move(answer));
                                    });
    if (!queued || reply_future.wait_for(timeout + callback_slack) != std::future_status::ready)
        return std::nullopt;
    const auto answer = reply_future.get();
    return failed(answer) ? std::nullopt : decode_claim_answer(value_of(answer));
}

// Each try looks up the coordinator again. A coordinator that did not answer may have recorded the
// claim, so the claim is withdrawn there, unless it was granted for the same shard and epoch.
claim_result idempotency_service::claim(const keyed_request& request, time_point deadline)
{
    claim_result out{.answer = claim_refused{claim_refusal::not_coordinator},
                     .claim = {.key = request.key,
                               .fingerprint = request.fingerprint,
                               .key_created = request.key_created,
                               .attempt = {.vm = options_.self, .run = options_.run}},
                     .coordinator = {},
                     .deadline = std::min(deadline, boot_now() + options_.grant_lifetime)};
    {
        const std::lock_guard lock(mutex_);
        out.claim.attempt.number = ++last_attempt_number_;
    }
    std::vector<key_coordinator> unanswered;
    for (std::size_t n = 0; n < options_.max_claim_tries && boot_now() < out.deadline; ++n) {
        const auto coordinator = options_.find_coordinator(request.key);
        if (!coordinator)
            break;
        out.coordinator = *coordinator;
        out.claim.epoch = coordinator->epoch;
        const duration left = out.deadline - boot_now();
        const auto answer =
            send_claim(*coordinator, out.claim, std::min(options_.try_timeout, left));
        if (answer) {
            out.answer = *answer;
            break;
        }
        unanswered.push_back(*coordinator);
    }
    const bool granted = std::holds_alternative<claim_granted>(out.answer);
    for (const key_coordinator& it : unanswered) {
        if (!granted || it.epoch != out.coordinator.epoch || it.shard != out.coordinator.shard)
            report_completion(it, completion_of(out.claim, it.epoch, claim_outcome::not_run, 0));
    }
    return out;
}

void idempotency_service::report_outcome(const claim_result& it, claim_outcome outcome, int status)
{
    report_completion(it.coordinator, completion_of(it.claim, it.claim.epoch, outcome, status));
}

// Resends a completion until the coordinator confirms it. If it is dropped instead, the key stays
// `running` at its coordinator, so no second request with the key runs.
void idempotency_service::report_completion(const key_coordinator& coordinator,
                                            const claim_completion& it)
{
    if (coordinator.is_self) {
        handle_completion(it);
        return;
    }
    pending_completion pending{.coordinator = coordinator,
                               .message = it,
                               .next_send = boot_now() + options_.completion_resend_interval,
                               .tries = 1};
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        if (pending_.size() >= options_.max_pending_completions) {
            log_event(event::once_settlement_dropped, "{} completions are already pending",
                      pending_.size());
            return;
        }
        number = ++last_completion_number_;
        pending_.emplace(number, pending);
    }
    send_completion(number, pending);
}

void idempotency_service::send_completion(std::uint64_t number, const pending_completion& it)
{
    const bool queued =
        links_.call(it.coordinator.link, std::string(idempotency_path),
                    encode_claim_message(claim_message(it.message)), options_.try_timeout,
                    [this, number](const result<std::string, link_error>& answer) {
                        if (failed(answer))
                            return;
                        const std::lock_guard lock(mutex_);
                        pending_.erase(number);
                    });
    static_cast<void>(queued); // tick() resends it
}

void idempotency_service::mark_claims_unknown(vm_id vm, incarnation first_live_run)
{
    const std::lock_guard lock(mutex_);
    for (auto& [shard, it] : registers_)
        it.mark_claims_unknown(vm, first_live_run);
}

void idempotency_service::tick(time_point now)
{
    completion_table due;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [shard, it] : registers_)
            it.expire(now);
        for (auto& [number, it] : pending_) {
            if (now < it.next_send)
                continue;
            it.next_send = now + options_.completion_resend_interval;
            ++it.tries;
            due.emplace(number, it);
        }
        std::erase_if(pending_, [this](const auto& it) {
            return it.second.tries > options_.max_completion_tries;
        });
    }
    for (const auto& [number, it] : due)
        send_completion(number, it);
}

} // namespace jasminebank
