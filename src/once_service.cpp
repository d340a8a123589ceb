#include "once_service.h"

#include "log.h"
#include "system_clock.h"

#include <algorithm>
#include <cassert>
#include <future>
#include <vector>

namespace jasminebank {

namespace {

// Answers may come this much after the timeout of a call.
constexpr duration callback_slack = std::chrono::milliseconds(500);
// A settlement that was taken up; the content does not matter.
constexpr std::string_view settled_answer = "ok";

wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// The wall clock is read first: a process stopped between the two readings then judges a key by an
// earlier time, which refuses more, and its mandate by the later one.
once_moment moment_now()
{
    const wall_time wall = wall_now();
    return {.boot = boot_now(), .wall = wall};
}

once_settlement settlement_of(const once_claim& it, std::uint64_t epoch, once_outcome outcome,
                              int status)
{
    return {.key = it.key,
            .fingerprint = it.fingerprint,
            .attempt = it.attempt,
            .epoch = epoch,
            .outcome = outcome,
            .status = status};
}

} // namespace

once_service::once_service(once_service_options options, link_hub& links)
    : options_(std::move(options)), links_(links)
{
    assert(options_.run_within < options_.keys.retention);
}

// The register of the key's shard, if this node is its home. The mandate is looked up at each use;
// registers are kept for the life of the process, since a mandate that had lapsed may be renewed
// under the same epoch.
once_register* once_service::own_register(const once_key& key, once_moment now)
{
    const auto home = options_.find_home(key);
    if (!home || !home->is_self)
        return nullptr;
    once_register& out = registers_.try_emplace(home->shard, options_.keys).first->second;
    if (home->epoch < out.epoch())
        return nullptr;
    if (out.epoch() != home->epoch) {
        const auto age = std::chrono::floor<std::chrono::milliseconds>(now.boot - home->since);
        out.begin(home->epoch, home->until, {.boot = home->since, .wall = now.wall - age});
        log_event(event::once_home_began, "shard {} epoch {}", home->shard, home->epoch);
    }
    out.extend(home->until);
    return &out;
}

once_answer once_service::answer_claim(const once_claim& it)
{
    const std::lock_guard lock(mutex_);
    const once_moment now = moment_now();
    once_register* keys = own_register(it.key, now);
    return keys == nullptr ? once_refused{once_refusal::not_home} : keys->claim(it, now);
}

void once_service::answer_settlement(const once_settlement& it)
{
    const std::lock_guard lock(mutex_);
    const once_moment now = moment_now();
    once_register* keys = own_register(it.key, now);
    if (keys != nullptr)
        keys->settle(it, now.boot);
}

std::optional<std::string> once_service::answer(const std::string& payload)
{
    const auto request = decode_once_request(payload);
    if (!request)
        return std::nullopt;
    if (const auto* claim = std::get_if<once_claim>(&*request))
        return encode_once(answer_claim(*claim));
    answer_settlement(std::get<once_settlement>(*request));
    return std::string(settled_answer);
}

// One try; nothing if no answer came.
std::optional<once_answer> once_service::ask(const once_home& home, const once_claim& it,
                                             duration timeout)
{
    if (home.is_self)
        return answer_claim(it);
    using reply = std::promise<result<std::string, link_error>>;
    const auto got = std::make_shared<reply>();
    auto waiting = got->get_future();
    const bool taken = links_.call(
        home.link, std::string(once_path), encode_once(once_request(it)), timeout,
        [got](result<std::string, link_error> answer) { got->set_value(std::move(answer)); });
    if (!taken || waiting.wait_for(timeout + callback_slack) != std::future_status::ready)
        return std::nullopt;
    const auto answer = waiting.get();
    return failed(answer) ? std::nullopt : decode_once_answer(value_of(answer));
}

// Each try looks the home up anew. Homes that left a try unanswered may hold the claim, so it is
// taken back there unless the same mandate has granted it.
once_ticket once_service::claim(const once_request_identity& request, time_point deadline)
{
    once_ticket out{.answer = once_refused{once_refusal::not_home},
                    .claim = {.key = request.key,
                              .fingerprint = request.fingerprint,
                              .made = request.made,
                              .attempt = {.vm = options_.self, .run = options_.run}},
                    .home = {},
                    .deadline = std::min(deadline, boot_now() + options_.run_within)};
    {
        const std::lock_guard lock(mutex_);
        out.claim.attempt.number = ++attempts_;
    }
    std::vector<once_home> silent;
    for (std::size_t n = 0; n < options_.tries && boot_now() < out.deadline; ++n) {
        const auto home = options_.find_home(request.key);
        if (!home)
            break;
        out.home = *home;
        out.claim.epoch = home->epoch;
        const duration left = out.deadline - boot_now();
        const auto answer = ask(*home, out.claim, std::min(options_.try_timeout, left));
        if (answer) {
            out.answer = *answer;
            break;
        }
        silent.push_back(*home);
    }
    const bool granted = std::holds_alternative<once_granted>(out.answer);
    for (const once_home& it : silent) {
        if (!granted || it.epoch != out.home.epoch || it.shard != out.home.shard)
            post(it, settlement_of(out.claim, it.epoch, once_outcome::not_run, 0));
    }
    return out;
}

void once_service::settle(const once_ticket& it, once_outcome outcome, int status)
{
    post(it.home, settlement_of(it.claim, it.claim.epoch, outcome, status));
}

// Keeps it until the home confirms it. One that is dropped leaves the key `running` at its home,
// which lets nothing run twice.
void once_service::post(const once_home& home, const once_settlement& it)
{
    if (home.is_self) {
        answer_settlement(it);
        return;
    }
    pending_settlement made{
        .home = home, .message = it, .next = boot_now() + options_.settle_every, .tries = 1};
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        if (pending_.size() >= options_.settlements) {
            log_event(event::once_settlement_dropped, "{} wait already", pending_.size());
            return;
        }
        number = ++settlements_;
        pending_.emplace(number, made);
    }
    send(number, made);
}

void once_service::send(std::uint64_t number, const pending_settlement& it)
{
    const bool taken = links_.call(it.home.link, std::string(once_path),
                                   encode_once(once_request(it.message)), options_.try_timeout,
                                   [this, number](const result<std::string, link_error>& answer) {
                                       if (failed(answer))
                                           return;
                                       const std::lock_guard lock(mutex_);
                                       pending_.erase(number);
                                   });
    static_cast<void>(taken); // the next tick tries again
}

void once_service::claimers_gone(vm_id vm, incarnation first_alive)
{
    const std::lock_guard lock(mutex_);
    for (auto& [shard, it] : registers_)
        it.claimers_gone(vm, first_alive);
}

void once_service::tick(time_point now)
{
    settlement_table due;
    {
        const std::lock_guard lock(mutex_);
        for (auto& [shard, it] : registers_)
            it.expire(now);
        for (auto& [number, it] : pending_) {
            if (now < it.next)
                continue;
            it.next = now + options_.settle_every;
            ++it.tries;
            due.emplace(number, it);
        }
        std::erase_if(pending_,
                      [this](const auto& it) { return it.second.tries > options_.settle_tries; });
    }
    for (const auto& [number, it] : due)
        send(number, it);
}

} // namespace jasminebank
